package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// Guards against refusals of late retries with large prompts that wait for a prefill engine after a burst, while two
// thirds of the memory is free: they were refused permanently, as if they waited for memory.
func TestLateRetriesWaitForPrefillEngine(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 5)
	returning := func(n int) string { return fmt.Sprint("return", n) }
	for n := range 6 {
		a.Enqueue(start, placeRequest(returning(n), start, 15_000, 3000))
		a.Withdraw(returning(n))
	}
	later := start.Add(4 * time.Second)
	for n := range 5 {
		a.Enqueue(later, placeRequest(fmt.Sprint("fresh", n), later, 5000, 4500))
	}
	first := a.Decide(later)
	g.Expect(first.Placed).To(HaveLen(5))
	ends := make(map[string]time.Time)
	for _, p := range first.Placed {
		ends[p.ID] = p.PrefillEndsAt
	}
	for n := range 6 {
		again := placeRequest(returning(n)+"again", later, 15_000, 3000)
		again.Work.Subject, again.CallerDeadline = returning(n), start.Add(13*time.Second)
		a.Enqueue(later, again)
	}
	placed := 0
	for at := later; at.Before(later.Add(4 * time.Second)); at = at.Add(20 * time.Millisecond) {
		reportPrefills(a, at, ends)
		d := a.Decide(at)
		placed += len(d.Placed)
		for _, p := range d.Placed {
			ends[p.ID] = p.PrefillEndsAt
		}
		g.Expect(d.Refused).To(BeEmpty())
	}
	g.Expect(placed).To(Equal(6))
}

// reportPrefills reports the prefills that have ended at the time.
func reportPrefills(a *twallocator.Allocator, at time.Time, ends map[string]time.Time) {
	for id, end := range ends {
		if !end.After(at) {
			a.ApplyUpdate(at, turmericwall.PlacementUpdate{ID: id, Running: true, Prefilled: true, PrefillMillis: 100})
			delete(ends, id)
		}
	}
}
