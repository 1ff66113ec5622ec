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

const apart = 3 * time.Second

var start = twboottime.Moment(time.Hour)

func lease(name string) *twlease.Lease {
	return twlease.New(twlease.Config{Self: turmericwall.Member{Name: name, Incarnation: name + "1"}, Apart: apart})
}

func row(name string, fence int64) []byte {
	value, _ := json.Marshal(twlease.Row{Holder: turmericwall.Member{Name: name, Incarnation: name + "1"}, Fence: fence})
	return value
}

func take(g *WithT, l *twlease.Lease, at twboottime.Moment, version int64) {
	intent, due := l.Next(at)
	g.Expect(due).To(BeTrue())
	l.Written(at, intent, version)
}

func TestTheFirstHolderMayOrderAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	_, due := l.Next(start)
	g.Expect(due).To(BeFalse(), "the row was not read yet")
	l.Seen(start, 0, nil)
	take(g, l, start, 9)
	fence, ok := l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(fence).To(BeEquivalentTo(1))
}

// The holder is suspended with an order about to be sent, and wakes after another daemon took the lease. If it sent
// the order, the engine would have two masters. Its term is over by the clock that went on meanwhile.
func TestASuspendedHolderMayNotOrder(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.Seen(start, 0, nil)
	take(g, l, start, 9)
	_, ok := l.Fence(start.Add(3 * time.Second))
	g.Expect(ok).To(BeFalse())
}

// The holder dies. The next one may place calls as soon as the row stayed silent, but an order that the dead holder
// sent in its last moment may still be on its way, so the next one's first order waits for it to be old.
func TestTheNextHolderWaitsWithItsFirstOrder(t *testing.T) {
	g := NewWithT(t)
	l := lease("b")
	l.Seen(start, 40, row("a", 12))
	_, due := l.Next(start.Add(1500 * time.Millisecond))
	g.Expect(due).To(BeFalse(), "the holder may renew yet")
	at := start.Add(1700 * time.Millisecond)
	take(g, l, at, 41)
	g.Expect(l.Holds()).To(BeTrue())
	for at < start.Add(8*time.Second) {
		at = at.Add(time.Second)
		take(g, l, at, 42)
		_, ok := l.Fence(at)
		g.Expect(ok).To(Equal(at >= start.Add(1700*time.Millisecond+3*time.Second+apart+500*time.Millisecond)), time.Duration(at-start).String())
	}
	fence, _ := l.Fence(at)
	g.Expect(fence).To(BeEquivalentTo(41), "above every fence before it")
}

// The answer to the write that takes the lease is lost. Read back, the row names this daemon: it holds the lease, but
// knows no begin of its term before a renewal is confirmed.
func TestALostAnswerIsSettledByReadingBack(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.Seen(start, 0, nil)
	_, due := l.Next(start)
	g.Expect(due).To(BeTrue())
	l.Seen(start.Add(time.Second), 7, row("a", 1))
	g.Expect(l.Holds()).To(BeTrue())
	_, ok := l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeFalse())
	take(g, l, start.Add(time.Second), 8)
	_, ok = l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeTrue())
}

func TestAHolderThatLostTheRowStops(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.Seen(start, 0, nil)
	take(g, l, start, 9)
	l.Seen(start.Add(time.Second), 15, row("b", 10))
	g.Expect(l.Holds()).To(BeFalse())
	_, ok := l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeFalse())
}

// All daemons lose power and start again. The leader's new incarnation finds the row of the former one, which has surely
// ended, and takes it at once: waiting for it to fall silent left all callers to daemons that each know a part of the
// load. What the former one ordered is not known any more, so it is another holder: orders wait.
func TestAnEarlierIncarnationIsAnotherHolderThatHasEnded(t *testing.T) {
	g := NewWithT(t)
	l := twlease.New(twlease.Config{Self: turmericwall.Member{Name: "a", Incarnation: "a2"}, Apart: apart})
	l.Seen(start, 9, row("a", 1))
	g.Expect(l.Holds()).To(BeFalse())
	take(g, l, start, 10)
	g.Expect(l.Holds()).To(BeTrue())
	for at := start; at < start.Add(6*time.Second); at = at.Add(time.Second) {
		_, ok := l.Fence(at)
		g.Expect(ok).To(BeFalse())
		take(g, l, at, 11)
	}
	take(g, l, start.Add(6600*time.Millisecond), 12)
	fence, ok := l.Fence(start.Add(6600 * time.Millisecond))
	g.Expect(ok).To(BeTrue())
	g.Expect(fence).To(BeEquivalentTo(10), "above the former one's")
}

func TestAReleasedLeaseIsTakenAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.Seen(start, 0, nil)
	take(g, l, start, 9)
	intent, ok := l.Release()
	g.Expect(ok).To(BeTrue())
	l.Released()
	g.Expect(l.Holds()).To(BeTrue(), "it places calls until another one does")
	_, ok = l.Fence(start.Add(time.Millisecond))
	g.Expect(ok).To(BeFalse(), "it orders nothing more")
	_, due := l.Next(start.Add(time.Second))
	g.Expect(due).To(BeFalse(), "it doesn't renew")
	l.Lost()
	g.Expect(l.Holds()).To(BeFalse())
	next := lease("b")
	next.Seen(start, 10, intent.Value)
	take(g, next, start, 11)
	_, ok = next.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeFalse(), "the former holder's last order may be on its way")
}

// The holder beats to the others and tells the version of its row. It dies. The others needn't read the row before they
// count its silence: read for the first time after the beats have stopped, it would seem fresh for 1.6 s more.
func TestTheSilenceOfAHolderCountsFromItsLastNews(t *testing.T) {
	g := NewWithT(t)
	l := lease("b")
	holder := turmericwall.Member{Name: "a", Incarnation: "a1"}
	l.Told(start, 9, holder)
	l.Told(start.Add(500*time.Millisecond), 9, holder)
	l.Seen(start.Add(900*time.Millisecond), 9, row("a", 1))
	_, due := l.Next(start.Add(1500 * time.Millisecond))
	g.Expect(due).To(BeFalse())
	_, due = l.Next(start.Add(1700 * time.Millisecond))
	g.Expect(due).To(BeTrue())
	l.Seen(start.Add(1700*time.Millisecond), 11, row("a", 1))
	_, due = l.Next(start.Add(1800 * time.Millisecond))
	g.Expect(due).To(BeFalse(), "it has renewed meanwhile")
	l.Told(start.Add(1900*time.Millisecond), 10, holder)
	g.Expect(l.Version()).To(BeEquivalentTo(11), "old news")
}

// A leader that can't renew goes on for ever as if it might order.
func TestALeaseExpiresWithoutRenewals(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.Seen(start, 0, nil)
	g.Expect(l.Expired(start.Add(time.Hour))).To(BeFalse(), "it was never held")
	take(g, l, start, 9)
	g.Expect(l.Expired(start.Add(2900 * time.Millisecond))).To(BeFalse())
	g.Expect(l.Expired(start.Add(3 * time.Second))).To(BeTrue())
	take(g, l, start.Add(4*time.Second), 10)
	g.Expect(l.Expired(start.Add(5 * time.Second))).To(BeFalse())
}
