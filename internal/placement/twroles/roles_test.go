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
	// idle is the need before any call came, and busy that of calls of which nothing is known yet.
	idle = turmericwall.EngineNeed{}
	busy = turmericwall.EngineNeed{Busy: true}
	// reading and answering are costs at which one engine in four, and two in five, should read.
	answering = turmericwall.CallCost{ReadMillis: 100, AnswerMillis: 300}
	reading   = turmericwall.CallCost{ReadMillis: 200, AnswerMillis: 300}
)

// load is the need of calls that take cost.
func load(cost turmericwall.CallCost, readers, answerers turmericwall.RoleNeed) turmericwall.EngineNeed {
	return turmericwall.EngineNeed{Busy: true, Known: true, Cost: cost, Readers: readers, Answerers: answerers}
}

var (
	short = turmericwall.RoleNeed{Short: true}
	spare = turmericwall.RoleNeed{Spare: true}
	full  = turmericwall.RoleNeed{}
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

// quiet returns roles that have seen the engines for long enough, and the moment after it.
func quiet(list []turmericwall.Upstream) (*twroles.Roles, time.Time) {
	r := twroles.New(twroles.DefaultTuning())
	r.Plan(start, plan, list, idle)
	return r, start.Add(2 * time.Second)
}

func TestSurplusPrefillEnginesAnswerBeforeCallsCome(t *testing.T) {
	g := NewWithT(t)
	list := engines(7, 11)
	r, at := quiet(list)
	changes := r.Plan(at, plan, list, idle)
	g.Expect(changes).To(HaveLen(2))
	g.Expect(changes[0].Role).To(Equal(turmericwall.RoleDecode))
	g.Expect(r.Plan(at.Add(time.Second), plan, list, idle)).To(BeEmpty(), "they are changing")
}

// Engines register one after the other over some seconds. Orders given for the first few of them were taken back when
// the rest came, and the engines were away at the first calls.
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

// Some engines crash at the peak and come back four seconds later. Each change takes an engine away for six seconds;
// the roles are left as they are.
func TestACrashAtThePeakMovesNoEngine(t *testing.T) {
	g := NewWithT(t)
	r, at := quiet(engines(4, 14))
	need := load(answering, full, short)
	g.Expect(r.Plan(at, plan, engines(4, 10), need)).To(BeEmpty())
	g.Expect(r.Plan(at.Add(4*time.Second), plan, engines(4, 14), need)).To(BeEmpty())
	g.Expect(r.Plan(at.Add(8*time.Second), plan, engines(3, 14), need)).To(BeEmpty())
}

// An engine that reads crashes, and the others can't read in time. Its new incarnation, under another id, is there
// sooner than a decode engine could take its role.
func TestACrashedEngineIsCountedOnToComeBack(t *testing.T) {
	g := NewWithT(t)
	list := engines(4, 12)
	r, at := quiet(list)
	need := load(answering, short, spare)
	r.Plan(at, plan, list, need)
	g.Expect(r.Plan(at.Add(time.Second), plan, list[1:], need)).To(BeEmpty())
	again := list[0]
	again.ID = "new"
	g.Expect(r.Plan(at.Add(2*time.Second), plan, append(list[1:], again), need)).To(BeEmpty())
	g.Expect(r.Plan(at.Add(8*time.Second), plan, append(list[1:], again), need)).To(BeEmpty())
}

// Two of three engines that read leave at the peak, and say so. The decode engines have room; one of them is told to read
// at once, and then another.
func TestReadersThatLeaveAreReplaced(t *testing.T) {
	g := NewWithT(t)
	list := engines(3, 9)
	r, at := quiet(list)
	need := load(answering, short, spare)
	g.Expect(r.Plan(at, plan, list, need)).To(BeEmpty())
	list[0].Leaving, list[1].Leaving = true, true
	changes := r.Plan(at.Add(time.Second), plan, list, need)
	g.Expect(changes).To(HaveLen(2))
	g.Expect(changes[0].Role).To(Equal(turmericwall.RolePrefill))
	g.Expect(r.Plan(at.Add(2*time.Second), plan, list, need)).To(BeEmpty())
}

// The peak needs engines of both roles. One that is taken from those that answer is away while it is needed most.
func TestNoEngineIsTakenFromARoleThatCannotSpareIt(t *testing.T) {
	g := NewWithT(t)
	list := engines(2, 10)
	r, at := quiet(list)
	g.Expect(r.Plan(at, plan, list, load(reading, short, full))).To(BeEmpty())
	g.Expect(r.Plan(at, plan, list, load(reading, full, spare))).To(BeEmpty(), "calls are read in time")
	g.Expect(r.Plan(at, plan, list, load(reading, short, spare))).NotTo(BeEmpty())
}

// The calls' answers are long. Engines that read more than is needed answer as soon as that is known: they have nothing to
// finish first.
func TestSpareReadersAnswerAsSoonAsCallsAreKnown(t *testing.T) {
	g := NewWithT(t)
	list := engines(5, 7)
	r, at := quiet(list)
	g.Expect(r.Plan(at, plan, list, busy)).To(BeEmpty())
	changes := r.Plan(at, plan, list, load(answering, spare, full))
	g.Expect(changes).To(HaveLen(2))
	g.Expect(changes[0].Role).To(Equal(turmericwall.RoleDecode))
}

func TestLostPrefillEnginesAreReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	list := engines(0, 14)
	r, at := quiet(list)
	changes := r.Plan(at, plan, list, busy)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Role).To(Equal(turmericwall.RolePrefill))
	g.Expect(r.Plan(at.Add(time.Second), plan, list, busy)).To(BeEmpty())
}

// An order without an answer may be carried out seconds later. The engine is not ordered again meanwhile.
func TestAnUnansweredOrderIsNotRepeated(t *testing.T) {
	g := NewWithT(t)
	list := engines(7, 11)
	r, at := quiet(list)
	changes := r.Plan(at, plan, list, idle)
	g.Expect(r.Plan(at.Add(5*time.Second), plan, list, idle)).To(BeEmpty())
	r.Declined(changes[0].Upstream.ID)
	g.Expect(r.Plan(at.Add(6*time.Second), plan, list, idle)).To(HaveLen(1))
}

func TestASingleEngineKeepsItsRole(t *testing.T) {
	g := NewWithT(t)
	r, at := quiet(engines(0, 1))
	g.Expect(r.Plan(at, plan, engines(0, 1), idle)).To(BeEmpty())
}

// The split is weighed for services of all sizes: each role keeps an engine, and nearly all of what could be served is.
func TestTheSplitFollowsTheLoadAtAllSizes(t *testing.T) {
	g := NewWithT(t)
	for _, total := range []int{3, 6, 12, 18, 60} {
		for _, cost := range []turmericwall.CallCost{answering, reading, {ReadMillis: 300, AnswerMillis: 100}} {
			list := engines(total/2, total-total/2)
			r, at := quiet(list)
			need := load(cost, spare, spare)
			need.Busy = false
			prefills := total / 2
			for _, c := range r.Plan(at, plan, list, need) {
				if c.Role == turmericwall.RolePrefill {
					prefills++
				} else {
					prefills--
				}
			}
			wanted := float64(total) * cost.ReadMillis / (cost.ReadMillis + cost.AnswerMillis)
			g.Expect(prefills).To(BeNumerically("~", wanted, 1), "%d engines, %+v", total, cost)
			g.Expect(prefills).To(And(BeNumerically(">", 0), BeNumerically("<", total)))
		}
	}
}
