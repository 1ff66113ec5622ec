package twengine_test

import (
	"errors"
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

// newTestEngine returns the client of an engine that answers every call with the status and body.
func newTestEngine(t testing.TB, status int, body string) turmericwall.Engine {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return twengine.New(twengine.Config{Registry: metrics.NewRegistry()}).Engine(strings.TrimPrefix(server.URL, "http://"))
}

func reasonOf(err error) turmericwall.EngineReason {
	var failed *turmericwall.EngineError
	if !errors.As(err, &failed) {
		return ""
	}
	return failed.Reason()
}

func TestErrorStatusesMapToEngineReasons(t *testing.T) {
	for status, reason := range map[int]turmericwall.EngineReason{
		http.StatusServiceUnavailable:  turmericwall.EngineFull,
		http.StatusGone:                turmericwall.EngineExportGone,
		http.StatusFailedDependency:    turmericwall.EngineTransferFailed,
		http.StatusInternalServerError: turmericwall.EngineUnreachable,
		http.StatusBadRequest:          turmericwall.EngineRefused,
	} {
		g := NewWithT(t)
		err := newTestEngine(t, status, "").Decode(t.Context(), turmericwall.EngineCall{}, turmericwall.Export{}, nil)
		g.Expect(reasonOf(err)).To(Equal(reason))
	}
}

// A stream without its closing marker is truncated because the engine has terminated; it must not pass as complete.
func TestATruncatedStreamFailsAsUnreachable(t *testing.T) {
	g := NewWithT(t)
	chunks := 0
	engine := newTestEngine(t, http.StatusOK,
		`data: {"id":"cmpl-a","choices":[{"text":"x"}],"usage":{"completion_tokens":1}}`+"\n\n")
	err := engine.Decode(t.Context(), turmericwall.EngineCall{}, turmericwall.Export{}, func(c turmericwall.Chunk) error {
		chunks++
		g.Expect(c).To(Equal(turmericwall.Chunk{Attempt: "a", Index: 1, Text: "x"}))
		return nil
	})
	g.Expect(reasonOf(err)).To(Equal(turmericwall.EngineUnreachable))
	g.Expect(chunks).To(Equal(1))
}

func FuzzDecode(f *testing.F) {
	f.Add("data: {\"id\":\"cmpl-a\",\"choices\":[{\"text\":\"x\"}],\"usage\":{\"completion_tokens\":1}}\n\ndata: [DONE]\n\n")
	f.Add("data: [1]\n\ndata: {}\n\n: comment\n\ndata: {\"choices\":[{}]}\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		complete := strings.Contains("\n"+stream, "\ndata: [DONE]")
		err := newTestEngine(t, http.StatusOK, stream).Decode(t.Context(), turmericwall.EngineCall{}, turmericwall.Export{},
			func(turmericwall.Chunk) error { return nil })
		if err == nil && !complete {
			t.Fatalf("a stream without its closing marker was taken as complete: %q", stream)
		}
	})
}
