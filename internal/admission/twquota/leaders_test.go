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
