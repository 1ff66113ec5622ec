package twegress_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twdetour"
	"github.com/turmericwall/turmericwall/internal/delivery/twegress"
	"github.com/turmericwall/turmericwall/internal/delivery/twpath"
)

// daemon is a daemon that sends requests for others, and its own through them.
type daemon struct {
	paths     *twpath.Paths
	egress    *twegress.Egress
	transport *twdetour.Transport
}

// closedPorts sends on the paths of one daemon to upstreams some of which refuse connections.
type closedPorts struct {
	paths  *twpath.Paths
	closed []string
}

// Exchange exchanges a request.
func (c closedPorts) Exchange(
	_ context.Context, to turmericwall.Upstream, _ turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	now := time.Now()
	if slices.Contains(c.closed, to.ID) {
		c.paths.RecordLoss(now, to)
		c.paths.RecordRefused(now, to.Key())
		return nil, &turmericwall.SendError{ConnectFailed: true, RefusedAt: now, Err: errors.New("refused")}
	}
	c.paths.RecordReached(now, to)
	return &turmericwall.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// fleet are daemons by address.
type fleet map[string]*daemon

// Exchange has one daemon send a request.
func (f fleet) Exchange(
	ctx context.Context, peer string, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	return f[peer].egress.Exchange(ctx, to, request)
}

func newFleet(closed ...string) fleet {
	addresses := []string{"p1", "p2", "p3", "p4", "p5"}
	f := make(fleet)
	for _, address := range addresses {
		d := &daemon{paths: twpath.New()}
		direct := closedPorts{paths: d.paths, closed: closed}
		d.egress = twegress.New(twegress.Config{
			Direct: direct, Paths: d.paths, IsStopping: func() bool { return false },
			Find: func(key turmericwall.UpstreamKey) (turmericwall.Upstream, bool, bool) {
				return upstreamOf(key.ID), true, true
			},
			HasConnections: func(turmericwall.Upstream) bool { return false },
			Upstreams:      func(string) int { return 12 },
			BackoffUntil:   func(turmericwall.UpstreamKey) time.Time { return time.Time{} },
			OnAnswer:       func(turmericwall.Upstream, *turmericwall.Answer) {},
		})
		d.transport = twdetour.New(twdetour.Config{
			Direct: direct, Paths: d.paths, Peers: f,
			KnownPeers: func() []string {
				return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == address })
			},
			HasConnections: func(turmericwall.Upstream) bool { return false }, Count: func(string) {},
		})
		f[address] = d
	}
	return f
}

func upstreamOf(id string) turmericwall.Upstream {
	return turmericwall.Upstream{ID: id, Service: "s", Address: id + ":1"}
}

// Guards against calls to sound upstreams that are refused, since orders of one daemon to two that have ended make all others count as cut off.
func TestOrdersToEndedUpstreamsCutNoOtherDaemonOff(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("e1", "e2")
	for _, d := range f {
		g.Expect(d.egress.Exchange(context.Background(), upstreamOf("e3"), call)).Error().NotTo(HaveOccurred())
	}
	order := turmericwall.UpstreamRequest{Head: []byte("POST / HTTP/1.1\r\n\r\n"), Method: "POST", ControlID: "o", IsOrder: true}
	for _, id := range []string{"e1", "e2"} {
		_, err := f["p1"].transport.Exchange(context.Background(), upstreamOf(id), order)
		g.Expect(err).To(HaveOccurred())
	}
	for address, d := range f {
		_, err := d.transport.Exchange(context.Background(), upstreamOf("e4"), call)
		g.Expect(err).NotTo(HaveOccurred(), address)
	}
}
