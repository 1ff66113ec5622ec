package twconcurrency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twconcurrency"
	"github.com/turmericwall/turmericwall/internal/delivery/twloads"
)

// sizes are the numbers of daemons: few, those of the deployments, and the largest fleet.
var sizes = []int{6, 82, 986}

// surge returns a load that rises from the usual one after two seconds.
func surge(perSecond float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < 2*time.Second {
			return usual
		}
		return perSecond
	}
}

// share plays the replay and returns what part of what the upstreams carry was answered in time, between two times.
func share(t *testing.T, config replayConfig, upstreams int, from, to time.Duration) float64 {
	r := newReplay(config)
	r.run()
	got := float64(r.inTime(from, to)) / (float64(upstreams) * carried * (to - from).Seconds())
	t.Logf("%.3f of what the upstreams carry was answered in time", got)
	return got
}

// atAllSizes runs a test at each number of daemons.
func atAllSizes(t *testing.T, test func(t *testing.T, daemons int)) {
	for _, daemons := range sizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) { test(t, daemons) })
	}
}

// Guards against queues at the upstreams in which every call is late, while twice as many calls come as they carry.
func TestAtTwiceWhatUpstreamsCarryNineTenthsOfItAreInTime(t *testing.T) {
	atAllSizes(t, func(t *testing.T, daemons int) {
		config := replayConfig{daemons: daemons, span: 9 * time.Second, perSecond: surge(2 * 3 * carried)}
		NewWithT(t).Expect(share(t, config, 3, 4*time.Second, 9*time.Second)).To(BeNumerically(">=", 0.9))
	})
}

// Guards against calls that wait at a silent upstream or in the queues of the others, at five times the usual calls.
func TestFiveTimesTheCallsAreInTimeBesideASilentUpstream(t *testing.T) {
	atAllSizes(t, func(t *testing.T, daemons int) {
		config := replayConfig{
			daemons: daemons, span: 9 * time.Second, perSecond: surge(5 * usual),
			at: map[time.Duration]func(*replay){time.Second: func(r *replay) { r.servers[1].silent = true }},
		}
		NewWithT(t).Expect(share(t, config, 2, 4*time.Second, 9*time.Second)).To(BeNumerically(">=", 0.85))
	})
}

// Guards against an upstream that gets no calls, or all of them at once, when it answers again.
func TestUpstreamThatAnswersAgainGetsItsShare(t *testing.T) {
	atAllSizes(t, func(t *testing.T, daemons int) {
		config := replayConfig{
			daemons: daemons, span: 10 * time.Second, perSecond: surge(2 * 3 * carried),
			at: map[time.Duration]func(*replay){
				time.Second:     func(r *replay) { r.servers[1].silent = true },
				5 * time.Second: func(r *replay) { r.servers[1].silent = false },
			},
		}
		NewWithT(t).Expect(share(t, config, 3, 8*time.Second, 10*time.Second)).To(BeNumerically(">=", 0.9))
	})
}

// Guards against a limit that is lost while there is no leader for a second, and against a new leader that sends what it
// alone observed as that of all daemons.
func TestLimitOutlivesTheLeader(t *testing.T) {
	atAllSizes(t, func(t *testing.T, daemons int) {
		config := replayConfig{
			daemons: daemons, span: 9 * time.Second, perSecond: surge(2 * 3 * carried),
			at: map[time.Duration]func(*replay){
				4 * time.Second: func(r *replay) { r.leader = -1 },
				5 * time.Second: func(r *replay) { r.leader = 1 },
			},
		}
		NewWithT(t).Expect(share(t, config, 3, 4*time.Second, 9*time.Second)).To(BeNumerically(">=", 0.85))
	})
}

// Guards against a limit that depends on each heartbeat, and against heartbeats that arrive after later ones.
func TestLimitDoesNotDependOnEachHeartbeat(t *testing.T) {
	atAllSizes(t, func(t *testing.T, daemons int) {
		config := replayConfig{
			daemons: daemons, span: 9 * time.Second, perSecond: surge(2 * 3 * carried), lostShare: 0.1, lateShare: 0.05,
		}
		NewWithT(t).Expect(share(t, config, 3, 4*time.Second, 9*time.Second)).To(BeNumerically(">=", 0.9))
	})
}

// Guards against daemons that add to a queue which those of the previous release keep full: while half of the daemons are of
// it, the others must not make it worse than it was.
func TestDaemonsOfThePreviousReleaseAreServedAsBefore(t *testing.T) {
	atAllSizes(t, func(t *testing.T, daemons int) {
		config := replayConfig{daemons: daemons, span: 9 * time.Second, perSecond: surge(1.2 * 3 * carried), unlimited: daemons}
		before := share(t, config, 3, 4*time.Second, 9*time.Second)
		config.unlimited = daemons / 2
		NewWithT(t).Expect(share(t, config, 3, 4*time.Second, 9*time.Second)).To(BeNumerically(">=", before))
	})
}

// Guards against refusals, messages and another choice of upstreams while there is no overload.
func TestWithoutOverloadCallsAreServedAsBefore(t *testing.T) {
	atAllSizes(t, func(t *testing.T, daemons int) {
		g := NewWithT(t)
		config := replayConfig{daemons: daemons, span: 10 * time.Second, perSecond: func(time.Duration) float64 { return 1.7 * usual }}
		limited := newReplay(config)
		limited.run()
		config.unlimited = daemons
		before := newReplay(config)
		before.run()
		g.Expect(limited.messages).To(BeZero())
		g.Expect(limited.calls).To(HaveLen(len(before.calls)))
		for i, c := range limited.calls {
			g.Expect(c.refusals).To(BeZero())
			g.Expect(c.sentTo).To(Equal(before.calls[i].sentTo))
		}
	})
}

// Guards against calls that are refused although the upstreams carry all that come, which counts of short spans don't show
// exactly.
func TestNoCallIsRefusedWhileTheUpstreamsCarryAll(t *testing.T) {
	atAllSizes(t, func(t *testing.T, daemons int) {
		r := newReplay(replayConfig{daemons: daemons, span: 10 * time.Second, perSecond: surge(5 * usual)})
		r.run()
		for _, c := range r.calls {
			NewWithT(t).Expect(c.refusals).To(BeZero())
		}
	})
}

// overloaded returns a limiter that knows of twice the calls that three upstreams carry, a quarter of which are late.
func overloaded() (*twconcurrency.Limiter, []turmericwall.Upstream) {
	l := twconcurrency.New(twconcurrency.Config{
		TargetMillis: func(string) int64 { return targetMillis }, Random: func() float64 { return 0.5 },
	})
	load := turmericwall.ServiceLoad{Service: "filings", Arrivals: 2400, LateArrivals: 600}
	var upstreams []turmericwall.Upstream
	for i := range 3 {
		upstreams = append(upstreams, turmericwall.Upstream{ID: fmt.Sprint("s", i), Service: "filings", Slots: slots})
		load.Upstreams = append(load.Upstreams, turmericwall.UpstreamLoad{ID: fmt.Sprint("s", i), Open: 22, Answers: carried, AnswerMillis: 54})
	}
	for range 2 {
		l.Apply(start, []turmericwall.ServiceLoad{load})
		l.Admit(start, fresh(), upstreams, true, isOpen)
	}
	return l, upstreams
}

func isOpen(turmericwall.Upstream) bool { return true }

func fresh() twconcurrency.Call {
	return twconcurrency.Call{
		Service: "filings", TargetMillis: targetMillis, TargetAt: start.Add(targetMillis * time.Millisecond),
		Deadline: start.Add(deadlineMillis * time.Millisecond),
	}
}

// Guards against late calls that take the place of those that can still be on time, and against a refusal that has callers
// come back later than they wait.
func TestLateCallsYieldToThoseThatCanBeOnTime(t *testing.T) {
	g := NewWithT(t)
	l, upstreams := overloaded()
	late := fresh()
	late.TargetAt = start.Add(40 * time.Millisecond)
	admitted := map[bool]int{}
	for i := range 1000 {
		call := fresh()
		if i%4 == 0 {
			call = late
		}
		d := l.Admit(start, call, upstreams, true, isOpen)
		g.Expect(d.Limited).To(BeTrue())
		if d.Admitted {
			admitted[call == late]++
			continue
		}
		g.Expect(d.RetryAt).To(BeTemporally(">=", start.Add(50*time.Millisecond)))
		g.Expect(d.RetryAt).To(BeTemporally("<=", start.Add(200*time.Millisecond)))
	}
	g.Expect(admitted[true]).To(BeNumerically("<=", 1))
	g.Expect(admitted[false]).To(BeNumerically("~", 500, 30))
}

// Guards against a limit that outlives what is known of the service.
func TestLimitEndsWithWhatIsKnownOfTheService(t *testing.T) {
	g := NewWithT(t)
	l, upstreams := overloaded()
	g.Expect(l.IsLimited(start.Add(2*time.Second), "filings")).To(BeTrue())
	d := l.Admit(start.Add(2001*time.Millisecond), fresh(), upstreams, true, isOpen)
	g.Expect(d).To(Equal(twconcurrency.Decision{}))
	l.Apply(start, []turmericwall.ServiceLoad{{Service: "filings"}})
	g.Expect(l.Admit(start, fresh(), upstreams, true, isOpen)).To(Equal(twconcurrency.Decision{}))
}

// Guards against calls that are refused although they are answered within the target: the upstreams are slow, their rate is
// below that of the few calls that arrive, and one of them still has room.
func TestNoLimitBeginsWhileCallsAreAnsweredInTime(t *testing.T) {
	g := NewWithT(t)
	load := turmericwall.ServiceLoad{Service: "filings", Arrivals: 90}
	var upstreams []turmericwall.Upstream
	for i := range 5 {
		upstreams = append(upstreams, turmericwall.Upstream{ID: fmt.Sprint("s", i), Service: "filings", Slots: 4})
		load.Upstreams = append(load.Upstreams, turmericwall.UpstreamLoad{ID: fmt.Sprint("s", i), Open: 7, Answers: 8, AnswerMillis: 400})
	}
	load.Upstreams[0].Open = 3
	for _, elsewhere := range []bool{false, true} {
		l := twconcurrency.New(twconcurrency.Config{TargetMillis: func(string) int64 { return 1000 }, Random: func() float64 { return 0 }})
		load.Limited = elsewhere
		l.Apply(start, []turmericwall.ServiceLoad{load})
		g.Expect(l.Admit(start, fresh(), upstreams, true, isOpen).Limited).To(Equal(elsewhere), "it begins at all daemons together")
	}
}

func BenchmarkAdmit(b *testing.B) {
	l, upstreams := overloaded()
	for b.Loop() {
		l.Admit(start, fresh(), upstreams, true, isOpen)
	}
}

// BenchmarkMerge merges the reports of the largest fleet.
func BenchmarkMerge(b *testing.B) {
	board := twloads.New()
	loads := []turmericwall.ServiceLoad{{Service: "filings", Arrivals: 2.4, Pressed: true, Upstreams: []turmericwall.UpstreamLoad{
		{ID: "s0", Open: 1, Answers: 0.4, AnswerMillis: 54}, {ID: "s1", Open: 1, Answers: 0.4}, {ID: "s2", Answers: 0.4},
	}}}
	for i := range 986 {
		board.Record(start, fmt.Sprint(i), loads)
	}
	for b.Loop() {
		board.Merge(start)
	}
}
