package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Guards against engines that fail their calls at once and therefore always have the most free memory, so that they get
// all calls. Forty calls per second arrive for 6.5 seconds; two of twenty decode engines fail.
func TestFailingEnginesGetFewCalls(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(5, 20)
	failing := map[string]bool{"d00": true, "d01": true}
	lost, served := 0, 0
	updates := make(map[time.Time][]turmericwall.PlacementUpdate)
	for millis := 0; millis < 6500; millis += 25 {
		at := start.Add(time.Duration(millis) * time.Millisecond)
		for targetAt, list := range updates {
			if targetAt.After(at) {
				continue
			}
			for _, update := range list {
				a.ApplyUpdate(at, update)
			}
			delete(updates, targetAt)
		}
		id := fmt.Sprint("call", millis)
		a.Enqueue(at, placeRequest(id, at, 2000, 300))
		for _, p := range a.Decide(at).Placed {
			update := turmericwall.PlacementUpdate{ID: p.ID, Prefilled: true, PrefillMillis: 40}
			if failing[p.Decode.ID] {
				lost++
				update.FailedEngine = p.Decode.ID
				updates[at.Add(10*time.Millisecond)] = append(updates[at.Add(10*time.Millisecond)], update)
				continue
			}
			served++
			update.AnswerTokens, update.AnswerMillis = 300, 500
			updates[at.Add(500*time.Millisecond)] = append(updates[at.Add(500*time.Millisecond)], update)
		}
	}
	g.Expect(lost).To(BeNumerically("<=", 8), "at most four calls for each failing engine")
	g.Expect(lost).To(BeNumerically(">=", 2))
	g.Expect(served).To(BeNumerically(">=", 250))
}

// Guards against refusing all calls when the network between daemons and engines fails briefly and every engine fails a
// call.
func TestMostEnginesStayInUseWhenAllFail(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(5, 20)
	for _, u := range engines(5, 20) {
		a.ApplyUpdate(start, turmericwall.PlacementUpdate{ID: "none", FailedEngine: u.ID})
	}
	at := start.Add(100 * time.Millisecond)
	used := make(map[string]bool)
	for n := range 24 {
		a.Enqueue(at, placeRequest(fmt.Sprint("call", n), at, 500, 300))
	}
	for _, p := range a.Decide(at).Placed {
		used[p.Decode.ID] = true
	}
	g.Expect(len(used)).To(BeNumerically(">=", 12))
}

// Guards against a long ejection of the only prefill engine that can be on time, when exports expire one after the
// other.
func TestSuspectedEngineIsUsedAgainAfterBackoff(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 2)
	for millis := 0; millis < 2000; millis += 100 {
		a.ApplyUpdate(start.Add(time.Duration(millis)*time.Millisecond),
			turmericwall.PlacementUpdate{ID: "none", SuspectedEngine: "p00"})
	}
	at := start.Add(2500 * time.Millisecond)
	a.Enqueue(at, placeRequest("call", at, 500, 300))
	placed := a.Decide(at).Placed
	g.Expect(placed).To(HaveLen(1))
	g.Expect(placed[0].Prefill.ID).To(Equal("p00"))
}

// Guards against a stream that ends because the only engine at which it may go on was ejected for the answer that broke.
func TestEjectedEngineGetsCallsThatMayRunNowhereElse(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(5, 20)
	for range 4 {
		a.ApplyUpdate(start, turmericwall.PlacementUpdate{ID: "none", FailedEngine: "d00"})
	}
	at := start.Add(100 * time.Millisecond)
	bound := placeRequest("bound", at, 2000, 300)
	bound.Only = "d00"
	a.Enqueue(at, bound)
	d := a.Decide(at)
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].Decode.ID).To(Equal("d00"))
}
