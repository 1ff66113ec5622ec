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

// fleet implements Upstreams of turmericwall.Fleet with the upstreams of one service.
type fleet struct {
	turmericwall.Fleet
	vms []turmericwall.VM
}

func (f fleet) Upstreams(string) []turmericwall.VM { return f.vms }

// Guards against calls to an upstream that asked to back off with a Retry-After, before that time has elapsed.
func TestUpstreamThatAsksToBackOffIsNotChosen(t *testing.T) {
	g := NewWithT(t)
	var overloadedCalls atomic.Int64
	serve := func(handler http.HandlerFunc) turmericwall.VM {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		return turmericwall.VM{Name: address, Address: address, State: turmericwall.VMLive}
	}
	f := fleet{vms: []turmericwall.VM{
		serve(func(w http.ResponseWriter, _ *http.Request) {
			overloadedCalls.Add(1)
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		}),
		serve(func(http.ResponseWriter, *http.Request) {}),
	}}
	clock := clockwork.NewFakeClock()
	forwarder := twforward.New(twforward.Config{
		Fleet: f, Clock: clock, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	// forwardAndCount forwards n calls and returns how many of them the overloaded upstream received.
	forwardAndCount := func(n int) int64 {
		before := overloadedCalls.Load()
		for range n {
			response, err := forwarder.Forward(context.Background(), turmericwall.ServiceCall{
				Service: "s", Method: http.MethodGet, Path: "/", Header: http.Header{},
			}, func() error { return nil })
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Body.Close()).To(Succeed())
		}
		return overloadedCalls.Load() - before
	}
	g.Expect(forwardAndCount(8)).To(Equal(int64(1)))
	clock.Advance(29 * time.Second)
	g.Expect(forwardAndCount(8)).To(BeZero())
	clock.Advance(2 * time.Second)
	g.Expect(forwardAndCount(8)).To(Equal(int64(1)))
}
