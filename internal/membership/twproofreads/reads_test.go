package twproofreads_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/membership/twproofreads"
)

const (
	step = 10 * time.Millisecond
	// pollInterval is the time between two checks of a paused watch whether it has to read.
	pollInterval = 100 * time.Millisecond
	// inForceWithin is the age from which a proof is none, and callWait how long calls wait for another one.
	inForceWithin = 2 * time.Second
	callWait      = 400 * time.Millisecond
	// storeReads is the number of reads that the store answers in a second.
	storeReads = 2000
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	errAway = errors.New("no reply from the store")
)

// fleet is a number of daemons that get calls all the while, and lose their leader at the start.
type fleet struct {
	daemons int
	// takes is how long the store takes to answer, and away whether it refuses.
	takes time.Duration
	away  bool
}

// outcome is what the store and callers saw.
type outcome struct {
	reads, mostInASecond, mostInAPoll, mostOfOneInASecond int
	// longestUnproven is the longest time for which a daemon had no proof.
	longestUnproven time.Duration
}

// play plays the span.
func (f fleet) play(span time.Duration) outcome {
	random := rand.New(rand.NewPCG(5, uint64(f.daemons)))
	var o outcome
	perSecond, perPoll := make(map[int64]int), make(map[int64]int)
	for range f.daemons {
		reads := twproofreads.New(twproofreads.Config{Random: random.Float64})
		ofOne := make(map[int64]int)
		provedAt := start.Add(-inForceWithin)
		var sentAt time.Time
		poll := start.Add(time.Duration(random.Int64N(int64(pollInterval))))
		for now := start; now.Before(start.Add(span)); now = now.Add(step) {
			if !sentAt.IsZero() && now.Sub(sentAt) >= f.takes {
				if !f.away {
					provedAt = sentAt
				}
				reads.RecordRead(now, f.daemons, f.err())
				sentAt = time.Time{}
			}
			if unproven := now.Sub(provedAt) - inForceWithin; unproven >= 0 {
				o.longestUnproven = max(o.longestUnproven, unproven)
				reads.Request(now, f.daemons)
			}
			if now.Before(poll) || !sentAt.IsZero() {
				continue
			}
			poll = now.Add(pollInterval)
			if reads.ShouldRead(now) {
				sentAt = now
				o.reads++
				perSecond[int64(now.Sub(start)/time.Second)]++
				perPoll[int64(now.Sub(start)/pollInterval)]++
				ofOne[int64(now.Sub(start)/time.Second)]++
			}
		}
		for _, n := range ofOne {
			o.mostOfOneInASecond = max(o.mostOfOneInASecond, n)
		}
	}
	for _, n := range perSecond {
		o.mostInASecond = max(o.mostInASecond, n)
	}
	for _, n := range perPoll {
		o.mostInAPoll = max(o.mostInAPoll, n)
	}
	return o
}

func (f fleet) err() error {
	if f.away {
		return errAway
	}
	return nil
}

// Guards against a route that is served by an unproved plan after its calls have waited, at daemons that reach the store.
func TestAllDaemonsProveTheirPlanWhileCallsWait(t *testing.T) {
	for _, daemons := range []int{6, 84, 300, 986} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			g := NewWithT(t)
			o := fleet{daemons: daemons, takes: 20 * time.Millisecond}.play(10 * time.Second)
			t.Logf("unproven for %v at most, %d reads a second at most, %d in all", o.longestUnproven, o.mostInASecond, o.reads)
			g.Expect(o.longestUnproven).To(BeNumerically("<", callWait))
			g.Expect(o.mostInASecond).To(BeNumerically("<=", storeReads/2))
			if daemons >= 300 {
				g.Expect(o.mostInAPoll).To(BeNumerically("<=", daemons*3/4), "they are spread")
			}
			g.Expect(o.reads).To(BeNumerically("<=", 6*daemons), "one for each time that a proof is too old")
		})
	}
}

// Guards against all daemons reading a store that is away again and again.
func TestReadsOfAFailingStoreShareOneRate(t *testing.T) {
	const span = 20 * time.Second
	for _, daemons := range []int{6, 84, 300, 986} {
		for _, takes := range []time.Duration{step, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d, after %v", daemons, takes), func(t *testing.T) {
				g := NewWithT(t)
				o := fleet{daemons: daemons, takes: takes, away: true}.play(span)
				t.Logf("%d reads a second at most, %d in all", o.mostInASecond, o.reads)
				g.Expect(o.mostInASecond).To(BeNumerically("<=", storeReads/2))
				g.Expect(o.mostOfOneInASecond).To(BeNumerically("<=", 2))
				g.Expect(o.reads).To(BeNumerically("<=", 2*daemons+max(2*20*10, 2*daemons)), "two each, then the rate of the fleet")
			})
		}
	}
}

// Guards against reads without a call that waits, and against a read for each call.
func TestOneReadIsSharedByAllCallsThatWait(t *testing.T) {
	g := NewWithT(t)
	reads := twproofreads.New(twproofreads.Config{Random: func() float64 { return 0.5 }})
	g.Expect(reads.ShouldRead(start)).To(BeFalse())
	for i := range 3 {
		reads.Request(start.Add(time.Duration(i)*step), 84)
	}
	g.Expect(reads.ShouldRead(start.Add(20 * time.Millisecond))).To(BeFalse())
	g.Expect(reads.ShouldRead(start.Add(21 * time.Millisecond))).To(BeTrue())
	reads.RecordRead(start.Add(30*time.Millisecond), 84, nil)
	g.Expect(reads.ShouldRead(start.Add(time.Minute))).To(BeFalse())
	reads.Request(start.Add(40*time.Millisecond), 84)
	g.Expect(reads.ShouldRead(start.Add(500 * time.Millisecond))).To(BeFalse())
	g.Expect(reads.ShouldRead(start.Add(530 * time.Millisecond))).To(BeTrue())
}

// Guards against a failure of long ago that counts as an outage of the store.
func TestProofFromAfterAFailureEndsIt(t *testing.T) {
	g := NewWithT(t)
	reads := twproofreads.New(twproofreads.Config{Random: func() float64 { return 0.5 }})
	reads.RecordRead(start, 986, errAway)
	reads.RecordRead(start.Add(time.Second), 986, errAway)
	reads.RecordProof(start.Add(900 * time.Millisecond))
	g.Expect(reads.MayProve(start.Add(time.Second))).To(BeFalse(), "the proof is older than the failure")
	reads.RecordProof(start.Add(1100 * time.Millisecond))
	g.Expect(reads.MayProve(start.Add(1100 * time.Millisecond))).To(BeTrue())
	reads.Request(start.Add(3*time.Second), 986)
	g.Expect(reads.ShouldRead(start.Add(3200 * time.Millisecond))).To(BeTrue())
}

// Guards against calls that wait for a read which has begun before they came, and isn't answered.
func TestReadThatIsOverdueIsNotAwaited(t *testing.T) {
	g := NewWithT(t)
	reads := twproofreads.New(twproofreads.Config{Random: func() float64 { return 0 }})
	reads.Request(start, 6)
	g.Expect(reads.ShouldRead(start)).To(BeTrue())
	g.Expect(reads.MayProve(start.Add(callWait - step))).To(BeTrue())
	g.Expect(reads.MayProve(start.Add(callWait))).To(BeFalse())
	reads.RecordRead(start.Add(time.Second), 6, nil)
	g.Expect(reads.MayProve(start.Add(time.Second))).To(BeTrue())
}
