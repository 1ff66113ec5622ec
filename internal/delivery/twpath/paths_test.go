package twpath_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twpath"
)

var start = time.Unix(1_000, 0)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func upstream(service string, n int) turmericwall.Upstream {
	return turmericwall.Upstream{ID: fmt.Sprint(service, n), Service: service}
}

// Guards against requests that each wait for a connection on a path that is known to be lost.
func TestLostPathIsNotUsedUntilItIsReached(t *testing.T) {
	g := NewWithT(t)
	p, u := twpath.New(), upstream("a", 1)
	g.Expect(p.Use(at(0), u)).To(BeTrue())
	g.Expect(p.RecordLoss(at(10), u)).To(BeTrue())
	g.Expect(p.RecordLoss(at(20), u)).To(BeFalse())
	g.Expect(p.Use(at(30), u)).To(BeFalse())
	g.Expect(p.RecordReached(at(5), u)).To(BeFalse(), "an exchange that was begun before the loss says nothing")
	g.Expect(p.Use(at(40), u)).To(BeFalse())
	g.Expect(p.RecordReached(at(50), u)).To(BeTrue())
	g.Expect(p.Use(at(60), u)).To(BeTrue())
}

// Guards against a daemon that tries each path of a service in turn after it has lost the first ones.
func TestDaemonCutOffFromServiceUsesNoneOfItsPaths(t *testing.T) {
	g := NewWithT(t)
	p := twpath.New()
	p.RecordReached(at(0), upstream("a", 3))
	p.RecordLoss(at(10), upstream("a", 1))
	g.Expect(p.Use(at(20), upstream("a", 3))).To(BeTrue(), "one upstream alone may be at fault")
	p.RecordLoss(at(30), upstream("a", 2))
	g.Expect(p.IsCutOff(at(40), "a")).To(BeTrue())
	g.Expect(p.Use(at(40), upstream("a", 3))).To(BeFalse())
	g.Expect(p.Use(at(40), upstream("b", 1))).To(BeTrue())
	p.RecordReached(at(50), upstream("a", 3))
	g.Expect(p.Use(at(60), upstream("a", 3))).To(BeTrue())
	g.Expect(p.Use(at(60), upstream("a", 1))).To(BeFalse())
}

// Guards against an upstream that failed earlier, because of which a later cut is found path by path.
func TestEarlierLossDoesNotHideACut(t *testing.T) {
	g := NewWithT(t)
	p := twpath.New()
	p.RecordLoss(at(0), upstream("a", 1))
	p.RecordReached(at(100), upstream("a", 2))
	p.RecordLoss(at(200), upstream("a", 2))
	g.Expect(p.IsCutOff(at(210), "a")).To(BeFalse())
	p.RecordLoss(at(220), upstream("a", 3))
	g.Expect(p.IsCutOff(at(230), "a")).To(BeTrue())
}

// Guards against failing upstreams that count as lost paths, so that they are never reported.
func TestUpstreamAtFaultIsNoLostPath(t *testing.T) {
	g := NewWithT(t)
	p := twpath.New()
	for n := range 3 {
		p.RecordLoss(at(0), upstream("a", n))
		p.RecordAtFault(at(10), upstream("a", n).Key())
	}
	g.Expect(p.IsAtFault(at(20), upstream("a", 1).Key())).To(BeTrue())
	g.Expect(p.IsLost(at(20), upstream("a", 1).Key())).To(BeFalse())
	g.Expect(p.IsCutOff(at(20), "a")).To(BeFalse())
	g.Expect(p.Lost(at(20), "")).To(BeZero())
	g.Expect(p.IsAtFault(at(1000), upstream("a", 1).Key())).To(BeFalse())
}

func TestProbes(t *testing.T) {
	g := NewWithT(t)
	p := twpath.New()
	p.Use(at(0), upstream("b", 1))
	p.RecordLoss(at(0), upstream("a", 1))
	g.Expect(p.DueProbes(at(100), 9)).To(BeEmpty(), "the path has just been tried")
	g.Expect(p.DueProbes(at(600), 9)).To(ConsistOf(upstream("a", 1)))
	g.Expect(p.DueProbes(at(700), 9)).To(BeEmpty())
	p.RecordLoss(at(700), upstream("a", 2))
	g.Expect(p.DueProbes(at(800), 9)).To(ConsistOf(upstream("b", 1)), "the paths in use are checked once")
	g.Expect(p.DueProbes(at(900), 9)).To(BeEmpty())
	g.Expect(p.DueProbes(at(2000), 1)).To(HaveLen(1))
	g.Expect(p.DueProbes(at(20_000), 9)).To(BeEmpty(), "nothing has needed the paths for long")
	p.DiscardUnknown(at(20_000), func(turmericwall.UpstreamKey) bool { return true })
	g.Expect(p.Lost(at(20_000), "a")).To(BeZero())
}

func TestPathIsCheckedOnceInAWhile(t *testing.T) {
	g := NewWithT(t)
	p, u := twpath.New(), upstream("a", 1)
	g.Expect(p.StartCheck(at(0), u)).To(BeTrue())
	g.Expect(p.StartCheck(at(500), u)).To(BeFalse())
	g.Expect(p.StartCheck(at(1000), u)).To(BeTrue())
	p.RecordLoss(at(1100), u)
	g.Expect(p.StartCheck(at(3000), u)).To(BeFalse())
}
