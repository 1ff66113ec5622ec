package twhttp_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
)

// Guards against a malformed reply of the platform that is taken for a statement about a request.
func TestMalformedReplyIsNoReply(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\n{}"
	for _, head := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 200 OK\r\nX Foo: a", "HTTP/1.1 200 OK\r\nX-Foo : a",
		"HTTP/1.1 404 Not Found\r\nX Foo: a", "HTTP/1.1 200 OK\r\nX-\x01Foo: a",
	} {
		t.Run(head, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				connection, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(connection, head+rest)
				_ = connection.Close()
			}))
			t.Cleanup(server.Close)
			g := NewWithT(t)
			_, err := twhttp.New(twhttp.Config{Address: server.URL}).Get(context.Background(), "/x")
			var problem *turmericwall.Problem
			g.Expect(errors.As(err, &problem)).To(BeTrue())
			g.Expect(problem.Kind()).To(Equal(turmericwall.KindStoreUnavailable))
		})
	}
}
