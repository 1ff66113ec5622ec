package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// requestAbovePrefillRate requests forty placements per second for the span, from one prefill engine that can serve
// eight, and returns the time after the last one.
func requestAbovePrefillRate(sim *simulation, span time.Duration) time.Time {
	at := start
	for n := 0; at.Before(start.Add(span)); n++ {
		sim.advance(at)
		id := fmt.Sprint("over", n)
		promptTokens[id] = 5000
		sim.answerTokens[id] = 300
		sim.targetAt[id] = at.Add(time.Second)
		sim.allocator.Enqueue(at, placeRequest(id, at, 5000, 300))
		sim.decide()
		at = at.Add(25 * time.Millisecond)
	}
	return at
}

// Guards against role changes because of a burst: an engine that changes its role is unavailable for longer than a
// burst lasts, so only a shortage of at least two seconds counts.
func TestPrefillShortageMustLast(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1, 9)
	sim.pausesStreams = true
	at := requestAbovePrefillRate(sim, 1500*time.Millisecond)
	g.Expect(sim.allocator.EngineDemand(at).Prefill.Shortage).To(BeFalse(), "a burst")
	sim = newSimulation(1, 9)
	sim.pausesStreams = true
	at = requestAbovePrefillRate(sim, 5*time.Second)
	demand := sim.allocator.EngineDemand(at)
	g.Expect(demand.Prefill).To(Equal(turmericwall.RoleDemand{Shortage: true, Acute: true}))
	g.Expect(demand.Decode).To(Equal(turmericwall.RoleDemand{Surplus: true}))
	g.Expect(demand.CostKnown).To(BeTrue())
	g.Expect(sim.allocator.EngineDemand(at.Add(16*time.Second)).Prefill).To(
		Equal(turmericwall.RoleDemand{Surplus: true}), "the shortage has ended")
}

// Guards against taking decode engines away while or shortly after their memory was full, since bursts recur.
func TestDecodeEnginesAreNoSurplusAfterPeak(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(6, 1)
	at := start
	for i := range 60 {
		a.Enqueue(at, placeRequest(fmt.Sprint("peak", i), at, 8000, 4000))
		a.Decide(at)
		at = at.Add(50 * time.Millisecond)
	}
	g.Expect(a.EngineDemand(at).Decode).To(Equal(turmericwall.RoleDemand{Shortage: true, Acute: true}))
	g.Expect(a.EngineDemand(at.Add(10 * time.Second)).Decode.Surplus).To(BeFalse())
}
