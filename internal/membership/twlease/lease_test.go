package twlease_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twlease"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const orderGap = 3 * time.Second

var start = twboottime.Instant(time.Hour)

// lease returns the lease of the named daemon's first incarnation.
func lease(name string) *twlease.Lease {
	return twlease.New(twlease.Config{
		Self: turmericwall.Member{Name: name, Incarnation: name + "1"}, OrderGap: orderGap,
	})
}

// row returns the row that the named daemon's first incarnation holds.
func row(name string, fence int64) []byte {
	value, _ := json.Marshal(twlease.Row{
		Holder: turmericwall.Member{Name: name, Incarnation: name + "1"}, Fence: fence,
	})
	return value
}

// takeOrRenew writes the row, which must be due, and confirms the write with the version.
func takeOrRenew(g *WithT, l *twlease.Lease, at twboottime.Instant, version int64) {
	write, due := l.NextWrite(at)
	g.Expect(due).To(BeTrue())
	l.ConfirmWrite(at, write, version)
}

func TestFirstHolderMayOrderAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	_, due := l.NextWrite(start)
	g.Expect(due).To(BeFalse(), "the row was not read yet")
	l.RecordRow(start, 0, nil)
	takeOrRenew(g, l, start, 9)
	fence, ok := l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(fence).To(BeEquivalentTo(1))
}

// The holder is suspended just before it sends an order, and resumes after another daemon took the lease. If it sent
// the order, the engine would obey two leaders. Its term must have expired by the clock that runs during the
// suspension.
func TestSuspendedHolderMayNotOrder(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.RecordRow(start, 0, nil)
	takeOrRenew(g, l, start, 9)
	_, ok := l.Fence(start.Add(3 * time.Second))
	g.Expect(ok).To(BeFalse())
}

// The holder terminates. The next one may place calls once the row was unchanged for the takeover time. An order of
// the former holder may still be in transit, so the next one's first order must wait until it is too old.
func TestNextHolderDelaysItsFirstOrder(t *testing.T) {
	g := NewWithT(t)
	l := lease("b")
	l.RecordRow(start, 40, row("a", 12))
	_, due := l.NextWrite(start.Add(1500 * time.Millisecond))
	g.Expect(due).To(BeFalse(), "the holder may still renew")
	at := start.Add(1700 * time.Millisecond)
	takeOrRenew(g, l, at, 41)
	g.Expect(l.Holds()).To(BeTrue())
	for at < start.Add(8*time.Second) {
		at = at.Add(time.Second)
		takeOrRenew(g, l, at, 42)
		_, ok := l.Fence(at)
		g.Expect(ok).To(Equal(at >= start.Add(1700*time.Millisecond+3*time.Second+orderGap+500*time.Millisecond)),
			time.Duration(at-start).String())
	}
	fence, _ := l.Fence(at)
	g.Expect(fence).To(BeEquivalentTo(41), "above all earlier fencing tokens")
}

// The reply to the write that takes the lease is lost. The row read back names this daemon: it holds the lease, but
// its term starts only with a confirmed renewal.
func TestTakeoverIsFoundByReadingBackAfterLostReply(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.RecordRow(start, 0, nil)
	_, due := l.NextWrite(start)
	g.Expect(due).To(BeTrue())
	l.RecordRow(start.Add(time.Second), 7, row("a", 1))
	g.Expect(l.Holds()).To(BeTrue())
	_, ok := l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeFalse())
	takeOrRenew(g, l, start.Add(time.Second), 8)
	_, ok = l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeTrue())
}

func TestHolderThatLostTheRowMayNotOrder(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.RecordRow(start, 0, nil)
	takeOrRenew(g, l, start, 9)
	l.RecordRow(start.Add(time.Second), 15, row("b", 10))
	g.Expect(l.Holds()).To(BeFalse())
	_, ok := l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeFalse())
}

// All daemons restart after a power loss. The leader's new incarnation must take the row of its former one at once:
// otherwise all calls are placed locally until the lease times out, by daemons that each know only part of the load.
// It does not know the former incarnation's orders, so its own orders must wait as after another holder.
func TestLeaseOfEarlierIncarnationIsTakenAtOnceButOrdersWait(t *testing.T) {
	g := NewWithT(t)
	l := twlease.New(twlease.Config{Self: turmericwall.Member{Name: "a", Incarnation: "a2"}, OrderGap: orderGap})
	l.RecordRow(start, 9, row("a", 1))
	g.Expect(l.Holds()).To(BeFalse())
	takeOrRenew(g, l, start, 10)
	g.Expect(l.Holds()).To(BeTrue())
	for at := start; at < start.Add(6*time.Second); at = at.Add(time.Second) {
		_, ok := l.Fence(at)
		g.Expect(ok).To(BeFalse())
		takeOrRenew(g, l, at, 11)
	}
	takeOrRenew(g, l, start.Add(6600*time.Millisecond), 12)
	fence, ok := l.Fence(start.Add(6600 * time.Millisecond))
	g.Expect(ok).To(BeTrue())
	g.Expect(fence).To(BeEquivalentTo(10), "above the fencing token of the former incarnation")
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.RecordRow(start, 0, nil)
	takeOrRenew(g, l, start, 9)
	write, ok := l.ReleaseWrite()
	g.Expect(ok).To(BeTrue())
	l.MarkReleased()
	g.Expect(l.Holds()).To(BeTrue(), "it places calls until another daemon takes the lease")
	_, ok = l.Fence(start.Add(time.Millisecond))
	g.Expect(ok).To(BeFalse(), "it sends no more orders")
	_, due := l.NextWrite(start.Add(time.Second))
	g.Expect(due).To(BeFalse(), "it does not renew")
	l.Yield()
	g.Expect(l.Holds()).To(BeFalse())
	next := lease("b")
	next.RecordRow(start, 10, write.Value)
	takeOrRenew(g, next, start, 11)
	_, ok = next.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeFalse(), "the former holder's last order may still be in transit")
}

// The holder sends heartbeats with the version of its row, and terminates. The takeover time must count from the
// first heartbeat with the last version: counted from the first read of the row after that, the takeover comes up to
// 1.6 s later.
func TestTakeoverTimeoutCountsFromLastVersionReceived(t *testing.T) {
	g := NewWithT(t)
	l := lease("b")
	holder := turmericwall.Member{Name: "a", Incarnation: "a1"}
	l.RecordVersion(start, 9, holder)
	l.RecordVersion(start.Add(500*time.Millisecond), 9, holder)
	l.RecordRow(start.Add(900*time.Millisecond), 9, row("a", 1))
	_, due := l.NextWrite(start.Add(1500 * time.Millisecond))
	g.Expect(due).To(BeFalse())
	_, due = l.NextWrite(start.Add(1700 * time.Millisecond))
	g.Expect(due).To(BeTrue())
	l.RecordRow(start.Add(1700*time.Millisecond), 11, row("a", 1))
	_, due = l.NextWrite(start.Add(1800 * time.Millisecond))
	g.Expect(due).To(BeFalse(), "the holder has renewed meanwhile")
	l.RecordVersion(start.Add(1900*time.Millisecond), 10, holder)
	g.Expect(l.Version()).To(BeEquivalentTo(11), "an older version is ignored")
}

// Guards against a leader that cannot renew the lease and still counts as able to send orders.
func TestLeaseExpiresWithoutRenewals(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.RecordRow(start, 0, nil)
	g.Expect(l.Expired(start.Add(time.Hour))).To(BeFalse(), "the lease was never held")
	takeOrRenew(g, l, start, 9)
	g.Expect(l.Expired(start.Add(2900 * time.Millisecond))).To(BeFalse())
	g.Expect(l.Expired(start.Add(3 * time.Second))).To(BeTrue())
	takeOrRenew(g, l, start.Add(4*time.Second), 10)
	g.Expect(l.Expired(start.Add(5 * time.Second))).To(BeFalse())
}
