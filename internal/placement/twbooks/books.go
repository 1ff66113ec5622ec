// Package twbooks decides which engines serve which model calls, and which calls wait or are turned away.
package twbooks

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twcost"
	"github.com/turmericwall/turmericwall/internal/placement/twejection"
	"github.com/turmericwall/turmericwall/internal/placement/twpauses"
)

// Tuning holds the limits of the decisions.
type Tuning struct {
	// LengthQuantile is the probability with which an answer is expected to stay under its projected length.
	LengthQuantile float64
	// Deviations is how many standard deviations above its expectation the projected need must still fit.
	Deviations float64
	// MemoryShare is the part of an engine's memory that projected peaks may fill.
	MemoryShare float64
	// ReserveQuantile sets the length that is reserved at the engine.
	ReserveQuantile float64
	// StartMarginMillis is what an answer needs beside reading its prompt before its first event arrives.
	StartMarginMillis float64
	// OwnReadSlowdown is how much slower a decode engine reads a prompt than a prefill engine.
	OwnReadSlowdown float64
	// GapShare is the part of a stream's longest pause that reading a prompt beside it may take.
	GapShare float64
	// LateReadWaitMillis is the wait for a prefill engine up to which a late call may use it.
	LateReadWaitMillis float64
	// LateShare is the part of the decode places that late calls may fill.
	LateShare float64
	// WaitMillis is how long a call may wait for its place: a refusal that comes later keeps its caller from trying
	// elsewhere in time.
	WaitMillis float64
	// LateWaitMillis is how long a late call that came back may wait.
	LateWaitMillis float64
	// ClosedMillis is how long an engine that refused for want of memory is left alone.
	ClosedMillis float64
	// DoubtedMillis is how long an engine that may have failed a call is left alone.
	DoubtedMillis float64
}

// DefaultTuning returns the limits in use.
func DefaultTuning() Tuning {
	return Tuning{
		LengthQuantile: 0.4, Deviations: 1.2, MemoryShare: 0.95, ReserveQuantile: 0.05, StartMarginMillis: 60,
		OwnReadSlowdown: 2, GapShare: 0.8, LateReadWaitMillis: 100, LateShare: 0.8, WaitMillis: 1000, LateWaitMillis: 3000, ClosedMillis: 100, DoubtedMillis: 500,
	}
}

// A call is swept when it lasts overdueFactor times its longest answer and overdueMillis: far more than pauses
// and slow engines take.
const (
	overdueFactor = 3
	overdueMillis = 4000
)

// forgetSpan is how long a measured reading speed counts: some prompts' time at the usual load.
const forgetSpan = 3 * time.Second

// Books keep the engines of one service. They have no clock, socket or goroutine of their own.
type Books struct {
	tuning  Tuning
	plan    turmericwall.EnginePlan
	engines map[string]*engine
	// places finds a run's decode engine.
	places  map[string]string
	waiting []*waiter
	// answerSpeed and readSpeed are learned, in tokens a millisecond.
	answerSpeed, readSpeed float64
	// readAt is when readSpeed was last learned, bestSpeed the highest so far, measured whether there is one.
	readAt    time.Time
	bestSpeed float64
	measured  bool
	// partial tells that others place calls on the same engines.
	partial bool
	callers *callers
	// keptShare is how many of the prompts that an engine had read were still kept when their callers came back.
	keptShare    float64
	keptJudgedAt time.Time
	// pauses tell how streams bear a prompt that is read beside them.
	pauses *twpauses.Pauses
	// readersShort and answerersShort tell of calls that found no engine of the role in time.
	readersShort, answerersShort shortage
	// cost is what calls take of the engines.
	cost *twcost.Cost
	// ejections tell which engines failed their calls.
	ejections *twejection.Ejections
	// invited are the times at which callers that were turned away may come back.
	invited []time.Time
}

type waiter struct {
	ask   turmericwall.PlaceAsk
	since time.Time
	// returned tells that the caller was turned away before.
	returned bool
	// late tells that the first event can't be on time any more.
	late bool
	// unread tells that the last decision found no engine that reads the prompt in time.
	unread bool
}

// Verdict turns one call away.
type Verdict struct {
	ID     string
	Reason string
	// RetryAt is when the books expect room.
	RetryAt time.Time
	// Never says that no engine could ever hold the call.
	Never bool
}

// Decisions are the outcome of one step.
type Decisions struct {
	Placed  []turmericwall.Placement
	Refused []Verdict
	// NextAt is when time alone may change a decision; zero when nothing waits.
	NextAt time.Time
}

// New returns empty books.
func New(tuning Tuning) *Books {
	return &Books{
		tuning: tuning, engines: make(map[string]*engine), places: make(map[string]string),
		callers: newCallers(), pauses: twpauses.New(), keptShare: firstKept, cost: twcost.New(),
		ejections: twejection.New(),
		bestSpeed: firstReadPerMilli, answerSpeed: firstTokensPerMilli, readSpeed: firstReadPerMilli,
	}
}

// Plan takes what the operator declares of the engines.
func (b *Books) Plan(plan turmericwall.EnginePlan) { b.plan = plan }

// List takes the engines of the service; those that are gone lose their runs.
func (b *Books) List(now time.Time, upstreams []turmericwall.Upstream) {
	seen := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		seen[u.ID] = true
		e, ok := b.engines[u.ID]
		if ok && e.upstream.Key() == u.Key() {
			e.upstream = u
			continue
		}
		b.drop(u.ID)
		b.engines[u.ID] = &engine{upstream: u, runs: make(map[string]*run), backlogAt: now}
	}
	for id := range b.engines {
		if !seen[id] {
			b.drop(id)
		}
	}
}

// Ask lets a call wait for its decision.
func (b *Books) Ask(now time.Time, ask turmericwall.PlaceAsk) {
	if ask.Moving {
		b.waiting = append(b.waiting, &waiter{ask: ask, since: now})
		return
	}
	target := ask.TargetDeadline.Sub(now)
	first, returned := b.callers.first(now, ask)
	ask.TargetDeadline = first.Add(target)
	b.waiting = append(b.waiting, &waiter{ask: ask, since: now, returned: returned})
	b.cost.Learn(twcost.Call{
		PromptTokens: float64(ask.Work.PromptTokens), Length: meanLength(ask.Work.HintTokens, ask.Work.MaxTokens),
		Slots: b.plan.Slots, MemoryTokens: b.plan.MemoryTokens,
	})
}

// Withdraw takes a call back that waits or was placed.
func (b *Books) Withdraw(id string) {
	for i, w := range b.waiting {
		if w.ask.ID == id {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	b.free(id)
}

// Forget takes back all that an owner placed or asked for, because it is gone.
func (b *Books) Forget(owner string) {
	kept := b.waiting[:0]
	for _, w := range b.waiting {
		if w.ask.Owner != owner {
			kept = append(kept, w)
		}
	}
	b.waiting = kept
	for id, at := range b.places {
		if r := b.engines[at].runs[id]; r.owner == owner {
			b.free(id)
		}
	}
}

// ForgetOthers takes back all that other owners than this one placed.
func (b *Books) ForgetOthers(owner string) {
	for id, at := range b.places {
		if r := b.engines[at].runs[id]; r.owner != owner {
			b.free(id)
		}
	}
}

// Adopt takes a call that another placed, on an engine that the books know.
func (b *Books) Adopt(now time.Time, placed turmericwall.PlacedRun) {
	e, ok := b.engines[placed.Engine]
	if !ok || b.places[placed.Ask.ID] != "" {
		return
	}
	e.runs[placed.Ask.ID] = &run{
		owner: placed.Ask.Owner, work: placed.Ask.Work, reading: placed.AgeMillis < 0,
		firstAt: now.Add(-time.Duration(placed.AgeMillis) * time.Millisecond),
	}
	b.places[placed.Ask.ID] = placed.Engine
	e.projected = nil
	b.callers.first(now, placed.Ask)
	if placed.AgeMillis >= 0 {
		b.callers.answered(now, placed.Ask.Work, e)
	}
}

// Sweep frees the calls whose longest answer must have ended long ago: the daemon that served them did not say so.
func (b *Books) Sweep(now time.Time) {
	for id, at := range b.places {
		r := b.engines[at].runs[id]
		longest := float64(max(r.work.MaxTokens, r.work.HintTokens)) / b.answerSpeed
		if now.After(r.firstAt.Add(millis(overdueFactor*longest + overdueMillis))) {
			b.free(id)
		}
	}
}

// News takes what happened to a placed call.
func (b *Books) News(now time.Time, end turmericwall.PlacementEnd) {
	if e, ok := b.engines[end.Full]; ok {
		e.refusals = min(e.refusals+1, 4)
		e.closedUntil = now.Add(millis(b.tuning.ClosedMillis * float64(e.refusals)))
	}
	if e, ok := b.engines[end.Doubted]; ok {
		e.closedUntil = now.Add(millis(b.tuning.DoubtedMillis))
	}
	if _, ok := b.engines[end.Failed]; ok {
		b.ejections.Failed(now, end.Failed)
	}
	if at, ok := b.places[end.ID]; ok && end.AnswerTokens > 0 && end.Failed == "" {
		b.ejections.Succeeded(now, at)
	}
	if end.AnswerMillis > minMeasuredMillis && end.AnswerTokens > 0 {
		b.answered(end)
	}
	if end.PromptRead {
		b.promptRead(now, end)
	}
	if end.Paused {
		b.pauses.Paused(end.ID)
	}
	if !end.Running {
		b.free(end.ID)
	}
}

// Partial tells that other daemons place calls on the same engines without these books. Speeds are not learned then,
// because the others' prompts make each one look slow.
func (b *Books) Partial(partial bool) { b.partial = partial }

// Waiting is how many calls wait.
func (b *Books) Waiting() int { return len(b.waiting) }

// Busy tells that calls are placed or wait.
func (b *Books) Busy() bool { return len(b.places)+len(b.waiting) > 0 }

func (b *Books) free(id string) {
	at, ok := b.places[id]
	if !ok {
		return
	}
	b.pauses.Ended(id)
	delete(b.engines[at].runs, id)
	b.engines[at].projected = nil
	delete(b.places, id)
}

func (b *Books) drop(id string) {
	e, ok := b.engines[id]
	if !ok {
		return
	}
	for run := range e.runs {
		delete(b.places, run)
	}
	b.ejections.Forget(id)
	delete(b.engines, id)
}

func millis(n float64) time.Duration {
	return time.Duration(math.Min(n, 1e7) * float64(time.Millisecond))
}
