package twallocator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

var start = time.Unix(10_000, 0)

func enginePlan() turmericwall.EnginePlan {
	return turmericwall.EnginePlan{Slots: 16, MemoryTokens: 76_000, TokensPerEvent: 50, MaxReservationMillis: 2000}
}

func engines(prefills, decodes int) []turmericwall.Upstream {
	var list []turmericwall.Upstream
	for i := range prefills {
		list = append(list, turmericwall.Upstream{
			ID: fmt.Sprintf("p%02d", i), Zone: "z", Slots: 16, Role: turmericwall.RolePrefill,
		})
	}
	for i := range decodes {
		list = append(list, turmericwall.Upstream{
			ID: fmt.Sprintf("d%02d", i), Zone: "z", Slots: 16, Role: turmericwall.RoleDecode,
		})
	}
	return list
}

func newAllocator(prefills, decodes int) *twallocator.Allocator {
	a := twallocator.New(twallocator.DefaultTuning())
	a.SetPlan(enginePlan())
	a.SetEngines(start, engines(prefills, decodes))
	return a
}

func placeRequest(id string, at time.Time, prompt, hint int) turmericwall.PlaceRequest {
	return turmericwall.PlaceRequest{
		ID: id, Service: "s", Owner: "o", Zone: "z",
		Work:           turmericwall.ModelWork{PromptTokens: prompt, HintTokens: hint, MaxTokens: 6500, Subject: id},
		TargetDeadline: at.Add(time.Second), GiveUpDeadline: at.Add(14 * time.Second),
		CallerDeadline: at.Add(13 * time.Second), EventGapMillis: 300,
	}
}

// Guards against calls of an urgent account that wait behind those of others while memory is short.
func TestUrgentCallIsPlacedFirst(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(4, 1)
	for i := range 12 {
		call := placeRequest(fmt.Sprintf("a%02d", i), start, 5000, 3000)
		call.Priority = 2
		a.Enqueue(start, call)
	}
	urgent := placeRequest("urgent", start.Add(300*time.Millisecond), 5000, 3000)
	urgent.Priority = 1
	a.Enqueue(start, urgent)
	d := a.Decide(start)
	g.Expect(len(d.Placed)).To(BeNumerically("<", 13), "memory does not suffice for all calls")
	g.Expect(d.Placed[0].ID).To(Equal("urgent"))
}

func TestCallIsPlacedOnEnginesOfBothRoles(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 2)
	a.Enqueue(start, placeRequest("a", start, 5000, 3000))
	d := a.Decide(start)
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].Prefill.ID).To(Equal("p00"))
	g.Expect(d.Placed[0].Decode.ID).To(HavePrefix("d"))
	g.Expect(d.Placed[0].ReserveTokens).To(BeNumerically(">", 6000), "the prompt and the beginning of the answer")
	g.Expect(d.NextAt).To(BeZero())
}

func TestLeavingAndFullEnginesGetNoCalls(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 2)
	list := engines(1, 2)
	list[1].Leaving = true
	a.SetEngines(start, list)
	a.Enqueue(start, placeRequest("a", start, 5000, 3000))
	g.Expect(a.Decide(start).Placed[0].Decode.ID).To(Equal("d01"))
	a.ApplyUpdate(start, turmericwall.PlacementUpdate{ID: "a", FullEngine: "d01"})
	a.Enqueue(start, placeRequest("b", start, 5000, 3000))
	g.Expect(a.Decide(start).Placed).To(BeEmpty())
	a.Decide(start.Add(200 * time.Millisecond))
	g.Expect(a.Waiting()).To(BeZero(), "placed when the engine may be tried again")
}

func TestPromptBeyondEngineMemoryIsRefusedPermanently(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 2)
	a.Enqueue(start, placeRequest("a", start, 80_000, 100))
	d := a.Decide(start)
	g.Expect(d.Refused).To(HaveLen(1))
	g.Expect(d.Refused[0].Permanent).To(BeTrue())
}

// Guards against calls of a burst that wait for a prefill in vain until their deadline, and against retries that all
// arrive at the same time.
func TestExcessCallsOfBurstAreRefusedWithSpreadRetryTimes(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(2, 6)
	for i := range 120 {
		a.Enqueue(start, placeRequest(fmt.Sprintf("c%03d", i), start, 5000, 3000))
	}
	d := a.Decide(start)
	g.Expect(len(d.Placed)).To(BeNumerically(">=", 12))
	g.Expect(len(d.Refused)).To(BeNumerically(">", 50))
	earliest, latest := time.Time{}, time.Time{}
	for _, v := range d.Refused {
		g.Expect(v.RetryAt.After(start)).To(BeTrue())
		if earliest.IsZero() || v.RetryAt.Before(earliest) {
			earliest = v.RetryAt
		}
		if v.RetryAt.After(latest) {
			latest = v.RetryAt
		}
	}
	g.Expect(latest.Sub(earliest)).To(BeNumerically(">", time.Second))
}

// Guards against a retry that counts as a new call: its answer is late in any case, and while engines are nearly full
// it would take the memory of a call that can be on time.
func TestLateRetryDoesNotDisplaceCall(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(2, 1)
	for i := range 7 {
		a.Enqueue(start, placeRequest(fmt.Sprintf("c%d", i), start, 5000, 4500))
	}
	g.Expect(a.Decide(start).Placed).NotTo(BeEmpty())
	a.Enqueue(start, placeRequest("first", start, 5000, 4500))
	a.Decide(start)
	later := start.Add(1200 * time.Millisecond)
	again := placeRequest("second", later, 5000, 4500)
	again.Work.Subject, again.CallerDeadline = "first", start.Add(13*time.Second)
	a.Enqueue(later, again)
	for _, p := range a.Decide(later).Placed {
		g.Expect(p.ID).NotTo(Equal("second"))
	}
}

// Guards against late streams: while a decode engine prefills a prompt, each of its streams pauses for nearly the whole
// prefill.
func TestLocalPrefillIsLimitedByEventGap(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(0, 1)
	a.Enqueue(start, placeRequest("a", start, 2000, 3000))
	g.Expect(a.Decide(start).Placed).To(HaveLen(1), "an idle engine has no streams to delay")
	later := start.Add(300 * time.Millisecond)
	a.ApplyUpdate(later, turmericwall.PlacementUpdate{ID: "a", Running: true, Prefilled: true, PrefillMillis: 100})
	for i := range 4 {
		a.Adopt(later, turmericwall.PlacedCall{
			Request: placeRequest(fmt.Sprint("other", i), later, 2000, 3000), Engine: "d00", AgeMillis: 200,
		})
	}
	a.Enqueue(later, placeRequest("long", later, 9000, 3000))
	g.Expect(a.Decide(later).Placed).To(BeEmpty())
	a.Enqueue(later, placeRequest("short", later, 1500, 3000))
	d := a.Decide(later)
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].ID).To(Equal("short"))
	g.Expect(d.Placed[0].Prefill.ID).To(BeEmpty())
}

// Guards against a leader that refuses all calls after daemons had placed calls locally: prefills had seemed slow,
// because each daemon saw only its own, and without calls the speed was never measured again.
func TestOldPrefillSpeedExpires(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 4)
	at := start
	for i := range 12 {
		id := fmt.Sprintf("slow%d", i)
		slow := placeRequest(id, at, 5000, 300)
		slow.TargetDeadline = at.Add(time.Minute)
		a.Enqueue(at, slow)
		a.Decide(at)
		at = at.Add(2 * time.Second)
		a.ApplyUpdate(at, turmericwall.PlacementUpdate{ID: id, Running: true, Prefilled: true, PrefillMillis: 2000})
		a.ApplyUpdate(at, turmericwall.PlacementUpdate{ID: id})
	}
	a.Enqueue(at, placeRequest("now", at, 5000, 300))
	g.Expect(a.Decide(at).Placed).To(BeEmpty(), "the engine is slow")
	at = at.Add(4 * time.Second)
	a.Enqueue(at, placeRequest("later", at, 5000, 300))
	g.Expect(a.Decide(at).Placed).To(HaveLen(1))
}

func TestPartialAllocatorMeasuresNoPrefillSpeed(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 4)
	a.SetPartial(true)
	at := start
	for i := range 12 {
		id := fmt.Sprintf("slow%d", i)
		a.Enqueue(at, placeRequest(id, at, 5000, 300))
		g.Expect(a.Decide(at).Placed).To(HaveLen(1))
		at = at.Add(2 * time.Second)
		a.ApplyUpdate(at, turmericwall.PlacementUpdate{ID: id, Running: true, Prefilled: true, PrefillMillis: 2000})
		a.ApplyUpdate(at, turmericwall.PlacementUpdate{ID: id})
	}
}

// Guards against a crash of the leader when several runs of a leaving engine move in one decision: the first one left
// its new engine without a projection.
func TestSeveralRunsMoveInOneDecision(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 1)
	for i := range 3 {
		moving := placeRequest(fmt.Sprintf("m%d", i), start, 6000, 500)
		moving.Moving = true
		a.Enqueue(start, moving)
	}
	a.Enqueue(start, placeRequest("fresh", start, 5000, 3000))
	g.Expect(a.Decide(start).Placed).To(HaveLen(4))
}

func TestSweepReleasesCallsWithoutReportedEnd(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 1)
	a.Enqueue(start, placeRequest("a", start, 5000, 3000))
	a.Decide(start)
	a.Sweep(start.Add(10 * time.Second))
	g.Expect(a.Busy()).To(BeTrue())
	a.Sweep(start.Add(2 * time.Minute))
	g.Expect(a.Busy()).To(BeFalse())
}

func TestReleaseOwnerReleasesOnlyItsCalls(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 1)
	a.Enqueue(start, placeRequest("a", start, 5000, 3000))
	other := placeRequest("b", start, 5000, 3000)
	other.Owner = "p"
	a.Enqueue(start, other)
	a.Decide(start)
	a.ReleaseOwner("o")
	g.Expect(a.Busy()).To(BeTrue())
	a.ReleaseOtherOwners("o")
	g.Expect(a.Busy()).To(BeFalse())
}

func TestAdoptedCallsCountAgainstMemory(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 1)
	for i := range 8 {
		a.Adopt(start, turmericwall.PlacedCall{
			Request: placeRequest(fmt.Sprintf("r%d", i), start, 8000, 6000), Engine: "d00", AgeMillis: 100,
		})
	}
	a.Adopt(start, turmericwall.PlacedCall{Request: placeRequest("x", start, 8000, 6000), Engine: "unknown"})
	a.Enqueue(start, placeRequest("a", start, 8000, 6000))
	g.Expect(a.Decide(start).Placed).To(BeEmpty())
}

// simulation replays a load on engines with fixed prefill and decode speeds and counts the outcomes.
type simulation struct {
	allocator     *twallocator.Allocator
	now           time.Time
	prefillEndsAt map[string]time.Time
	startedAt     map[string]time.Time
	targetAt      map[string]time.Time
	answerTokens  map[string]int
	heldPrompts   map[string]map[string]float64
	// pausesStreams is set when streams pause too long while their engine prefills; paused are the streams that did.
	pausesStreams bool
	paused        map[string]bool
	events        []event
	onTime        int
	late          int
	refused       int
	overflow      int
}

func newSimulation(prefills, decodes int) *simulation {
	return &simulation{
		allocator: newAllocator(prefills, decodes), now: start,
		prefillEndsAt: map[string]time.Time{}, startedAt: map[string]time.Time{}, targetAt: map[string]time.Time{},
		answerTokens: map[string]int{}, heldPrompts: map[string]map[string]float64{}, paused: map[string]bool{},
	}
}

type event struct {
	at     time.Time
	kind   string
	id     string
	engine string
	local  bool
	work   turmericwall.ModelWork
}

// Speeds of the simulated engines in tokens per millisecond; a local prefill has half the prefill speed.
const (
	prefillSpeed = 42.0
	decodeSpeed  = 1.0
)

func (sim *simulation) recordPlacement(p turmericwall.Placement, work turmericwall.ModelWork) {
	prefillEngine := p.Prefill.ID
	speed := prefillSpeed
	if prefillEngine == "" {
		prefillEngine, speed = p.Decode.ID, prefillSpeed/2
	}
	from := sim.now
	if busy := sim.prefillEndsAt[prefillEngine]; busy.After(from) {
		from = busy
	}
	at := from.Add(time.Duration(float64(work.PromptTokens)/speed) * time.Millisecond)
	sim.prefillEndsAt[prefillEngine] = at
	sim.events = append(sim.events, event{
		at: at, kind: "prefill", id: p.ID, engine: p.Decode.ID, local: p.Prefill.ID == "", work: work,
	})
}

func (sim *simulation) advance(to time.Time) {
	for {
		next := -1
		for i, e := range sim.events {
			if !e.at.After(to) && (next < 0 || e.at.Before(sim.events[next].at)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := sim.events[next]
		sim.events = append(sim.events[:next], sim.events[next+1:]...)
		sim.now = e.at
		sim.applyEvent(e)
	}
	sim.now = to
	sim.decide()
}

func (sim *simulation) applyEvent(e event) {
	if e.kind == "prefill" {
		if e.at.After(sim.targetAt[e.id]) {
			sim.late++
		} else {
			sim.onTime++
		}
		if sim.pausesStreams && e.local {
			sim.reportPauses(e.engine)
		}
		if sim.heldPrompts[e.engine] == nil {
			sim.heldPrompts[e.engine] = make(map[string]float64)
		}
		sim.heldPrompts[e.engine][e.id] = float64(e.work.PromptTokens)
		sim.startedAt[e.id] = e.at
		sim.allocator.ApplyUpdate(sim.now, turmericwall.PlacementUpdate{
			ID: e.id, Running: true, Prefilled: true, PrefillMillis: 100,
		})
		sim.events = append(sim.events, event{
			at:   e.at.Add(time.Duration(float64(sim.answerTokens[e.id])/decodeSpeed) * time.Millisecond),
			kind: "end", id: e.id, engine: e.engine, work: e.work,
		})
		return
	}
	delete(sim.heldPrompts[e.engine], e.id)
	sim.allocator.ApplyUpdate(sim.now, turmericwall.PlacementUpdate{
		ID: e.id, AnswerTokens: sim.answerTokens[e.id], AnswerMillis: int64(float64(sim.answerTokens[e.id]) / decodeSpeed),
	})
	sim.decide()
}

// reportPauses reports for all streams of an engine that they paused too long.
func (sim *simulation) reportPauses(engine string) {
	for id := range sim.heldPrompts[engine] {
		sim.paused[id] = true
		sim.allocator.ApplyUpdate(sim.now, turmericwall.PlacementUpdate{ID: id, Running: true, EventGapExceeded: true})
	}
}

func (sim *simulation) decide() {
	d := sim.allocator.Decide(sim.now)
	for _, p := range d.Placed {
		sim.recordPlacement(p, turmericwall.ModelWork{PromptTokens: sim.promptTokensOf(p.ID)})
	}
	sim.refused += len(d.Refused)
	for engine, runs := range sim.heldPrompts {
		sum := 0.0
		for id, prompt := range runs {
			sum += prompt + decodeSpeed*float64(sim.now.Sub(sim.startedAt[id]).Milliseconds())
		}
		if sum > float64(enginePlan().MemoryTokens) {
			sim.overflow++
			sim.heldPrompts[engine] = nil
		}
	}
}

var promptTokens = make(map[string]int)

func (sim *simulation) promptTokensOf(id string) int { return promptTokens[id] }

// Guards against late answers and engines without memory at a peak: prompts are long, the length of answers is known by
// a hint only, and for four seconds the rate is nearly four times the usual one, which is more than the engines hold.
// Nearly all placed calls must be on time, engines must hardly ever run out of memory, and the calls before and after
// the burst must all be served.
func TestSimulatedPeakStaysOnTimeAndWithinMemory(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 11))
	sim := newSimulation(3, 15)
	requested, outsideBurst := 0, 0
	at := start
	for at.Before(start.Add(20 * time.Second)) {
		rate := 18.0
		burst := at.After(start.Add(8*time.Second)) && at.Before(start.Add(12*time.Second))
		if burst {
			rate = 70
		}
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		sim.advance(at)
		id := fmt.Sprintf("c%04d", requested)
		promptTokens[id] = int(math.Min(5200*math.Exp(0.5*random.NormFloat64()-0.125), 11_000))
		sim.answerTokens[id] = int(math.Min(3500*math.Exp(0.5*random.NormFloat64()-0.125), 6500))
		hint := int(float64(sim.answerTokens[id]) * math.Exp(0.5*random.NormFloat64()))
		sim.targetAt[id] = at.Add(time.Second)
		sim.allocator.Enqueue(at, placeRequest(id, at, promptTokens[id], hint))
		sim.decide()
		requested++
		if !burst {
			outsideBurst++
		}
	}
	for range 100 {
		sim.advance(sim.now.Add(100 * time.Millisecond))
	}
	t.Logf("requested %d, on time %d, late %d, refused %d, engines out of memory %d",
		requested, sim.onTime, sim.late, sim.refused, sim.overflow)
	g.Expect(sim.onTime + sim.late + sim.refused).To(Equal(requested))
	g.Expect(sim.late).To(BeNumerically("<", requested/20))
	g.Expect(sim.overflow).To(BeNumerically("<", requested/50))
	g.Expect(sim.onTime).To(BeNumerically(">", outsideBurst+(requested-outsideBurst)/3))
	g.Expect(sim.allocator.Busy()).To(BeFalse())
}

// Guards against evicted streams on an engine that decodes a third slower than the others: with one speed for all, its
// memory would be expected to be free too early.
func TestSlowEngineHoldsMemoryLonger(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 2)
	now := start
	for i := range 20 {
		for _, engine := range []string{"d00", "d01"} {
			id := fmt.Sprintf("%s-%d", engine, i)
			a.Adopt(now, turmericwall.PlacedCall{Request: placeRequest(id, now, 5000, 3000), Engine: engine})
			took := int64(3000)
			if engine == "d00" {
				took = 4500
			}
			a.ApplyUpdate(now, turmericwall.PlacementUpdate{ID: id, AnswerTokens: 3000, AnswerMillis: took})
		}
	}
	for _, engine := range []string{"d00", "d01"} {
		for i := range 5 {
			a.Adopt(now, turmericwall.PlacedCall{
				Request: placeRequest(fmt.Sprintf("%s+%d", engine, i), now, 5000, 3000), Engine: engine,
			})
		}
	}
	a.Enqueue(now.Add(time.Second), placeRequest("a", now.Add(time.Second), 5000, 3000))
	d := a.Decide(now.Add(time.Second))
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].Decode.ID).To(Equal("d01"), "of equal engines the faster one has its memory back first")
}

// Guards against needless transfers between zones: the KV cache of a prompt is far larger than the answer's events, and
// its transfer between zones takes twice as long and costs twice as much.
func TestDecodeStaysInPrefillZone(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 4)
	list := engines(1, 4)
	list[0].Zone = "far"
	list[4].Zone = "far"
	a.SetEngines(start, list)
	a.Enqueue(start, placeRequest("a", start, 5000, 3000))
	g.Expect(a.Decide(start).Placed[0].Decode.ID).To(Equal("d03"))
	for i := range 4 {
		a.Adopt(start, turmericwall.PlacedCall{
			Request: placeRequest(fmt.Sprintf("full%d", i), start, 8000, 4000), Engine: "d03",
		})
	}
	a.Enqueue(start, placeRequest("b", start, 5000, 3000))
	g.Expect(a.Decide(start).Placed[0].Decode.ID).NotTo(Equal("d03"), "free memory outweighs the transfer between zones")
}
