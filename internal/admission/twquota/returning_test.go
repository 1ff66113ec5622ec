package twquota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that stood still until the same leader forgot it, and is charged again with all that it used of an account that was
// idle.
func TestUseOfAnIdleAccountIsNotChargedAgainAfterAStandstill(t *testing.T) {
	g := NewWithT(t)
	f := newTolerantFleet(3, quota, 0.1, 1000)
	f.leader = 2
	for range 40 {
		g.Expect(chargeCalls(f.meters[1], "a", 250, 1)).To(Equal(1))
		f.now = f.now.Add(500 * time.Millisecond)
		f.heartbeat()
	}
	f.partitioned[1] = true
	for range 24 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.heartbeat()
	}
	f.meters[2].RemoveDaemon(fmt.Sprint(1, f.startedAt[1]))
	delete(f.partitioned, 1)
	f.heartbeat()
	g.Expect(chargeCalls(f.meters[1], "a", 100, 1)).To(Equal(1))
	f.heartbeat()
	f.heartbeat()
	g.Expect(chargeCalls(f.meters[2], "a", 100, 10)).To(Equal(10))
}
