package twbooks_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twbooks"
)

var start = time.Unix(10_000, 0)

func enginePlan() turmericwall.EnginePlan {
	return turmericwall.EnginePlan{Slots: 16, MemoryTokens: 76_000, TokensPerEvent: 50, MaxReservationMillis: 2000}
}

func engines(prefills, decodes int) []turmericwall.Upstream {
	var list []turmericwall.Upstream
	for i := range prefills {
		list = append(list, turmericwall.Upstream{ID: fmt.Sprintf("p%02d", i), Zone: "z", Slots: 16, Role: turmericwall.RolePrefill})
	}
	for i := range decodes {
		list = append(list, turmericwall.Upstream{ID: fmt.Sprintf("d%02d", i), Zone: "z", Slots: 16, Role: turmericwall.RoleDecode})
	}
	return list
}

func books(prefills, decodes int) *twbooks.Books {
	b := twbooks.New(twbooks.DefaultTuning())
	b.Plan(enginePlan())
	b.List(start, engines(prefills, decodes))
	return b
}

func ask(id string, at time.Time, prompt, hint int) turmericwall.PlaceAsk {
	return turmericwall.PlaceAsk{
		ID: id, Service: "s", Owner: "o", Zone: "z",
		Work:           turmericwall.ModelWork{PromptTokens: prompt, HintTokens: hint, MaxTokens: 6500, Subject: id},
		TargetDeadline: at.Add(time.Second), GiveUpDeadline: at.Add(14 * time.Second), CallerDeadline: at.Add(13 * time.Second),
		EventGapMillis: 300,
	}
}

// Guards against calls of an urgent account that wait behind those of others while memory is short.
func TestTheMoreUrgentCallGetsTheLastPlace(t *testing.T) {
	g := NewWithT(t)
	b := books(4, 1)
	for i := range 12 {
		call := ask(fmt.Sprintf("a%02d", i), start, 5000, 3000)
		call.Priority = 2
		b.Ask(start, call)
	}
	urgent := ask("urgent", start.Add(300*time.Millisecond), 5000, 3000)
	urgent.Priority = 1
	b.Ask(start, urgent)
	d := b.Decide(start)
	g.Expect(len(d.Placed)).To(BeNumerically("<", 13), "memory is short")
	g.Expect(d.Placed[0].ID).To(Equal("urgent"))
}

func TestACallIsPlacedOnEnginesOfBothRoles(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 2)
	b.Ask(start, ask("a", start, 5000, 3000))
	d := b.Decide(start)
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].Prefill.ID).To(Equal("p00"))
	g.Expect(d.Placed[0].Decode.ID).To(HavePrefix("d"))
	g.Expect(d.Placed[0].ReserveTokens).To(BeNumerically(">", 6000), "the prompt and the beginning of the answer")
	g.Expect(d.NextAt).To(BeZero())
}

func TestLeavingAndRefusingEnginesAreLeftAlone(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 2)
	list := engines(1, 2)
	list[1].Leaving = true
	b.List(start, list)
	b.Ask(start, ask("a", start, 5000, 3000))
	g.Expect(b.Decide(start).Placed[0].Decode.ID).To(Equal("d01"))
	b.News(start, turmericwall.PlacementEnd{ID: "a", Full: "d01"})
	b.Ask(start, ask("b", start, 5000, 3000))
	g.Expect(b.Decide(start).Placed).To(BeEmpty())
	b.Decide(start.Add(200 * time.Millisecond))
	g.Expect(b.Waiting()).To(BeZero(), "placed when the engine may be tried again")
}

func TestAPromptLargerThanAnyEngineIsRefusedForGood(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 2)
	b.Ask(start, ask("a", start, 80_000, 100))
	d := b.Decide(start)
	g.Expect(d.Refused).To(HaveLen(1))
	g.Expect(d.Refused[0].Never).To(BeTrue())
}

// Many calls come at once, far more than engines can read in time. Those that can't be on time must hear so at once,
// with a time to come back; none may wait until its time is over, and the times to come back must be spread.
func TestABurstBeyondTheEnginesIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := books(2, 6)
	for i := range 120 {
		b.Ask(start, ask(fmt.Sprintf("c%03d", i), start, 5000, 3000))
	}
	d := b.Decide(start)
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

// A caller that was turned away comes back with a new id. Its answer is late in any case; while the engines are
// nearly full it must not take the memory of a call that can be on time.
func TestACallerThatComesBackLateGivesWay(t *testing.T) {
	g := NewWithT(t)
	b := books(2, 1)
	for i := range 7 {
		b.Ask(start, ask(fmt.Sprintf("c%d", i), start, 5000, 4500))
	}
	g.Expect(b.Decide(start).Placed).NotTo(BeEmpty())
	b.Ask(start, ask("first", start, 5000, 4500))
	b.Decide(start)
	later := start.Add(1200 * time.Millisecond)
	again := ask("second", later, 5000, 4500)
	again.Work.Subject, again.CallerDeadline = "first", start.Add(13*time.Second)
	b.Ask(later, again)
	for _, p := range b.Decide(later).Placed {
		g.Expect(p.ID).NotTo(Equal("second"))
	}
}

// While a decode engine reads a prompt itself, each of its streams pauses for nearly the whole prompt. A prompt that
// would stretch the pause beyond what is on time must go elsewhere, or all streams of the engine are late.
func TestADecodeEngineReadsOnlyWhatItsStreamsBear(t *testing.T) {
	g := NewWithT(t)
	b := books(0, 1)
	b.Ask(start, ask("a", start, 2000, 3000))
	g.Expect(b.Decide(start).Placed).To(HaveLen(1), "an idle engine reads anything")
	later := start.Add(300 * time.Millisecond)
	b.News(later, turmericwall.PlacementEnd{ID: "a", Running: true, PromptRead: true, PromptMillis: 100})
	for i := range 4 {
		b.Adopt(later, turmericwall.PlacedRun{Ask: ask(fmt.Sprint("other", i), later, 2000, 3000), Engine: "d00", AgeMillis: 200})
	}
	b.Ask(later, ask("long", later, 9000, 3000))
	g.Expect(b.Decide(later).Placed).To(BeEmpty())
	b.Ask(later, ask("short", later, 1500, 3000))
	d := b.Decide(later)
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].ID).To(Equal("short"))
	g.Expect(d.Placed[0].Prefill.ID).To(BeEmpty())
}

// A leader took over after daemons had decided alone for a while. Prompts had seemed slow, because each daemon saw only
// its own. Believing that, it refused all calls at once, read nothing, and never learned that the engines were idle.
func TestASpeedThatWasMeasuredInTroubleIsForgotten(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 4)
	at := start
	for i := range 12 {
		id := fmt.Sprintf("slow%d", i)
		slow := ask(id, at, 5000, 300)
		slow.TargetDeadline = at.Add(time.Minute)
		b.Ask(at, slow)
		b.Decide(at)
		at = at.Add(2 * time.Second)
		b.News(at, turmericwall.PlacementEnd{ID: id, Running: true, PromptRead: true, PromptMillis: 2000})
		b.News(at, turmericwall.PlacementEnd{ID: id})
	}
	b.Ask(at, ask("now", at, 5000, 300))
	g.Expect(b.Decide(at).Placed).To(BeEmpty(), "the engine is slow")
	at = at.Add(4 * time.Second)
	b.Ask(at, ask("later", at, 5000, 300))
	g.Expect(b.Decide(at).Placed).To(HaveLen(1))
}

func TestPartialBooksLearnNoSpeed(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 4)
	b.Partial(true)
	at := start
	for i := range 12 {
		id := fmt.Sprintf("slow%d", i)
		b.Ask(at, ask(id, at, 5000, 300))
		g.Expect(b.Decide(at).Placed).To(HaveLen(1))
		at = at.Add(2 * time.Second)
		b.News(at, turmericwall.PlacementEnd{ID: id, Running: true, PromptRead: true, PromptMillis: 2000})
		b.News(at, turmericwall.PlacementEnd{ID: id})
	}
}

// An engine leaves with several runs, which all ask for another place in the same moment as fresh calls. The first one
// that was placed left its new engine without a projection, and the leader's process ended at the second one.
func TestSeveralRunsMoveInOneDecision(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 1)
	for i := range 3 {
		moving := ask(fmt.Sprintf("m%d", i), start, 6000, 500)
		moving.Moving = true
		b.Ask(start, moving)
	}
	b.Ask(start, ask("fresh", start, 5000, 3000))
	g.Expect(b.Decide(start).Placed).To(HaveLen(4))
}

func TestSweepFreesWhatAVanishedDaemonNeverEnded(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 1)
	b.Ask(start, ask("a", start, 5000, 3000))
	b.Decide(start)
	b.Sweep(start.Add(10 * time.Second))
	g.Expect(b.Busy()).To(BeTrue())
	b.Sweep(start.Add(2 * time.Minute))
	g.Expect(b.Busy()).To(BeFalse())
}

func TestForgetFreesOneOwnersCalls(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 1)
	b.Ask(start, ask("a", start, 5000, 3000))
	other := ask("b", start, 5000, 3000)
	other.Owner = "p"
	b.Ask(start, other)
	b.Decide(start)
	b.Forget("o")
	g.Expect(b.Busy()).To(BeTrue())
	b.ForgetOthers("o")
	g.Expect(b.Busy()).To(BeFalse())
}

func TestAdoptedCallsTakeMemory(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 1)
	for i := range 8 {
		b.Adopt(start, turmericwall.PlacedRun{Ask: ask(fmt.Sprintf("r%d", i), start, 8000, 6000), Engine: "d00", AgeMillis: 100})
	}
	b.Adopt(start, turmericwall.PlacedRun{Ask: ask("x", start, 8000, 6000), Engine: "unknown"})
	b.Ask(start, ask("a", start, 8000, 6000))
	g.Expect(b.Decide(start).Placed).To(BeEmpty())
}

// world replays a load on engines that read and answer at fixed speeds, and tells what became of it.
type world struct {
	books   *twbooks.Books
	now     time.Time
	readAt  map[string]time.Time
	begun   map[string]time.Time
	due     map[string]time.Time
	lengths map[string]int
	held    map[string]map[string]float64
	// pauses tells that streams pause too long while their engine reads a prompt; paused are those that did.
	pauses   bool
	paused   map[string]bool
	ends     []event
	onTime   int
	late     int
	refused  int
	overflow int
}

func newWorld(prefills, decodes int) *world {
	return &world{
		books: books(prefills, decodes), now: start, readAt: map[string]time.Time{}, begun: map[string]time.Time{},
		due: map[string]time.Time{}, lengths: map[string]int{}, held: map[string]map[string]float64{}, paused: map[string]bool{},
	}
}

type event struct {
	at   time.Time
	kind string
	id   string
	on   string
	own  bool
	work turmericwall.ModelWork
}

const (
	worldRead   = 42.0
	worldAnswer = 1.0
)

func (w *world) placed(p turmericwall.Placement, work turmericwall.ModelWork) {
	reader := p.Prefill.ID
	speed := worldRead
	if reader == "" {
		reader, speed = p.Decode.ID, worldRead/2
	}
	from := w.now
	if busy := w.readAt[reader]; busy.After(from) {
		from = busy
	}
	at := from.Add(time.Duration(float64(work.PromptTokens)/speed) * time.Millisecond)
	w.readAt[reader] = at
	w.ends = append(w.ends, event{at: at, kind: "read", id: p.ID, on: p.Decode.ID, own: p.Prefill.ID == "", work: work})
}

func (w *world) step(to time.Time) {
	for {
		next := -1
		for i, e := range w.ends {
			if !e.at.After(to) && (next < 0 || e.at.Before(w.ends[next].at)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := w.ends[next]
		w.ends = append(w.ends[:next], w.ends[next+1:]...)
		w.now = e.at
		w.happen(e)
	}
	w.now = to
	w.decide()
}

func (w *world) happen(e event) {
	if e.kind == "read" {
		if e.at.After(w.due[e.id]) {
			w.late++
		} else {
			w.onTime++
		}
		if w.pauses && e.own {
			w.pause(e.on)
		}
		if w.held[e.on] == nil {
			w.held[e.on] = make(map[string]float64)
		}
		w.held[e.on][e.id] = float64(e.work.PromptTokens)
		w.begun[e.id] = e.at
		w.books.News(w.now, turmericwall.PlacementEnd{ID: e.id, Running: true, PromptRead: true, PromptMillis: 100})
		w.ends = append(w.ends, event{at: e.at.Add(time.Duration(float64(w.lengths[e.id])/worldAnswer) * time.Millisecond), kind: "end", id: e.id, on: e.on, work: e.work})
		return
	}
	delete(w.held[e.on], e.id)
	w.books.News(w.now, turmericwall.PlacementEnd{ID: e.id, AnswerTokens: w.lengths[e.id], AnswerMillis: int64(float64(w.lengths[e.id]) / worldAnswer)})
	w.decide()
}

// pause tells that all streams of an engine paused too long.
func (w *world) pause(engine string) {
	for id := range w.held[engine] {
		w.paused[id] = true
		w.books.News(w.now, turmericwall.PlacementEnd{ID: id, Running: true, Paused: true})
	}
}

func (w *world) decide() {
	d := w.books.Decide(w.now)
	for _, p := range d.Placed {
		w.placed(p, turmericwall.ModelWork{PromptTokens: w.prompt(p.ID)})
	}
	w.refused += len(d.Refused)
	for engine, runs := range w.held {
		sum := 0.0
		for id, prompt := range runs {
			sum += prompt + worldAnswer*float64(w.now.Sub(w.begun[id]).Milliseconds())
		}
		if sum > float64(enginePlan().MemoryTokens) {
			w.overflow++
			w.held[engine] = nil
		}
	}
}

var prompts = make(map[string]int)

func (w *world) prompt(id string) int { return prompts[id] }

// The load of a fair's peak: long prompts and answers whose length is known by a hint only, at the usual rate, then for
// four seconds at nearly four times of it, which is above what the engines hold. What is placed must be on time nearly
// always, engines must hardly ever run out of memory, and the calls before and after the burst must all be served.
func TestThePeakIsReplayed(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 11))
	w := newWorld(3, 15)
	asked, calm := 0, 0
	at := start
	for at.Before(start.Add(20 * time.Second)) {
		rate := 18.0
		burst := at.After(start.Add(8*time.Second)) && at.Before(start.Add(12*time.Second))
		if burst {
			rate = 70
		}
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		w.step(at)
		id := fmt.Sprintf("c%04d", asked)
		prompts[id] = int(math.Min(5200*math.Exp(0.5*random.NormFloat64()-0.125), 11_000))
		w.lengths[id] = int(math.Min(3500*math.Exp(0.5*random.NormFloat64()-0.125), 6500))
		hint := int(float64(w.lengths[id]) * math.Exp(0.5*random.NormFloat64()))
		w.due[id] = at.Add(time.Second)
		w.books.Ask(at, ask(id, at, prompts[id], hint))
		w.decide()
		asked++
		if !burst {
			calm++
		}
	}
	for range 100 {
		w.step(w.now.Add(100 * time.Millisecond))
	}
	t.Logf("asked %d, on time %d, late %d, refused %d, engines out of memory %d", asked, w.onTime, w.late, w.refused, w.overflow)
	g.Expect(w.onTime + w.late + w.refused).To(Equal(asked))
	g.Expect(w.late).To(BeNumerically("<", asked/20))
	g.Expect(w.overflow).To(BeNumerically("<", asked/50))
	g.Expect(w.onTime).To(BeNumerically(">", calm+(asked-calm)/3))
	g.Expect(w.books.Busy()).To(BeFalse())
}

// One engine answers a third slower than the others, so each of its answers holds its memory a third longer. With one
// speed for all, the books would expect its memory back too early, and its streams would be thrown out of memory.
func TestASlowEngineIsExpectedToHoldItsMemoryLonger(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 2)
	now := start
	for i := range 20 {
		for _, engine := range []string{"d00", "d01"} {
			id := fmt.Sprintf("%s-%d", engine, i)
			b.Adopt(now, turmericwall.PlacedRun{Ask: ask(id, now, 5000, 3000), Engine: engine})
			took := int64(3000)
			if engine == "d00" {
				took = 4500
			}
			b.News(now, turmericwall.PlacementEnd{ID: id, AnswerTokens: 3000, AnswerMillis: took})
		}
	}
	for _, engine := range []string{"d00", "d01"} {
		for i := range 5 {
			b.Adopt(now, turmericwall.PlacedRun{Ask: ask(fmt.Sprintf("%s+%d", engine, i), now, 5000, 3000), Engine: engine})
		}
	}
	b.Ask(now.Add(time.Second), ask("a", now.Add(time.Second), 5000, 3000))
	d := b.Decide(now.Add(time.Second))
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].Decode.ID).To(Equal("d01"), "of equal engines the faster one has its memory back first")
}

// A prompt is read in one zone, and engines of two zones are about as full. The answer belongs in the zone that read the
// prompt: its memory is far more than the answer's events, and twice as slow and dear between zones.
func TestAnAnswerStaysInTheZoneThatReadItsPrompt(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 4)
	list := engines(1, 4)
	list[0].Zone = "far"
	list[4].Zone = "far"
	b.List(start, list)
	b.Ask(start, ask("a", start, 5000, 3000))
	g.Expect(b.Decide(start).Placed[0].Decode.ID).To(Equal("d03"))
	for i := range 4 {
		b.Adopt(start, turmericwall.PlacedRun{Ask: ask(fmt.Sprintf("full%d", i), start, 8000, 4000), Engine: "d03"})
	}
	b.Ask(start, ask("b", start, 5000, 3000))
	g.Expect(b.Decide(start).Placed[0].Decode.ID).NotTo(Equal("d03"), "a much fuller engine is no bargain")
}
