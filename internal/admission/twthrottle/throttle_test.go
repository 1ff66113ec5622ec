package twthrottle_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twthrottle"
	"github.com/turmericwall/turmericwall/internal/delivery/twbackoff"
	"github.com/turmericwall/turmericwall/internal/membership/twrates"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

var (
	key    = turmericwall.UpstreamKey{ID: "u"}
	leader = turmericwall.Member{Name: "leader", Address: "l:1"}
)

// fakePeers answers every request with the same reply, in place of the leader.
type fakePeers struct {
	turmericwall.PeerClient
	reply    turmericwall.AdmitReply
	requests []turmericwall.AdmitRequest
}

func (p *fakePeers) Admit(
	ctx context.Context, _ string, request turmericwall.AdmitRequest,
) (turmericwall.AdmitReply, error) {
	p.requests = append(p.requests, request)
	return p.reply, ctx.Err()
}

// newFollower returns the throttle of a daemon that has a leader, before an upstream that states 2 calls per second.
func newFollower(now *time.Time, p *fakePeers, backoffs *twbackoff.Backoffs) *twthrottle.Throttle {
	clock := func() time.Time { return *now }
	rates := twrates.New(twrates.Config{Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Now: clock})
	rates.RecordAnswer(
		key, turmericwall.UpstreamStatement{SentAt: *now, ReceivedAt: *now, PerSecond: 2, RateStated: true},
	)
	return twthrottle.New(twthrottle.Config{
		Rates: rates, Backoffs: backoffs, Peers: p, Self: turmericwall.Member{Name: "self", Address: "s:1"}, Now: clock,
		Leader:   func() (turmericwall.Member, bool, bool) { return leader, false, true },
		Standbys: func() []turmericwall.Member { return nil }, StandbyRank: func() int { return -1 },
		Rank: func() (int, int, time.Time) { return 0, 6, *now }, Daemons: func() int { return 6 },
		UnresponsiveDaemons: func() int { return 0 },
	})
}

// Guards against taking the leader for failed because a caller cancelled its call during the request to the leader.
func TestCancelledCallerDoesNotMarkLeaderAsFailed(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	p := &fakePeers{reply: turmericwall.AdmitReply{Granted: 1}}
	throttle := newFollower(&now, p, twbackoff.New())
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(throttle.Admit(cancelled, key)).NotTo(Succeed())
	g.Expect(throttle.Admit(context.Background(), key)).To(Succeed())
}

// Guards against a request to the leader for each call while the upstream's rate is used up.
func TestNoRequestBeforeTheTimeThatTheLeaderGave(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	p := &fakePeers{reply: turmericwall.AdmitReply{NextRequestMillis: 500, RetryMillis: 900}}
	throttle := newFollower(&now, p, twbackoff.New())
	for range 5 {
		var problem *turmericwall.Problem
		g.Expect(errors.As(throttle.Admit(context.Background(), key), &problem)).To(BeTrue())
		g.Expect(problem.RetryAt().Sub(now)).To(BeNumerically(">=", 500*time.Millisecond))
		g.Expect(problem.RetryAt().Sub(now)).To(BeNumerically("<=", 5*time.Second))
	}
	g.Expect(p.requests).To(HaveLen(1))
	g.Expect(throttle.CanAdmitSend(key)).To(BeFalse())
	now = now.Add(500 * time.Millisecond)
	p.reply = turmericwall.AdmitReply{Granted: 2}
	g.Expect(throttle.Admit(context.Background(), key)).To(Succeed())
	g.Expect(throttle.Admit(context.Background(), key)).To(Succeed())
	g.Expect(p.requests).To(HaveLen(2), "the second send was granted with the first one")
	now = now.Add(time.Second)
	throttle.ReturnSend(key)
	g.Expect(throttle.Admit(context.Background(), key)).To(Succeed(), "uses the returned send")
	g.Expect(p.requests).To(HaveLen(2))
}

// Guards against requests to the leader for an upstream that asked this daemon to back off.
func TestNoRequestForAnUpstreamInBackOff(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	p, backoffs := &fakePeers{}, twbackoff.New()
	throttle := newFollower(&now, p, backoffs)
	backoffs.Record(now, key, now.Add(3*time.Second))
	var problem *turmericwall.Problem
	g.Expect(errors.As(throttle.Admit(context.Background(), key), &problem)).To(BeTrue())
	g.Expect(problem.RetryAt()).To(Equal(now.Add(3 * time.Second)))
	g.Expect(p.requests).To(BeEmpty())
}
