package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// allocatorAfterCrash returns an allocator whose engines answered calls of the given number of callers until their
// daemon was killed. Their first events arrived at start.
func allocatorAfterCrash(g *WithT, callers int) *twallocator.Allocator {
	a := newAllocator(1, 4)
	for i := range callers {
		call := placeRequest(fmt.Sprint("c", i), start, 5000, 2000)
		call.Owner = "killed"
		a.Enqueue(start, call)
		g.Expect(a.Decide(start).Placed).To(HaveLen(1))
		a.ApplyUpdate(
			start, turmericwall.PlacementUpdate{ID: call.ID, Running: true, Prefilled: true, PrefillMillis: 100},
		)
	}
	a.ReleaseOwner("killed")
	return a
}

// retryOf returns the second attempt of a caller, with a new id and the same deadline.
func retryOf(i int, at time.Time) turmericwall.PlaceRequest {
	again := placeRequest(fmt.Sprint("again", i), at, 5000, 2000)
	again.Work.Subject, again.CallerDeadline = fmt.Sprint("c", i), start.Add(13*time.Second)
	return again
}

// Guards against queueing the prompts of eight callers of a killed daemon before the one prefill engine again, although
// their decode engines still have them cached: the last one and any new call would wait for a second.
func TestRetriesAreServedFromPromptCache(t *testing.T) {
	g := NewWithT(t)
	a := allocatorAfterCrash(g, 8)
	at := start.Add(500 * time.Millisecond)
	for i := range 8 {
		a.Enqueue(at, retryOf(i, at))
	}
	a.Enqueue(at, placeRequest("fresh", at, 5000, 2000))
	d := a.Decide(at)
	g.Expect(d.Placed).To(HaveLen(9))
	for _, p := range d.Placed {
		if p.ID == "fresh" {
			g.Expect(p.Prefill.ID).To(Equal("p00"))
			continue
		}
		g.Expect(p.Prefill.ID).To(BeEmpty())
		g.Expect(p.PrefillEndsAt.Sub(at)).To(BeNumerically("<", 50*time.Millisecond))
	}
}

// Guards against counting on cached prompts of an engine that crashed and restarted under the same id.
func TestRestartedEngineHasNoCachedPrompts(t *testing.T) {
	g := NewWithT(t)
	a := allocatorAfterCrash(g, 1)
	list := engines(1, 4)
	for i := range list {
		list[i].StartedMillis = 7
	}
	a.SetEngines(start, list)
	at := start.Add(500 * time.Millisecond)
	a.Enqueue(at, retryOf(0, at))
	g.Expect(a.Decide(at).Placed[0].Prefill.ID).To(Equal("p00"))
}

// Guards against retries that are sent again and again to full engines, which evict cached prompts for new runs, and
// wait there for a prefill beside other streams. After a few misses they go to prefill engines.
func TestPromptCacheIsNotUsedAfterMisses(t *testing.T) {
	g := NewWithT(t)
	a := allocatorAfterCrash(g, 8)
	at := start.Add(500 * time.Millisecond)
	prefilledElsewhere := 0
	for i := range 8 {
		a.Enqueue(at, retryOf(i, at))
		placed := a.Decide(at).Placed
		g.Expect(placed).To(HaveLen(1))
		if placed[0].Prefill.ID != "" {
			prefilledElsewhere++
		}
		a.ApplyUpdate(
			at, turmericwall.PlacementUpdate{ID: placed[0].ID, Running: true, Prefilled: true, PrefillMillis: 240},
		)
		a.ApplyUpdate(at, turmericwall.PlacementUpdate{ID: placed[0].ID})
		at = at.Add(300 * time.Millisecond)
	}
	g.Expect(prefilledElsewhere).To(BeNumerically(">=", 4))
	at = at.Add(11 * time.Second)
	a.RecordCachedPrompts(at, turmericwall.UpstreamKey{ID: "d00"},
		[]turmericwall.CachedPrompt{{Subject: "later", Tokens: 4900}})
	again := placeRequest("later", at, 5000, 2000)
	a.Enqueue(at, again)
	g.Expect(a.Decide(at).Placed[0].Prefill.ID).To(BeEmpty(), "the cache is used again after the interval")
}

// Guards against prefilling prompts of retries again at a new leader that knows no caller, after all daemons have lost
// power, although the engines have reported their cached prompts.
func TestNewLeaderUsesReportedCachedPrompts(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 4)
	a.RecordCachedPrompts(start, turmericwall.UpstreamKey{ID: "d02"},
		[]turmericwall.CachedPrompt{{Subject: "c0", Tokens: 4900}})
	a.RecordCachedPrompts(start, turmericwall.UpstreamKey{ID: "gone"},
		[]turmericwall.CachedPrompt{{Subject: "c1", Tokens: 4900}})
	at := start.Add(200 * time.Millisecond)
	a.Enqueue(at, retryOf(0, at))
	a.Enqueue(at, retryOf(1, at))
	d := a.Decide(at)
	g.Expect(d.Placed).To(HaveLen(2))
	placements := map[string]turmericwall.Placement{d.Placed[0].ID: d.Placed[0], d.Placed[1].ID: d.Placed[1]}
	g.Expect(placements["again0"].Decode.ID).To(Equal("d02"))
	g.Expect(placements["again0"].Prefill.ID).To(BeEmpty())
	g.Expect(placements["again1"].Prefill.ID).To(Equal("p00"))
}

// Guards against counting on a cached prompt after the engine got more calls than fit into its memory: the caller would
// wait for a prefill beside other streams.
func TestEvictedPromptIsPrefilledElsewhere(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 1)
	a.RecordCachedPrompts(start, turmericwall.UpstreamKey{ID: "d00"},
		[]turmericwall.CachedPrompt{{Subject: "c0", Tokens: 4900}})
	at := start
	for i := range 12 {
		call := placeRequest(fmt.Sprint("other", i), at, 8000, 1000)
		a.Enqueue(at, call)
		g.Expect(a.Decide(at).Placed).To(HaveLen(1))
		a.ApplyUpdate(at, turmericwall.PlacementUpdate{ID: call.ID, Running: true, Prefilled: true, PrefillMillis: 100})
		at = at.Add(300 * time.Millisecond)
		a.ApplyUpdate(at, turmericwall.PlacementUpdate{ID: call.ID})
	}
	a.Enqueue(at, retryOf(0, at))
	d := a.Decide(at)
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].Prefill.ID).To(Equal("p00"))
}
