package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// overloadPrefill simulates a peak after the loss of all prefill engines but one: prompts of 5,000 tokens arrive at
// three times the speed of that engine, and nine decode engines have memory for the answers.
func overloadPrefill(pausesStreams bool) (sim *simulation, requested int) {
	sim = newSimulation(1, 9)
	sim.pausesStreams = pausesStreams
	for at := start; at.Before(start.Add(12 * time.Second)); at = at.Add(40 * time.Millisecond) {
		sim.advance(at)
		id := fmt.Sprintf("gone%04d", requested)
		promptTokens[id] = 5000
		sim.answerTokens[id] = 800
		sim.targetAt[id] = at.Add(time.Second)
		sim.allocator.Enqueue(at, placeRequest(id, at, 5000, 800))
		sim.decide()
		requested++
	}
	for range 40 {
		sim.advance(sim.now.Add(100 * time.Millisecond))
	}
	return sim, requested
}

// Guards against refusing one call in three after two of three prefill engines have left at the peak, although the
// decode engines have memory for twice the answers and their streams hardly pause during a prefill. The first trials
// must show that, and then nearly all calls must be served.
func TestDecodeEnginesPrefillAfterLossOfPrefillEngines(t *testing.T) {
	g := NewWithT(t)
	sim, requested := overloadPrefill(false)
	t.Logf("requested %d, on time %d, late %d, refused %d", requested, sim.onTime, sim.late, sim.refused)
	g.Expect(sim.onTime).To(BeNumerically(">", requested*4/5))
}

// Guards against local prefills that make a stream late for each placed call, on engines whose streams pause too long.
// A few trials must show that.
func TestLocalPrefillStopsWhenStreamsPause(t *testing.T) {
	g := NewWithT(t)
	sim, requested := overloadPrefill(true)
	t.Logf("requested %d, on time %d, late %d, refused %d, paused %d",
		requested, sim.onTime, sim.late, sim.refused, len(sim.paused))
	g.Expect(len(sim.paused)).To(BeNumerically("<", requested/20))
}
