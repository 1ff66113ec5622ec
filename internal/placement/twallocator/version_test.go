package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// versionedAllocator has prefill and decode engines of v1, and two decode engines of v2 that come last.
func versionedAllocator(prefills, decodes int) *twallocator.Allocator {
	return tunedAllocator(twallocator.DefaultTuning(), prefills, decodes)
}

func tunedAllocator(tuning twallocator.Tuning, prefills, decodes int) *twallocator.Allocator {
	list := engines(prefills, decodes+2)
	for i := range list {
		list[i].Version = "v1"
		if i >= prefills+decodes {
			list[i].Version = "v2"
		}
	}
	a := twallocator.New(tuning)
	a.SetPlan(enginePlan())
	a.SetEngines(start, list)
	return a
}

// Guards against a stream that goes on at another version, or not at all although two of a thousand engines have its
// version: a sample of the engines may have none of them.
func TestCallRunsAtItsVersionOnly(t *testing.T) {
	for _, busy := range []bool{false, true} {
		g := NewWithT(t)
		a := versionedAllocator(40, 200)
		if busy {
			for i := range 600 {
				a.Enqueue(start, placeRequest(fmt.Sprintf("a%03d", i), start, 3000, 1000))
			}
			a.Decide(start)
		}
		for i := range 5 {
			moving := placeRequest(fmt.Sprintf("m%d", i), start, 5000, 3000)
			moving.Moving, moving.Version = true, "v2"
			a.Enqueue(start, moving)
			d := a.Decide(start)
			g.Expect(d.Placed).NotTo(BeEmpty())
			g.Expect(d.Placed[0].Decode.Version).To(BeEquivalentTo("v2"))
			g.Expect(d.Placed[0].Version).To(BeEquivalentTo("v2"))
		}
	}
}

// Guards against a call that is placed elsewhere while an engine may still run it, and against one that isn't placed since a sample of
// the engines doesn't have that one.
func TestCallThatMayRunAtOneEngineOnlyIsPlacedThere(t *testing.T) {
	g := NewWithT(t)
	a := versionedAllocator(40, 200)
	only := engines(40, 200)[187].ID
	for i := range 4 {
		bound := placeRequest(fmt.Sprintf("b%d", i), start, 3000, 1000)
		bound.Only = only
		a.Enqueue(start, bound)
		d := a.Decide(start)
		g.Expect(d.Placed).To(HaveLen(1))
		g.Expect(d.Placed[0].Decode.ID).To(Equal(only))
	}
	unknown := placeRequest("u", start, 3000, 1000)
	unknown.Only = "unknown"
	a.Enqueue(start, unknown)
	g.Expect(a.Decide(start).Placed).To(BeEmpty())
}

// Guards against a call that waits for a version of which no engine is left.
func TestCallOfAVersionThatIsGoneIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := versionedAllocator(4, 4)
	call := placeRequest("a", start, 5000, 3000)
	call.Version = "v3"
	a.Enqueue(start, call)
	d := a.Decide(start)
	g.Expect(d.Refused).To(HaveLen(1))
	g.Expect(d.Refused[0].VersionGone).To(BeTrue())
	g.Expect(d.Refused[0].RetryAt).To(BeTemporally(">", start))
}

// Guards against new streams that take the room at the last engines of a version before the streams that can go nowhere
// else, and against such a stream that holds up the placement of others.
func TestStreamsThatGoOnArePlacedFirst(t *testing.T) {
	g := NewWithT(t)
	a := versionedAllocator(8, 1)
	for i := range 60 {
		a.Enqueue(start, placeRequest(fmt.Sprintf("a%02d", i), start, 5000, 3000))
	}
	for i := range 4 {
		call := placeRequest(fmt.Sprintf("z%d", i), start, 5000, 3000)
		call.Version = turmericwall.SoftwareVersion("v1")
		a.Enqueue(start, call)
	}
	d := a.Decide(start)
	g.Expect(len(d.Placed)).To(BeNumerically("<", 64), "memory does not suffice for all calls")
	for i := range 4 {
		g.Expect(d.Placed[i].ID).To(Equal(fmt.Sprintf("z%d", i)))
	}
	g.Expect(len(d.Placed)).To(BeNumerically(">", 8), "other calls are placed at other versions")
}

// Guards against memory of one version that an engine of another one imports.
func TestPromptIsReadAtTheVersionThatImportsIt(t *testing.T) {
	g := NewWithT(t)
	list := engines(4, 6)
	for i := range list {
		list[i].Version = turmericwall.SoftwareVersion(fmt.Sprint("v", i%2))
	}
	a := twallocator.New(twallocator.DefaultTuning())
	a.SetPlan(enginePlan())
	a.SetEngines(start, list)
	for i := range 60 {
		a.Enqueue(start, placeRequest(fmt.Sprintf("a%02d", i), start, 3000, 1000))
	}
	placed := a.Decide(start).Placed
	g.Expect(len(placed)).To(BeNumerically(">", 20))
	used := make(map[turmericwall.SoftwareVersion]int)
	for _, p := range placed {
		if p.Prefill.ID != "" {
			g.Expect(p.Prefill.Version).To(Equal(p.Decode.Version))
		}
		g.Expect(p.Version).To(BeEmpty(), "no version was required")
		used[p.Decode.Version]++
	}
	g.Expect(used).To(HaveLen(2), "both versions get calls")

	// The last decode engines have another version than the prefill engines.
	for i := range list {
		list[i].Version = "v1"
		if list[i].Role == turmericwall.RolePrefill {
			list[i].Version = "v0"
		}
	}
	a.SetEngines(start, list)
	a.Enqueue(start, placeRequest("last", start, 3000, 1000))
	d := a.Decide(start)
	for _, p := range d.Placed {
		g.Expect(p.Prefill.ID).To(BeEmpty(), "the decode engine reads the prompt itself")
	}
}

// Guards against streams that go on later than new ones begin, because their callers made the first attempt long ago.
func TestStreamThatGoesOnIsNotLate(t *testing.T) {
	g := NewWithT(t)
	tuning := twallocator.DefaultTuning()
	tuning.LateMemoryShare = 0.5
	a := tunedAllocator(tuning, 8, 2)
	call := placeRequest("first", start, 5000, 3000)
	a.Enqueue(start, call)
	g.Expect(a.Decide(start).Placed).To(HaveLen(1))
	a.Withdraw("first")
	now, ofVersion := start, ""
	for i := 0; ; i++ {
		now = now.Add(60 * time.Millisecond)
		a.Enqueue(now, placeRequest(fmt.Sprintf("a%02d", i), now, 5000, 3000))
		placed := a.Decide(now).Placed
		if len(placed) == 0 {
			break
		}
		if placed[0].Decode.Version == "v1" {
			ofVersion = placed[0].ID
		}
	}
	a.Withdraw(ofVersion)
	goingOn := call
	goingOn.ID, goingOn.Version, goingOn.TargetDeadline = "second", "v1", now.Add(time.Second)
	a.Enqueue(now, goingOn)
	g.Expect(a.Decide(now).Placed).To(ContainElement(HaveField("ID", "second")))
}
