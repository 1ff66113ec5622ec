package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// boundRequest returns a call that may run at the engine only, and whose caller waits until the deadline.
func boundRequest(id, only string, at, giveUpDeadline time.Time) turmericwall.PlaceRequest {
	bound := placeRequest(id, at, 2000, 300)
	bound.Only, bound.GiveUpDeadline = only, giveUpDeadline
	return bound
}

// Guards against a stream that ends although its only engine, which accepts one call a second, was free for it in time: calls that could
// run elsewhere took the engine.
func TestEngineIsKeptForTheCallThatMayRunNowhereElse(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(5, 4)
	refusing := []turmericwall.UpstreamKey{engines(5, 4)[5].Key()}
	a.SetUnavailable(start, nil, refusing)
	a.Enqueue(start, boundRequest("bound", "d00", start, start.Add(1300*time.Millisecond)))
	placedAt, placed := make(map[string]int64), 0
	for millis := int64(0); millis < 1300; millis += 20 {
		at := start.Add(time.Duration(millis) * time.Millisecond)
		if millis == 900 {
			a.SetUnavailable(at, nil, nil)
		}
		if millis%100 == 0 {
			a.Enqueue(at, placeRequest(fmt.Sprint("other", millis), at, 2000, 300))
		}
		d := a.Decide(at)
		g.Expect(d.Refused).To(BeEmpty())
		for _, p := range d.Placed {
			if p.Decode.ID == "d00" {
				placedAt[p.ID] = millis
				a.SetUnavailable(at, nil, refusing)
			}
		}
		placed += len(d.Placed)
	}
	g.Expect(placedAt).To(Equal(map[string]int64{"bound": 900}))
	g.Expect(placed).To(Equal(1+13), "calls that may run elsewhere wait")
}

// Guards against a bound call that keeps an engine, or waits, for longer than its caller does, or for an engine that takes no calls any
// more.
func TestBoundCallIsRefusedOnceItsEngineCannotTakeIt(t *testing.T) {
	until := start.Add(300 * time.Millisecond)
	for _, c := range []struct {
		name      string
		change    func(a *twallocator.Allocator, list []turmericwall.Upstream)
		refusedAt time.Time
	}{
		{"full", func(a *twallocator.Allocator, list []turmericwall.Upstream) {
			a.SetUnavailable(start, nil, []turmericwall.UpstreamKey{list[2].Key()})
		}, until},
		{"leaving", func(a *twallocator.Allocator, list []turmericwall.Upstream) {
			list[2].Leaving = true
			a.SetEngines(start, list)
		}, start},
		{"not listed", func(a *twallocator.Allocator, list []turmericwall.Upstream) { a.SetEngines(start, list[:2]) }, start},
		{"prefill engine", func(a *twallocator.Allocator, list []turmericwall.Upstream) {
			list[2].Role = turmericwall.RolePrefill
			a.SetEngines(start, list)
		}, start},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a := newAllocator(1, 2)
			c.change(a, engines(1, 2)[:3:3])
			a.Enqueue(start, boundRequest("bound", "d01", start, until))
			for at := start; ; at = at.Add(20 * time.Millisecond) {
				d := a.Decide(at)
				if len(d.Refused) > 0 {
					g.Expect(at).To(Equal(c.refusedAt))
					return
				}
				g.Expect(at).To(BeTemporally("<", c.refusedAt))
			}
		})
	}
}
