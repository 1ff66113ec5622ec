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

// peers answers asks as the leader would.
type peers struct {
	turmericwall.PeerClient
	reply turmericwall.AdmitReply
	asked []turmericwall.AdmitAsk
}

func (p *peers) Admit(ctx context.Context, _ string, ask turmericwall.AdmitAsk) (turmericwall.AdmitReply, error) {
	p.asked = append(p.asked, ask)
	return p.reply, ctx.Err()
}

func follower(now *time.Time, p *peers, backoffs *twbackoff.Backoffs) *twthrottle.Throttle {
	clock := func() time.Time { return *now }
	rates := twrates.New(twrates.Config{Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Now: clock})
	rates.Take(key, turmericwall.UpstreamStatement{SentAt: *now, ReceivedAt: *now, PerSecond: 2, RateStated: true})
	return twthrottle.New(twthrottle.Config{
		Rates: rates, Backoffs: backoffs, Peers: p, Self: turmericwall.Member{Name: "self", Address: "s:1"}, Now: clock,
		Leader:   func() (turmericwall.Member, bool, bool) { return leader, false, true },
		Standbys: func() []turmericwall.Member { return nil }, StandbyRank: func() int { return -1 },
		Rank: func() (int, int, time.Time) { return 0, 6, *now }, Daemons: func() int { return 6 }, Absent: func() int { return 0 },
	})
}

// Guards against a leader that counts as failed because a caller left while it was asked.
func TestACallerThatLeavesSaysNothingOfTheLeader(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	p := &peers{reply: turmericwall.AdmitReply{Granted: 1}}
	throttle := follower(&now, p, twbackoff.New())
	left, leave := context.WithCancel(context.Background())
	leave()
	g.Expect(throttle.Admit(left, key)).NotTo(Succeed())
	g.Expect(throttle.Admit(context.Background(), key)).To(Succeed())
}

// Guards against asks for each call while the upstream takes none.
func TestALeaderThatGrantsNothingIsNotAskedAgainBeforeItsTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	p := &peers{reply: turmericwall.AdmitReply{NextMillis: 500, RetryMillis: 900}}
	throttle := follower(&now, p, twbackoff.New())
	for range 5 {
		var problem *turmericwall.Problem
		g.Expect(errors.As(throttle.Admit(context.Background(), key), &problem)).To(BeTrue())
		g.Expect(problem.RetryAt().Sub(now)).To(BeNumerically(">=", 500*time.Millisecond))
		g.Expect(problem.RetryAt().Sub(now)).To(BeNumerically("<=", 5*time.Second))
	}
	g.Expect(p.asked).To(HaveLen(1))
	g.Expect(throttle.Open(key)).To(BeFalse())
	now = now.Add(500 * time.Millisecond)
	p.reply = turmericwall.AdmitReply{Granted: 2}
	g.Expect(throttle.Admit(context.Background(), key)).To(Succeed())
	g.Expect(throttle.Admit(context.Background(), key)).To(Succeed())
	g.Expect(p.asked).To(HaveLen(2), "the second send was granted with the first")
	now = now.Add(time.Second)
	throttle.Return(key)
	g.Expect(throttle.Admit(context.Background(), key)).To(Succeed(), "a send that was given back")
	g.Expect(p.asked).To(HaveLen(2))
}

func TestAnUpstreamThatAskedToBackOffIsNotAskedFor(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	p, backoffs := &peers{}, twbackoff.New()
	throttle := follower(&now, p, backoffs)
	backoffs.Take(now, key, now.Add(3*time.Second))
	var problem *turmericwall.Problem
	g.Expect(errors.As(throttle.Admit(context.Background(), key), &problem)).To(BeTrue())
	g.Expect(problem.RetryAt()).To(Equal(now.Add(3 * time.Second)))
	g.Expect(p.asked).To(BeEmpty())
}
