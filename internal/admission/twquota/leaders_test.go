package twquota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// chargeThird charges a third of the quota at two daemons for seven seconds: less than the burst at a time, and more than it in all.
func (f *fleet) chargeThird(t *testing.T, daemons ...int) {
	t.Helper()
	for range 14 {
		f.now = f.now.Add(500 * time.Millisecond)
		for _, i := range daemons {
			NewWithT(t).Expect(chargeCalls(f.meters[i], "a", 80, 1)).To(Equal(1))
		}
	}
}

// Guards against a leader that charges what was used without one before the leader before it, which sent a single heartbeat, and not
// what the quota allowed then.
func TestAccountBelowItsQuotaIsAdmittedAfterTwoLeadersInARow(t *testing.T) {
	f := newFleet(4, quota)
	f.heartbeat()
	f.leader = -1
	f.chargeThird(t, 0, 1)
	f.leader = 3
	f.heartbeat()
	f.leader = -1
	f.chargeThird(t, 0, 1)
	f.leader = 2
	f.heartbeat()
	f.heartbeat()
	NewWithT(t).Expect(chargeCalls(f.meters[2], "a", 100, 10)).To(Equal(10))
}

// Guards against daemons that use a full share once more after a leader that sent one heartbeat before it knew what they had used.
func TestShareIsNotUsedOnceMoreAfterOneHeartbeat(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, quota)
	f.heartbeat()
	f.leader = -1
	g.Expect(f.chargeAtOnce("a", 100)).To(Equal(2000.0))
	f.now = f.now.Add(100 * time.Millisecond)
	f.leader = 3
	f.heartbeat()
	f.leader = -1
	g.Expect(chargeCalls(f.meters[0], "a", 100, 5) + chargeCalls(f.meters[1], "a", 100, 5)).To(BeZero())
}

// Guards against a leader that leads again and charges all that daemons used of their shares meanwhile: its full bucket had no room for
// what the quota allowed.
func TestAccountBelowItsQuotaIsAdmittedByALeaderThatIsBack(t *testing.T) {
	for _, used := range []bool{false, true} {
		f := newFleet(4, quota)
		if used {
			chargeCalls(f.meters[0], "a", 100, 2)
		}
		f.heartbeat()
		f.leader = -1
		chargeCalls(f.meters[0], "b", 1, 1)
		f.chargeThird(t, 1, 2)
		f.leader = 0
		f.heartbeat()
		f.heartbeat()
		NewWithT(t).Expect(chargeCalls(f.meters[0], "a", 100, 10)).To(Equal(10), "used before: %v", used)
	}
}

// Guards against a leader that leads again and grants the burst once more after daemons have used it.
func TestBurstBeforeALeaderIsBackIsCharged(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, quota)
	f.heartbeat()
	f.leader = -1
	g.Expect(chargeCalls(f.meters[1], "a", 100, 1)).To(Equal(1))
	f.now = f.now.Add(7 * time.Second)
	g.Expect(chargeCalls(f.meters[1], "a", 100, 20)).To(Equal(10), "half of the burst")
	f.leader = 0
	f.heartbeat()
	f.heartbeat()
	g.Expect(chargeCalls(f.meters[0], "a", 100, 20)).To(BeNumerically("<=", 10))
}

// Guards against a leader that leads again for one heartbeat, and states in it what the quota allowed without it as left, though daemons
// had used that.
func TestLeaderThatIsBackStatesNothingThatWasUsedAsLeft(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, quota)
	g.Expect(chargeCalls(f.meters[0], "a", 100, 20)).To(Equal(20))
	f.heartbeat()
	f.leader = -1
	used := 0.0
	for range 8 {
		f.now = f.now.Add(250 * time.Millisecond)
		used += f.chargeAtOnce("a", 10)
	}
	f.leader = 0
	f.heartbeat()
	f.leader = -1
	used += f.chargeAtOnce("a", 10)
	g.Expect(used).To(BeNumerically(">", 1500))
	g.Expect(used).To(BeNumerically("<=", 2500), "two seconds of the rate")
}

// Guards against a former leader that leads again with its old buckets though another one led meanwhile.
func TestFormerLeaderBeginsAtTheLevelsOfTheOneInBetween(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, quota)
	g.Expect(chargeCalls(f.meters[0], "a", 100, 1)).To(Equal(1))
	f.heartbeat()
	f.leader = 3
	f.heartbeat()
	g.Expect(chargeCalls(f.meters[3], "a", 100, 20)).To(Equal(20))
	f.heartbeat()
	f.leader = 0
	g.Expect(chargeCalls(f.meters[0], "a", 100, 20)).To(BeZero())
}

// Guards against a new leader that doesn't charge what it used itself without a leader.
func TestNewLeaderChargesWhatItUsedItself(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, quota)
	f.heartbeat()
	f.leader = -1
	g.Expect(chargeCalls(f.meters[1], "a", 100, 20)).To(Equal(5), "a quarter of the burst")
	f.leader = 1
	g.Expect(chargeCalls(f.meters[1], "a", 100, 20)).To(Equal(15))
	f.now = f.now.Add(10 * time.Millisecond)
	f.leader = -1
	g.Expect(chargeCalls(f.meters[1], "a", 100, 20)).To(BeZero(), "its share begins with what it knows as left")
	f.now = f.now.Add(2 * time.Second)
	g.Expect(chargeCalls(f.meters[1], "a", 100, 20)).To(Equal(5))
	f.leader = 1
	g.Expect(chargeCalls(f.meters[1], "a", 100, 20)).To(BeZero(), "used by the refilled share")
}

// Guards against daemons that forget an account's debt as the leader is lost.
func TestDebtOfAnAccountIsSharedWithoutALeader(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, quota)
	g.Expect(chargeCalls(f.meters[0], "a", 5000, 1)).To(Equal(1))
	f.heartbeat()
	f.leader = -1
	f.now = f.now.Add(2 * time.Second)
	g.Expect(chargeCalls(f.meters[1], "a", 100, 20)).To(BeZero(), "half of a debt of 3000 less half of the rate")
	f.now = f.now.Add(2 * time.Second)
	g.Expect(chargeCalls(f.meters[1], "a", 100, 20)).To(Equal(5))
}

// Guards against a leader that loses a daemon whose replies are lost, and charges all that it used in the leader's term once more.
func TestUseIsNotChargedAgainAfterLostReplies(t *testing.T) {
	g := NewWithT(t)
	f := newTolerantFleet(3, quota, 0.1, 1000)
	for range 40 {
		g.Expect(chargeCalls(f.meters[1], "a", 250, 1)).To(Equal(1))
		f.now = f.now.Add(500 * time.Millisecond)
		f.heartbeat()
	}
	f.meters[0].RemoveDaemon(f.incarnation(1))
	g.Expect(chargeCalls(f.meters[1], "a", 100, 1)).To(Equal(1))
	f.heartbeat()
	g.Expect(f.meters[0].Levels()).To(BeEmpty())
	g.Expect(chargeCalls(f.meters[0], "a", 100, 10)).To(Equal(10))
}

// Guards against a leader that doesn't charge what a lost daemon used beside it.
func TestUseOfALostDaemonIsCharged(t *testing.T) {
	g := NewWithT(t)
	f := newTolerantFleet(3, quota, 0, 6000)
	f.heartbeat()
	f.meters[0].RemoveDaemon(f.incarnation(1))
	g.Expect(chargeCalls(f.meters[1], "a", 100, 10)).To(Equal(10))
	f.heartbeat()
	g.Expect(chargeCalls(f.meters[0], "a", 100, 60)).To(BeNumerically("<=", 40), "of 5000")
}

// Guards against a leader that charges all that a lost daemon used of its share.
func TestAccountBelowItsQuotaIsAdmittedAsALostDaemonIsBack(t *testing.T) {
	f := newFleet(4, quota)
	f.heartbeat()
	for _, i := range []int{1, 2} {
		f.partitioned[i] = true
		f.meters[0].RemoveDaemon(f.incarnation(i))
	}
	f.chargeThird(t, 1, 2)
	clear(f.partitioned)
	f.heartbeat()
	f.heartbeat()
	NewWithT(t).Expect(chargeCalls(f.meters[0], "a", 100, 10)).To(Equal(10))
}
