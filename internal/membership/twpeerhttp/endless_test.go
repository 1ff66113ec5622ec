package twpeerhttp_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twpeerhttp"
)

// endlessPeer answers each call with the beginning, and then bytes without end until its caller closes.
func endlessPeer(t *testing.T, beginning string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, beginning)
		for block := strings.Repeat("a", 4096); err == nil; {
			_, err = io.WriteString(w, block)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against calls that wait for the end of what a peer sends without end, and keep it.
func TestPeerThatSendsWithoutEndDelaysNothing(t *testing.T) {
	const span = 2 * time.Second
	exchange := func(ctx context.Context, address string) error {
		_, err := twpeerhttp.NewClient(nil).Exchange(ctx, address, turmericwall.Upstream{ID: "u"}, turmericwall.UpstreamRequest{
			Head: []byte("GET / HTTP/1.1\r\n\r\n"), Method: http.MethodGet,
		})
		return err
	}
	for name, c := range map[string]struct {
		beginning string
		call      func(ctx context.Context, address string) error
		refused   bool
	}{
		"a refused exchange": {`{"refused":"busy"}` + "\n", exchange, true},
		"an exchange":        {"", exchange, false},
		"state": {"", func(ctx context.Context, address string) error {
			_, err := twpeerhttp.NewClient(nil).FetchState(ctx, address, turmericwall.StateRequest{})
			return err
		}, false},
		"a heartbeat": {`{"a":"`, func(ctx context.Context, address string) error {
			_, err := twpeerhttp.NewClient(nil).Heartbeat(ctx, address, turmericwall.Heartbeat{})
			return err
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), span)
			defer cancel()
			beganAt := time.Now()
			err := c.call(ctx, endlessPeer(t, c.beginning))
			g.Expect(time.Since(beganAt)).To(BeNumerically("<", span))
			if c.refused {
				var refusal *turmericwall.EgressRefusal
				g.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
				return
			}
			var limit *turmericwall.LimitError
			g.Expect(errors.As(err, &limit)).To(BeTrue(), "%v", err)
		})
	}
}
