package twquota_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twquota"
)

// follower is the meter of a daemon that follows a leader, with the requests that it sends and their replies.
type follower struct {
	meter    *twquota.Meter
	now      time.Time
	requests []turmericwall.ChargeRequest
	reply    turmericwall.ChargeReply
	err      error
}

// newFollower returns a follower among four daemons. It may use 500 units between two counts of the leader.
func newFollower() *follower {
	f := &follower{now: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)}
	f.meter = twquota.New(twquota.Config{
		Account: func(name string) (turmericwall.ClientAccount, bool) {
			return turmericwall.ClientAccount{Name: name, Quota: quota}, true
		},
		IsLeader: func() bool { return false }, FollowsLiveLeader: func() bool { return true },
		Daemons: func() int { return 4 }, UnresponsiveDaemons: func() int { return 0 },
		ChargeAtLeader: func(request turmericwall.ChargeRequest) (turmericwall.ChargeReply, error) {
			f.requests = append(f.requests, request)
			return f.reply, f.err
		},
		Now: func() time.Time { return f.now }, Random: func() float64 { return 0 },
		WindowSeconds: windowSeconds, Slack: 4000,
	})
	f.meter.ApplyLevels("leader", nil)
	return f
}

func TestLeaderIsAskedBeyondReserve(t *testing.T) {
	g := NewWithT(t)
	f := newFollower()
	g.Expect(chargeCalls(f.meter, "a", 200, 2)).To(Equal(2))
	g.Expect(f.requests).To(BeEmpty())
	g.Expect(chargeCalls(f.meter, "a", 200, 3)).To(Equal(3))
	g.Expect(f.requests).To(HaveLen(3))
	g.Expect(f.meter.LocalUses()[0].Units).To(BeEquivalentTo(400), "the leader counts the others itself")
}

// Guards against an account over its quota whose refused calls each cause a request to the leader.
func TestRefusalOfLeaderStandsForMoment(t *testing.T) {
	g := NewWithT(t)
	f := newFollower()
	f.reply = turmericwall.ChargeReply{Refused: true, Remaining: 7, RetryMillis: 900}
	g.Expect(chargeCalls(f.meter, "a", 600, 20)).To(BeZero())
	g.Expect(f.requests).To(HaveLen(1))
	var problem *turmericwall.Problem
	g.Expect(errors.As(f.meter.Charge("a", 600), &problem)).To(BeTrue())
	g.Expect(problem.RetryAt()).To(Equal(f.now.Add(900 * time.Millisecond)))
	f.now = f.now.Add(150 * time.Millisecond)
	g.Expect(chargeCalls(f.meter, "a", 600, 20)).To(BeZero())
	g.Expect(f.requests).To(HaveLen(2))
}

// Guards against calls that each wait for a leader that does not answer, and against such calls that are not limited.
func TestLeaderThatDoesNotAnswerIsNotAskedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply turmericwall.ChargeReply
		err   error
	}{
		{"an error", turmericwall.ChargeReply{}, errUnreachable},
		{"a daemon that no longer leads", turmericwall.ChargeReply{Declined: true}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFollower()
			f.reply, f.err = c.reply, c.err
			g.Expect(chargeCalls(f.meter, "a", 600, 20)).To(Equal(1), "this daemon's share holds one call")
			g.Expect(f.requests).To(HaveLen(1))
			f.now = f.now.Add(300 * time.Millisecond)
			chargeCalls(f.meter, "a", 600, 1)
			g.Expect(f.requests).To(HaveLen(2))
		})
	}
}

func TestOnlyLeaderChargesForPeers(t *testing.T) {
	g := NewWithT(t)
	request := turmericwall.ChargeRequest{Account: "a", Units: 1500}
	g.Expect(newFollower().meter.ChargeForPeer(request)).To(Equal(turmericwall.ChargeReply{Declined: true}))
	leader := newFleet(2, quota).meters[0]
	g.Expect(leader.ChargeForPeer(request)).To(Equal(turmericwall.ChargeReply{}))
	reply := leader.ChargeForPeer(request)
	g.Expect([]any{reply.Refused, reply.Remaining}).To(Equal([]any{true, 500.0}))
	g.Expect(reply.RetryMillis).To(BeNumerically(">", 0))
	g.Expect(leader.ChargeForPeer(turmericwall.ChargeRequest{Account: "nobody", Units: 1})).
		To(Equal(turmericwall.ChargeReply{}))
}
