package twegress_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twegress"
	"github.com/turmericwall/turmericwall/internal/delivery/twpath"
)

// fakeDirect simulates the direct path and counts the exchanges on it.
type fakeDirect struct {
	err       error
	exchanges int
}

func (d *fakeDirect) Exchange(
	context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	d.exchanges++
	if d.err != nil {
		return nil, d.err
	}
	return &turmericwall.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// peer is an egress with simulated dependencies.
type peer struct {
	direct                     *fakeDirect
	paths                      *twpath.Paths
	known                      turmericwall.Upstream
	leaving, stopping, backOff bool
	hasConnections             bool
	answers                    int
	egress                     *twegress.Egress
}

var (
	target  = turmericwall.Upstream{ID: "u", Service: "s", Address: "u:1"}
	call    = turmericwall.UpstreamRequest{Head: []byte("GET / HTTP/1.1\r\n\r\n"), Method: "GET", CallID: "c"}
	release = turmericwall.UpstreamRequest{Head: []byte("DELETE / HTTP/1.1\r\n\r\n"), Method: "DELETE"}
)

func newPeer() *peer {
	p := &peer{direct: &fakeDirect{}, paths: twpath.New(), known: target}
	p.egress = twegress.New(twegress.Config{
		Direct: p.direct, Paths: p.paths, IsStopping: func() bool { return p.stopping },
		Find: func(key turmericwall.UpstreamKey) (turmericwall.Upstream, bool, bool) {
			return p.known, !p.leaving, key == p.known.Key()
		},
		HasConnections: func(turmericwall.Upstream) bool { return p.hasConnections },
		Upstreams:      func(string) int { return 4 },
		BackoffUntil: func(turmericwall.UpstreamKey) time.Time {
			if p.backOff {
				return time.Now().Add(time.Second)
			}
			return time.Time{}
		},
		OnAnswer: func(turmericwall.Upstream, *turmericwall.Answer) { p.answers++ },
	})
	return p
}

// Guards against requests of a peer that this daemon itself must not send, and against a loop of two daemons without a
// path.
func TestRequestsOfPeersAreRefused(t *testing.T) {
	for _, c := range []struct {
		reason turmericwall.EgressReason
		set    func(p *peer)
	}{
		{turmericwall.EgressStopping, func(p *peer) { p.stopping = true }},
		{turmericwall.EgressUnknownUpstream, func(p *peer) { p.known.StartedMillis = 7 }},
		{turmericwall.EgressUnknownUpstream, func(p *peer) { p.known.Address = "other:1" }},
		{turmericwall.EgressUpstreamLeaving, func(p *peer) { p.leaving = true }},
		{turmericwall.EgressBackOff, func(p *peer) { p.backOff = true }},
		{turmericwall.EgressUnreachable, func(p *peer) { p.paths.RecordLoss(time.Now(), target) }},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			g := NewWithT(t)
			p := newPeer()
			c.set(p)
			_, err := p.egress.Exchange(context.Background(), target, call)
			var refusal *turmericwall.EgressRefusal
			g.Expect(errors.As(err, &refusal)).To(BeTrue())
			g.Expect(refusal.Reason).To(Equal(c.reason))
			g.Expect(p.direct.exchanges).To(BeZero())
			g.Expect(p.egress.Open()).To(BeZero())
		})
	}
}

func TestWhatACallLeftIsReleasedAtLeavingUpstream(t *testing.T) {
	g := NewWithT(t)
	p := newPeer()
	p.leaving = true
	_, err := p.egress.Exchange(context.Background(), target, release)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestFailedSendsOfPeersStateWhetherAnythingWasSent(t *testing.T) {
	g := NewWithT(t)
	p := newPeer()
	p.direct.err = &turmericwall.SendError{ConnectFailed: true, Err: errors.New("timeout")}
	_, err := p.egress.Exchange(context.Background(), target, call)
	g.Expect(err).To(MatchError(&turmericwall.EgressRefusal{Reason: turmericwall.EgressUnreachable}))
	p.direct.err = &turmericwall.SendError{Err: errors.New("no free connection")}
	_, err = p.egress.Exchange(context.Background(), target, call)
	g.Expect(err).To(MatchError(&turmericwall.EgressRefusal{Reason: turmericwall.EgressBusy}))
	p.direct.err = &turmericwall.SendError{Sent: true, Err: errors.New("reset")}
	_, err = p.egress.Exchange(context.Background(), target, call)
	g.Expect(err).To(Equal(p.direct.err))
}

// Guards against a pile-up of peers' requests on one daemon, and a drain that ends before they do.
func TestOpenRequestsOfPeersAreBoundedAndCounted(t *testing.T) {
	g := NewWithT(t)
	p := newPeer()
	var open []*turmericwall.Answer
	for range 1_000 {
		answer, err := p.egress.Exchange(context.Background(), target, call)
		if err != nil {
			g.Expect(err).To(MatchError(&turmericwall.EgressRefusal{Reason: turmericwall.EgressBusy}))
			break
		}
		open = append(open, answer)
	}
	g.Expect(p.egress.Open()).To(BeEquivalentTo(len(open)))
	g.Expect(len(open)).To(BeNumerically("<", 1_000))
	g.Expect(p.answers).To(Equal(len(open)))
	for _, answer := range open {
		g.Expect(answer.Body.Close()).To(Succeed())
	}
	g.Expect(p.egress.Open()).To(BeZero())
}

// Guards against a peer's order that isn't sent on an open connection since this daemon's path counts as lost, and against calls that are.
func TestOrderOfAPeerTakesOpenConnectionsOfALostPath(t *testing.T) {
	for _, c := range []struct{ hasConnections, isOrder, sent bool }{{true, true, true}, {false, true, false}, {true, false, false}} {
		g, p := NewWithT(t), newPeer()
		p.hasConnections = c.hasConnections
		p.paths.RecordLoss(time.Now(), target)
		request := release
		request.IsOrder = c.isOrder
		_, err := p.egress.Exchange(context.Background(), target, request)
		g.Expect(err == nil).To(Equal(c.sent))
	}
}
