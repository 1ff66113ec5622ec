package twpicker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twpicker"
)

var (
	once     = twpicker.Call{TargetMillis: 120, RunsOnce: true}
	repeated = twpicker.Call{TargetMillis: 120}
)

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// send picks an upstream at the time and sends the call there.
func send(p *twpicker.Picker, at time.Time, call twpicker.Call, upstreams ...turmericwall.Upstream) string {
	u, ok := p.Pick(at, call, upstreams)
	if !ok {
		return ""
	}
	p.MarkSent(at, call, u)
	return u.ID
}

// silenced returns a picker whose upstream near has left two calls unanswered that were sent at the start and ended after
// 600 ms.
func silenced(g *WithT) *twpicker.Picker {
	p := twpicker.New(twpicker.Config{Zone: "here"})
	near := threeUpstreams()[0]
	for range 2 {
		g.Expect(send(p, start, once, near)).To(Equal("near"))
	}
	for range 2 {
		p.ReleaseSent(after(600), near, 600*time.Millisecond)
	}
	return p
}

// Guards against an upstream that answers nothing and looks idle: its average is discarded after three seconds without an
// answer, and calls whose callers leave are no failures.
func TestSilentUpstreamGetsNoCallThatMayRunOnlyOnce(t *testing.T) {
	g := NewWithT(t)
	p := twpicker.New(twpicker.Config{Zone: "here"})
	near := threeUpstreams()[0]
	for range 2 {
		send(p, start, once, near)
	}
	for millis := 120; millis < 4500; millis += 50 {
		g.Expect(send(p, after(millis), once, near)).To(BeEmpty(), "after %d ms", millis)
		if millis == 620 {
			p.ReleaseSent(after(millis), near, 620*time.Millisecond)
			p.RecordFailure(after(millis), near, 620*time.Millisecond)
		}
	}
}

// Guards against calls that wait at an upstream which has left one unanswered, before it is certain that it is silent.
func TestOldestOpenCallIsALowerBoundOfTheAnswerTime(t *testing.T) {
	g := NewWithT(t)
	p := twpicker.New(twpicker.Config{Zone: "here"})
	g.Expect(send(p, start, once, threeUpstreams()...)).To(Equal("near"))
	g.Expect(send(p, after(61), once, threeUpstreams()...)).NotTo(Equal("near"))
}

// Guards against many probes of a silent upstream, each of which is lost, and against an upstream that is never tried again.
func TestSilentUpstreamIsProbedByOneCallUntilItAnswers(t *testing.T) {
	g := NewWithT(t)
	p := silenced(g)
	near := threeUpstreams()[0]
	g.Expect(send(p, after(700), repeated, near)).To(BeEmpty(), "the first probe follows later")
	g.Expect(send(p, after(2000), repeated, threeUpstreams()...)).To(Equal("near"))
	for range 5 {
		g.Expect(send(p, after(2010), repeated, near)).To(BeEmpty())
	}
	p.RecordAnswer(after(2050), near, 50*time.Millisecond, true)
	g.Expect(send(p, after(2051), once, near)).To(Equal("near"))
}

// Guards against calls that may run only once and are sent as probes, and against a silent upstream that is counted among those
// that carry calls while a probe is due.
func TestOnlyACallThatMayBeRepeatedIsAProbe(t *testing.T) {
	g := NewWithT(t)
	p := silenced(g)
	near := threeUpstreams()[0]
	_, ok := p.PickProbe(after(2000), once, threeUpstreams())
	g.Expect(ok).To(BeFalse())
	u, ok := p.PickProbe(after(2000), repeated, threeUpstreams())
	g.Expect(ok).To(BeTrue())
	g.Expect(u).To(Equal(near))
	g.Expect(p.IsOpenTo(after(2000), repeated, near)).To(BeFalse())
	g.Expect(p.IsOpenTo(after(2000), once, threeUpstreams()[1])).To(BeTrue())
	_, ok = p.PickProbe(after(2001), repeated, threeUpstreams())
	g.Expect(ok).To(BeFalse(), "one at a time")
}

// Guards against an upstream of a service whose calls may all run only once that gets no call for good.
func TestSilentUpstreamOfCallsThatRunOnceIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	p := silenced(g)
	near := threeUpstreams()[0]
	g.Expect(send(p, after(4601), once, near)).To(Equal("near"))
	g.Expect(send(p, after(4602), once, near)).To(BeEmpty(), "one call at a time")
}

// Guards against calls refused because one call takes long at the only upstream of its service.
func TestOneLongCallClosesNoUpstream(t *testing.T) {
	g := NewWithT(t)
	p := twpicker.New(twpicker.Config{Zone: "here"})
	near := threeUpstreams()[0]
	send(p, start, once, near)
	for millis := 20; millis < 2000; millis += 20 {
		g.Expect(send(p, after(millis), once, near)).To(Equal("near"), "after %d ms", millis)
		p.RecordAnswer(after(millis+15), near, 15*time.Millisecond, true)
	}
}

// Guards against a choice among healthy upstreams that changes because open calls are tracked.
func TestChoiceAmongHealthyUpstreamsDoesNotDependOnOpenCalls(t *testing.T) {
	g := NewWithT(t)
	tracking, plain := twpicker.New(twpicker.Config{Zone: "here"}), twpicker.New(twpicker.Config{Zone: "here"})
	type open struct {
		upstream turmericwall.Upstream
		endsAt   time.Time
		span     time.Duration
	}
	var calls []open
	random := rand.New(rand.NewPCG(3, 4))
	for millis := range 60_000 {
		now := after(millis)
		rest := calls[:0]
		for _, c := range calls {
			if c.endsAt.After(now) {
				rest = append(rest, c)
				continue
			}
			for _, p := range []*twpicker.Picker{tracking, plain} {
				p.RecordAnswer(now, c.upstream, c.span, true)
			}
		}
		calls = rest
		if random.Float64() > 0.2 {
			continue
		}
		u, ok := tracking.Pick(now, once, threeUpstreams())
		v, _ := plain.Pick(now, once, threeUpstreams())
		g.Expect(ok).To(BeTrue())
		g.Expect(u).To(Equal(v))
		tracking.MarkSent(now, once, u)
		span := time.Duration(10+random.IntN(30)) * time.Millisecond
		calls = append(calls, open{upstream: u, endsAt: now.Add(span), span: span})
	}
}
