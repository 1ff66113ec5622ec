package twforward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/once/twforward"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

// fleet lists the upstreams of one service.
type fleet struct {
	turmericwall.Fleet
	vms []turmericwall.VM
}

func (f fleet) Upstreams(string) []turmericwall.VM { return f.vms }

// Guards against calls to an upstream that said for how long it wants none.
func TestAnUpstreamThatAsksToBackOffIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	var busy atomic.Int64
	serve := func(handler http.HandlerFunc) turmericwall.VM {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		return turmericwall.VM{Name: address, Address: address, State: turmericwall.VMLive}
	}
	f := fleet{vms: []turmericwall.VM{
		serve(func(w http.ResponseWriter, _ *http.Request) {
			busy.Add(1)
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		}),
		serve(func(http.ResponseWriter, *http.Request) {}),
	}}
	clock := clockwork.NewFakeClock()
	forwarder := twforward.New(twforward.Config{Fleet: f, Clock: clock, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard})})
	calls := func(n int) int64 {
		before := busy.Load()
		for range n {
			response, err := forwarder.Forward(context.Background(), turmericwall.ServiceCall{Service: "s", Method: http.MethodGet, Path: "/", Header: http.Header{}}, func() error { return nil })
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Body.Close()).To(Succeed())
		}
		return busy.Load() - before
	}
	g.Expect(calls(8)).To(Equal(int64(1)))
	clock.Advance(29 * time.Second)
	g.Expect(calls(8)).To(BeZero())
	clock.Advance(2 * time.Second)
	g.Expect(calls(8)).To(Equal(int64(1)))
}
