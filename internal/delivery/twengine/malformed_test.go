package twengine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twengine"
)

// newRawEngine returns the client of an engine that answers every call with the text.
func newRawEngine(t *testing.T, answer string) turmericwall.Engine {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(connection, answer)
		_ = connection.Close()
	}))
	t.Cleanup(server.Close)
	return twengine.New(twengine.Config{Registry: metrics.NewRegistry()}).Engine(strings.TrimPrefix(server.URL, "http://"))
}

// Guards against a malformed answer that counts as a cancel, as a lasting refusal, or as a report.
func TestMalformedAnswerIsAFailureOfTheEngine(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\n{}"
	for _, head := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 200 OK\r\nX Foo: a", "HTTP/1.1 200 OK\r\nX-Foo : a",
		"HTTP/1.1 404 Not Found\r\nX Foo: a", "HTTP/1.1 200 OK\r\nX-\x01Foo: a",
	} {
		t.Run(head, func(t *testing.T) {
			g := NewWithT(t)
			engine := newRawEngine(t, head+rest)
			g.Expect(reasonOf(engine.Cancel(context.Background(), "a"))).To(Equal(turmericwall.EngineUnreachable))
			_, err := engine.Report(context.Background(), false)
			g.Expect(reasonOf(err)).To(Equal(turmericwall.EngineUnreachable))
			_, err = engine.Prefill(context.Background(), turmericwall.EngineCall{Attempt: "a"})
			g.Expect(reasonOf(err)).To(Equal(turmericwall.EngineUnreachable))
		})
	}
}
