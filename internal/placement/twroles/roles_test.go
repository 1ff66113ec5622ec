package twroles_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twroles"
)

var (
	start = time.Unix(1000, 0)
	plan  = turmericwall.EnginePlan{RoleChangeMillis: 6000}
	// idle is the need before any call arrived, busy that of calls whose cost is still unknown.
	idle = turmericwall.EngineDemand{}
	busy = turmericwall.EngineDemand{Busy: true}
	// decodeHeavy and prefillHeavy are costs at which one engine in four, and two in five, should prefill.
	decodeHeavy  = turmericwall.CallCost{PrefillMillis: 100, DecodeMillis: 300}
	prefillHeavy = turmericwall.CallCost{PrefillMillis: 200, DecodeMillis: 300}
)

// busyNeed is the need of calls with the given cost.
func busyNeed(cost turmericwall.CallCost, prefill, decode turmericwall.RoleDemand) turmericwall.EngineDemand {
	return turmericwall.EngineDemand{Busy: true, CostKnown: true, Cost: cost, Prefill: prefill, Decode: decode}
}

var (
	shortage = turmericwall.RoleDemand{Shortage: true}
	surplus  = turmericwall.RoleDemand{Surplus: true}
	balanced = turmericwall.RoleDemand{}
)

func engines(prefills, decodes int) []turmericwall.Upstream {
	var list []turmericwall.Upstream
	for i := range prefills + decodes {
		role := turmericwall.RoleDecode
		if i < prefills {
			role = turmericwall.RolePrefill
		}
		list = append(list, turmericwall.Upstream{ID: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint(i % 3), Role: role})
	}
	return list
}

// settledPlanner returns a planner that has seen the engines for long enough to order changes, and the time after
// that.
func settledPlanner(list []turmericwall.Upstream) (*twroles.Planner, time.Time) {
	r := twroles.New(twroles.DefaultTuning())
	r.Plan(start, plan, list, idle)
	return r, start.Add(2 * time.Second)
}

func TestSurplusPrefillEnginesMoveToDecodeWhileIdle(t *testing.T) {
	g := NewWithT(t)
	list := engines(7, 11)
	r, at := settledPlanner(list)
	changes := r.Plan(at, plan, list, idle)
	g.Expect(changes).To(HaveLen(2))
	g.Expect(changes[0].Role).To(Equal(turmericwall.RoleDecode))
	g.Expect(r.Plan(at.Add(time.Second), plan, list, idle)).To(BeEmpty(), "the two engines are changing their role")
}

// Engines register one after the other over several seconds. If the first few were ordered to change, the orders would
// be reversed when the rest registered, and the engines would be changing their role when the first calls arrive.
func TestNoChangeWhileEnginesStillRegister(t *testing.T) {
	g := NewWithT(t)
	r := twroles.New(twroles.DefaultTuning())
	at := start
	for n := 2; n <= 18; n++ {
		g.Expect(r.Plan(at, plan, engines(min(n, 7), max(n-7, 0)), idle)).To(BeEmpty())
		at = at.Add(400 * time.Millisecond)
	}
	g.Expect(r.Plan(at.Add(time.Second), plan, engines(7, 11), idle)).To(HaveLen(2))
}

// Several engines crash at the peak and restart four seconds later. A role change takes six seconds, so the roles must
// stay as they are.
func TestCrashAtPeakChangesNoRole(t *testing.T) {
	g := NewWithT(t)
	r, at := settledPlanner(engines(4, 14))
	demand := busyNeed(decodeHeavy, balanced, shortage)
	g.Expect(r.Plan(at, plan, engines(4, 10), demand)).To(BeEmpty())
	g.Expect(r.Plan(at.Add(4*time.Second), plan, engines(4, 14), demand)).To(BeEmpty())
	g.Expect(r.Plan(at.Add(8*time.Second), plan, engines(3, 14), demand)).To(BeEmpty())
}

// A prefill engine crashes, and the others cannot prefill all calls in time. Its next incarnation registers under
// another ID, sooner than a decode engine could take its role.
func TestACrashedEngineIsExpectedToRestart(t *testing.T) {
	g := NewWithT(t)
	list := engines(4, 12)
	r, at := settledPlanner(list)
	demand := busyNeed(decodeHeavy, shortage, surplus)
	r.Plan(at, plan, list, demand)
	g.Expect(r.Plan(at.Add(time.Second), plan, list[1:], demand)).To(BeEmpty())
	restarted := list[0]
	restarted.ID = "new"
	g.Expect(r.Plan(at.Add(2*time.Second), plan, append(list[1:], restarted), demand)).To(BeEmpty())
	g.Expect(r.Plan(at.Add(8*time.Second), plan, append(list[1:], restarted), demand)).To(BeEmpty())
}

// Two of three prefill engines announce at the peak that they leave. The decode engines have a surplus, so two of them
// must be ordered to prefill at once.
func TestLeavingPrefillEnginesAreReplaced(t *testing.T) {
	g := NewWithT(t)
	list := engines(3, 9)
	r, at := settledPlanner(list)
	demand := busyNeed(decodeHeavy, shortage, surplus)
	g.Expect(r.Plan(at, plan, list, demand)).To(BeEmpty())
	list[0].Leaving, list[1].Leaving = true, true
	changes := r.Plan(at.Add(time.Second), plan, list, demand)
	g.Expect(changes).To(HaveLen(2))
	g.Expect(changes[0].Role).To(Equal(turmericwall.RolePrefill))
	g.Expect(r.Plan(at.Add(2*time.Second), plan, list, demand)).To(BeEmpty())
}

// The peak needs engines of both roles. A decode engine ordered to prefill would be unavailable when it is needed
// most.
func TestNoEngineIsTakenFromARoleThatCannotSpareIt(t *testing.T) {
	g := NewWithT(t)
	list := engines(2, 10)
	r, at := settledPlanner(list)
	g.Expect(r.Plan(at, plan, list, busyNeed(prefillHeavy, shortage, balanced))).To(BeEmpty())
	g.Expect(r.Plan(at, plan, list, busyNeed(prefillHeavy, balanced, surplus))).To(BeEmpty(), "prefills are in time")
	g.Expect(r.Plan(at, plan, list, busyNeed(prefillHeavy, shortage, surplus))).NotTo(BeEmpty())
}

// The answers of the calls are long. Surplus prefill engines must change to decode as soon as the cost is known, since
// they have no running answers to finish first.
func TestSurplusPrefillEnginesMoveToDecodeOnceCostIsKnown(t *testing.T) {
	g := NewWithT(t)
	list := engines(5, 7)
	r, at := settledPlanner(list)
	g.Expect(r.Plan(at, plan, list, busy)).To(BeEmpty())
	changes := r.Plan(at, plan, list, busyNeed(decodeHeavy, surplus, balanced))
	g.Expect(changes).To(HaveLen(2))
	g.Expect(changes[0].Role).To(Equal(turmericwall.RoleDecode))
}

func TestLostPrefillEnginesAreReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	list := engines(0, 14)
	r, at := settledPlanner(list)
	changes := r.Plan(at, plan, list, busy)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Role).To(Equal(turmericwall.RolePrefill))
	g.Expect(r.Plan(at.Add(time.Second), plan, list, busy)).To(BeEmpty())
}

// An order without a reply may still be carried out seconds later. The engine must not be ordered again until then.
func TestAnUnansweredOrderIsNotRepeated(t *testing.T) {
	g := NewWithT(t)
	list := engines(7, 11)
	r, at := settledPlanner(list)
	changes := r.Plan(at, plan, list, idle)
	g.Expect(r.Plan(at.Add(5*time.Second), plan, list, idle)).To(BeEmpty())
	r.DiscardChange(changes[0].Upstream.ID)
	g.Expect(r.Plan(at.Add(6*time.Second), plan, list, idle)).To(HaveLen(1))
}

func TestASingleEngineKeepsItsRole(t *testing.T) {
	g := NewWithT(t)
	r, at := settledPlanner(engines(0, 1))
	g.Expect(r.Plan(at, plan, engines(0, 1), idle)).To(BeEmpty())
}

// For services of all sizes, the split must follow the cost of calls, and each role must keep an engine.
func TestTheSplitFollowsTheLoadAtAllSizes(t *testing.T) {
	g := NewWithT(t)
	for _, total := range []int{3, 6, 12, 18, 60} {
		for _, cost := range []turmericwall.CallCost{
			decodeHeavy, prefillHeavy, {PrefillMillis: 300, DecodeMillis: 100},
		} {
			list := engines(total/2, total-total/2)
			r, at := settledPlanner(list)
			demand := busyNeed(cost, surplus, surplus)
			demand.Busy = false
			prefills := total / 2
			for _, c := range r.Plan(at, plan, list, demand) {
				if c.Role == turmericwall.RolePrefill {
					prefills++
				} else {
					prefills--
				}
			}
			wantPrefills := float64(total) * cost.PrefillMillis / (cost.PrefillMillis + cost.DecodeMillis)
			g.Expect(prefills).To(BeNumerically("~", wantPrefills, 1), "%d engines, %+v", total, cost)
			g.Expect(prefills).To(And(BeNumerically(">", 0), BeNumerically("<", total)))
		}
	}
}

// Guards against a service that keeps one or two prefill engines for good after it lost the others: its decode engines
// show no surplus while they wait for prompts.
func TestLossOfMostPrefillEnginesChangesTheSplit(t *testing.T) {
	for name, c := range map[string]struct {
		prefills, decodes int
		prefill, decode   turmericwall.RoleDemand
		changed           bool
	}{
		"one left":            {1, 12, turmericwall.RoleDemand{Acute: true}, balanced, true},
		"two left":            {2, 16, turmericwall.RoleDemand{Acute: true}, balanced, true},
		"calls in time":       {1, 12, balanced, balanced, false},
		"none lost":           {5, 13, turmericwall.RoleDemand{Acute: true}, balanced, false},
		"one lost of a dozen": {10, 36, turmericwall.RoleDemand{Acute: true}, balanced, false},
		"decode engines lost": {5, 4, balanced, turmericwall.RoleDemand{Acute: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			list := engines(c.prefills, c.decodes)
			r, at := settledPlanner(list)
			changes := r.Plan(at, plan, list, busyNeed(decodeHeavy, c.prefill, c.decode))
			g.Expect(len(changes) > 0).To(Equal(c.changed), "%v", changes)
		})
	}
}
