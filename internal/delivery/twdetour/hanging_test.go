package twdetour_test

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twdetour"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
	"github.com/turmericwall/turmericwall/internal/delivery/twpath"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

// hangingPeers simulates a peer that accepts requests and stands still, and others that can't connect to the upstream.
type hangingPeers struct{ hung int }

// Exchange asks one peer.
func (h *hangingPeers) Exchange(
	ctx context.Context, peer string, _ turmericwall.Upstream, _ turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	if peer != "p1" {
		return nil, refused(turmericwall.EgressUnreachable, 0.1)
	}
	h.hung++
	<-ctx.Done()
	return nil, &turmericwall.SendError{Sent: true, PathLost: true, Err: ctx.Err()}
}

// Guards against a stream of an engine that refuses connections which waits until its time is over, since a peer that stands still holds
// up each order to stop its run.
func TestOrdersWaitOnceForAPeerThatStandsStill(t *testing.T) {
	g := NewWithT(t)
	peers, paths := &hangingPeers{}, twpath.New()
	transport := twdetour.New(twdetour.Config{
		Paths: paths, Peers: peers, KnownPeers: func() []string { return []string{"p1", "p2", "p3"} },
		HasConnections: func(turmericwall.Upstream) bool { return false }, Count: func(string) {},
	})
	sentAt := time.Now()
	paths.RecordLoss(sentAt, target)
	paths.RecordRefused(sentAt, target.Key())
	order := turmericwall.UpstreamRequest{Head: []byte("POST / HTTP/1.1\r\n\r\n"), Method: "POST", ControlID: "o", IsOrder: true}
	fence := twfence.New(twfence.Config{
		Stop: func(ctx context.Context, _, _ turmericwall.Upstream, _ string) (turmericwall.EngineExport, bool, error) {
			_, err := transport.Exchange(ctx, target, order)
			return turmericwall.EngineExport{}, false, err
		},
		Others: func(turmericwall.Upstream) []turmericwall.Upstream { return nil },
		Connections: func(turmericwall.Upstream, string, time.Time) turmericwall.ConnectionStates {
			return turmericwall.ConnectionStates{}
		},
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	_, err := fence.Prove(ctx, twfence.Run{Engine: target, CallID: "c", SentAt: sentAt, HasBegun: true, EndedAt: sentAt})
	g.Expect(err).To(MatchError(twfence.ErrUnproved))
	g.Expect(peers.hung).To(BeNumerically("<=", 1))
	g.Expect(time.Since(sentAt)).To(BeNumerically("<", 2*time.Second))
}

// Guards against a daemon whose calls find no peer for a second, since an order has met the full share of an engine's connections at each.
func TestOrderThatBusyPeersRefuseLeavesThemToOtherRequests(t *testing.T) {
	g := NewWithT(t)
	busy := true
	transport, _, paths := newTransport(func(string) (*turmericwall.Answer, error) {
		if busy {
			return nil, refused(turmericwall.EgressBusy, 0)
		}
		return answered()
	})
	other := turmericwall.Upstream{ID: "v", Service: "s", Address: "v:1"}
	paths.RecordLoss(time.Now(), target)
	paths.RecordLoss(time.Now(), other)
	_, err := transport.Exchange(context.Background(), target, turmericwall.UpstreamRequest{Method: "POST", ControlID: "o", IsOrder: true})
	g.Expect(err).To(HaveOccurred())
	busy = false
	_, err = transport.Exchange(context.Background(), other, request)
	g.Expect(err).NotTo(HaveOccurred())
}
