package twscheduler

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
)

// Bounds and times of the view of one engine.
const (
	// pieceTokens is the unit in which engine memory is handed out.
	pieceTokens = 4096
	// prefixBlocks bounds the view of one engine's prefix cache.
	prefixBlocks = 8192
	maxPlaced    = 256
	// silentAfter is how long an engine without a report counts as reachable.
	silentAfter = 3 * time.Second
	// doubtAfterGap is how long a gap in the cache events makes the prefix view doubtful.
	doubtAfterGap = 10 * time.Second
	doubtfulShare = 0.5
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// engine is the view of one upstream engine.
type engine struct {
	vm             turmericwall.VM
	zone           int
	listed         bool
	open           bool
	stepBase       time.Duration
	stepPerSlot    time.Duration
	nanosPerToken  float64
	report         turmericwall.Report
	reportTaken    time.Time
	silentDeadline time.Time

	occupants map[string]*occupant
	used      int
	// deferrable counts the occupants that could have waited.
	deferrable int
	pieces     int
	nextEnd    time.Time

	placed     []placedPrefill
	urgentBusy time.Time
	allBusy    time.Time

	prefix       *simplelru.LRU[uint64, struct{}]
	sequence     uint64
	doubtfulTill time.Time

	failures     int
	failedAt     time.Time
	ejectedUntil time.Time
}

// occupant is one attempt that holds, or is about to hold, engine memory.
type occupant struct {
	attempt string
	pieces  int
	// end is when the attempt is expected to have finished.
	end time.Time
	// expires ends a reservation that the engine never reported.
	expires time.Time
	// reported is set once the engine listed the attempt.
	reported bool
	// foreign occupants were not granted here; they are looked into after sweepAt.
	foreign bool
	sweepAt time.Time
	// waited occupants are of work that may wait.
	waited bool
}

// placedPrefill is prefill work that the last report can't yet show.
type placedPrefill struct {
	at     time.Time
	done   time.Time
	urgent bool
}

func newEngine(vm turmericwall.VM) *engine {
	prefix, _ := simplelru.NewLRU[uint64, struct{}](prefixBlocks, nil)
	return &engine{vm: vm, occupants: make(map[string]*occupant), prefix: prefix}
}

// usable tells whether the engine may get work for the model. It is asked for each engine in view at each
// decision, so the cheap questions come first.
func (e *engine) usable(now time.Time, model string) bool {
	return e.open && serves(e.report.Models, model) && now.Before(e.silentDeadline) && !e.ejected(now)
}

func (e *engine) ejected(now time.Time) bool {
	return e.failures > 0 && now.Before(e.ejectedUntil)
}

// refresh works out what decisions need from the list's and the report's last word.
func (e *engine) refresh() {
	e.open = e.listed && e.vm.State == turmericwall.VMLive && !e.report.Draining
	e.stepBase = millis(e.report.StepMillis)
	e.stepPerSlot = millis(e.report.StepPerSlotMillis)
	e.nanosPerToken = float64(time.Second) / max(1, e.report.PrefillRate)
}

func serves(models []string, model string) bool {
	for _, m := range models {
		if m == model {
			return true
		}
	}
	return false
}

// slotLimit is how many attempts may decode together without missing the target between tokens.
func (e *engine) slotLimit(tokenGapMillis float64) int {
	if tokenGapMillis <= 0 || e.report.StepPerSlotMillis <= 0 {
		return e.report.Slots
	}
	fits := int((tokenGapMillis - e.report.StepMillis) / e.report.StepPerSlotMillis)
	return max(1, min(e.report.Slots, fits))
}

// step is the time between tokens when the batch holds so many attempts.
func (e *engine) step(batch int) time.Duration {
	return e.stepBase + e.stepPerSlot*time.Duration(batch)
}

func (e *engine) occupy(o *occupant) {
	e.vacate(o.attempt)
	e.occupants[o.attempt] = o
	e.count(o, 1)
	if e.nextEnd.IsZero() || o.end.Before(e.nextEnd) {
		e.nextEnd = o.end
	}
}

func (e *engine) vacate(attempt string) bool {
	o, ok := e.occupants[attempt]
	if !ok {
		return false
	}
	delete(e.occupants, attempt)
	e.count(o, -1)
	if !o.end.After(e.nextEnd) {
		e.findNextEnd()
	}
	return true
}

func (e *engine) count(o *occupant, sign int) {
	e.used += sign
	e.pieces += sign * o.pieces
	if o.waited {
		e.deferrable += sign
	}
}

func (e *engine) findNextEnd() {
	e.nextEnd = time.Time{}
	for _, o := range e.occupants {
		if e.nextEnd.IsZero() || o.end.Before(e.nextEnd) {
			e.nextEnd = o.end
		}
	}
}

// prefillTime is the compute time of the prompt's uncached tokens.
func (e *engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * e.nanosPerToken)
}

func (e *engine) busyUntil(urgent bool) time.Time {
	if urgent {
		return e.urgentBusy
	}
	return e.allBusy
}

func (e *engine) placePrefill(now time.Time, compute time.Duration, urgent bool) {
	e.allBusy = later(e.allBusy, now).Add(compute)
	if urgent {
		e.urgentBusy = later(e.urgentBusy, now).Add(compute)
	}
	if len(e.placed) < maxPlaced {
		e.placed = append(e.placed, placedPrefill{at: now, done: now.Add(compute), urgent: urgent})
	}
}

// rebase takes the queue from a report and adds what was placed since it was taken: a lagging report
// alone would draw every request to the engine that was idle half a second ago.
func (e *engine) rebase(taken time.Time) {
	e.allBusy = taken.Add(e.prefillTime(e.report.QueuedTokens))
	e.urgentBusy = taken.Add(e.prefillTime(e.report.UrgentTokens))
	kept := e.placed[:0]
	for _, p := range e.placed {
		if p.at.Before(taken) {
			continue
		}
		kept = append(kept, p)
		e.allBusy = later(e.allBusy, p.at).Add(p.done.Sub(p.at))
		if p.urgent {
			e.urgentBusy = later(e.urgentBusy, p.at).Add(p.done.Sub(p.at))
		}
	}
	e.placed = kept
}

// cachedTokens estimates how much of the prompt the engine holds.
func (e *engine) cachedTokens(now time.Time, blocks []uint64, blockTokens int) int {
	matched := 0
	for _, b := range blocks {
		if !e.prefix.Contains(b) {
			break
		}
		matched++
	}
	cached := matched * blockTokens
	if now.Before(e.doubtfulTill) {
		cached = int(float64(cached) * doubtfulShare)
	}
	return cached
}

func (e *engine) remember(blocks []uint64) {
	for _, b := range blocks {
		e.prefix.Add(b, struct{}{})
	}
}

// learn takes cache events in. A gap in their numbers means that some evictions were missed: the view
// becomes doubtful for a while, not empty.
func (e *engine) learn(now time.Time, events turmericwall.CacheEvents) {
	for _, c := range events.Events {
		if c.Sequence <= e.sequence {
			continue
		}
		if e.sequence != 0 && c.Sequence != e.sequence+1 {
			e.doubtfulTill = now.Add(doubtAfterGap)
		}
		e.sequence = c.Sequence
		if c.Removed {
			e.prefix.Remove(c.Block)
		} else {
			e.prefix.Add(c.Block, struct{}{})
		}
	}
}

// fail keeps work away for a time that doubles with each failure in a row.
func (e *engine) fail(now time.Time) {
	e.failures++
	e.failedAt = now
	span := min(maxEjection, firstEjection<<min(e.failures-1, 5))
	e.ejectedUntil = now.Add(span)
}

// recover ends an ejection: the driver asks an ejected engine on a new connection, since an old one may
// be silent for good while new ones work.
func (e *engine) recover(taken time.Time) {
	if e.failures > 0 && taken.After(e.failedAt) && taken.After(e.ejectedUntil) {
		e.failures = 0
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func millis(m float64) time.Duration { return time.Duration(m * float64(time.Millisecond)) }

func piecesOf(tokens int) int { return (tokens + pieceTokens - 1) / pieceTokens }
