package twquota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that stood still until the same leader lost it, or forgot it, and is charged again with all that it used of an
// account that was idle.
func TestUseOfAnIdleAccountIsNotChargedAgainAfterAStandstill(t *testing.T) {
	for _, c := range []struct {
		name string
		// standstill is how long the daemon stands still after its loss, in heartbeats.
		standstill int
	}{{"until it is lost", 0}, {"until it is forgotten", 28}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newTolerantFleet(3, quota, 0.1, 1000)
			f.leader = 2
			heartbeats := func(n int) {
				for range n {
					f.now = f.now.Add(500 * time.Millisecond)
					f.heartbeat()
				}
			}
			for range 40 {
				g.Expect(chargeCalls(f.meters[1], "a", 250, 1)).To(Equal(1))
				heartbeats(1)
			}
			f.partitioned[1] = true
			heartbeats(24)
			f.meters[2].RemoveDaemon(f.incarnation(1))
			heartbeats(c.standstill)
			// The loss of another daemon lets the leader forget those that were lost long ago.
			f.meters[2].RemoveDaemon(f.incarnation(0))
			delete(f.partitioned, 1)
			f.heartbeat()
			g.Expect(chargeCalls(f.meters[1], "a", 100, 1)).To(Equal(1))
			f.heartbeat()
			f.heartbeat()
			g.Expect(chargeCalls(f.meters[2], "a", 100, 10)).To(Equal(10))
		})
	}
}
