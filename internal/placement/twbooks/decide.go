package twbooks

import (
	"math"
	"sort"
	"time"

	"github.com/turmericwall/turmericwall"
)

// tickMillis is the pause until waiting calls are looked at again, in milliseconds: a fiftieth of a target of one second.
const tickMillis = 20

// step is what one decision is computed from once, for all calls that wait.
type step struct {
	now      time.Time
	prefills []*engine
	decodes  []*engine
	// ends are when the runs end, in milliseconds from now; sorted tells that the soonest is first.
	ends   []float64
	sorted bool
	// failed are calls that found no place in this step.
	failed []forecast
	// used and all are the memory that the runs will need and that there is.
	used, all float64
}

// Decide places what fits, turns away what can't be on time, and lets the rest wait.
func (b *Books) Decide(now time.Time) Decisions {
	var d Decisions
	if len(b.waiting) == 0 {
		return d
	}
	st := b.begin(now)
	b.order(now)
	kept := b.waiting[:0]
	for n, w := range b.waiting {
		if placement, ok := b.place(st, w); ok {
			d.Placed = append(d.Placed, placement)
			continue
		}
		if verdict, ok := b.refuse(st, w, n-len(d.Placed)-len(d.Refused)); ok {
			d.Refused = append(d.Refused, verdict)
			continue
		}
		kept = append(kept, w)
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
	if len(kept) > 0 {
		d.NextAt = now.Add(tickMillis * time.Millisecond)
	}
	return d
}

// begin computes what all waiting calls are weighed against.
//
// Projected anew for each call, sixty waiting calls and fifteen full engines took 5.2 ms a decision, and a leader at the
// peak had no processor left for its beats. Projections are kept while their engine's runs stay the same.
func (b *Books) begin(now time.Time) *step {
	st := &step{now: now}
	for _, e := range b.engines {
		switch e.upstream.Role {
		case turmericwall.RolePrefill:
			st.prefills = append(st.prefills, e)
		case turmericwall.RoleDecode:
			st.decodes = append(st.decodes, e)
		}
	}
	sortByID(st.prefills)
	sortByID(st.decodes)
	b.eject(now, st.prefills)
	b.eject(now, st.decodes)
	for _, e := range st.decodes {
		if e.projected == nil || now.Sub(e.projected.origin) > projectionSpan {
			e.projected = e.project(now, b.answerSpeedOf(e), b.tuning.LengthQuantile)
		}
		if e.upstream.Leaving {
			continue
		}
		st.all += float64(b.plan.MemoryTokens)
		passed := e.projected.passed(now)
		for _, s := range e.projected.spans {
			st.used += s.at(s.end, e.projected.speed)
			st.ends = append(st.ends, math.Max(s.end-passed, 0))
		}
	}
	return st
}

// maxEjectedShare is the part of the engines of one role that may be ejected: when more fail, it is not the engines that are
// at fault, and the others could not carry the load.
const maxEjectedShare = 0.4

// eject marks the engines that get no call because calls failed there.
func (b *Books) eject(now time.Time, engines []*engine) {
	left := int(maxEjectedShare * float64(len(engines)))
	for _, e := range engines {
		e.ejected = left > 0 && b.ejections.Out(now, e.upstream.ID)
		if e.ejected {
			left--
		}
	}
}

// tried notes that calls are placed on the engines: an ejected one gets one at a time.
func (b *Books) tried(now time.Time, engines ...*engine) {
	for _, e := range engines {
		b.ejections.Tried(now, e.upstream.ID)
		e.ejected = e.ejected || b.ejections.Out(now, e.upstream.ID)
	}
}

// passed is how many milliseconds lie between the projection's origin and now.
func (p *projection) passed(now time.Time) float64 { return float64(now.Sub(p.origin).Milliseconds()) }

// fill is the part of the decode engines' memory that is taken.
func (s *step) fill() float64 {
	if s.all == 0 {
		return 1
	}
	return s.used / s.all
}

// order puts calls that can be on time first, of these the more urgent ones, and of equal ones those that are due first.
func (b *Books) order(now time.Time) {
	for _, w := range b.waiting {
		fastest := float64(w.ask.Work.PromptTokens)/b.poolSpeed(now) + b.tuning.StartMarginMillis
		w.late = now.Add(millis(fastest)).After(w.ask.TargetDeadline)
	}
	sort.SliceStable(b.waiting, func(i, j int) bool {
		x, y := b.waiting[i], b.waiting[j]
		if x.late != y.late {
			return y.late
		}
		if x.ask.Priority != y.ask.Priority {
			return x.ask.Priority < y.ask.Priority
		}
		return x.ask.TargetDeadline.Before(y.ask.TargetDeadline)
	})
}

// place finds the engines for one call and takes their memory. A call is placed only where its first event can
// still be on time, if it can be at all: a late answer takes the memory that would have let the next one be on time.
func (b *Books) place(st *step, w *waiter) (turmericwall.Placement, bool) {
	if w.ask.Moving {
		return b.move(st, w)
	}
	if w.late && st.fill() > b.tuning.LateShare {
		return turmericwall.Placement{}, false
	}
	if placement, ok := b.placeWhereKept(st, w); ok {
		return placement, true
	}
	reader, toRead := b.reader(st, w.ask)
	w.unread = reader == nil || !b.onTime(st.now, w, toRead)
	if !w.unread {
		if decode := b.anyDecoder(st, w.ask, reader, toRead); decode != nil {
			return b.take(st, w, decode, reader, toRead), true
		}
		if !w.late {
			b.answerersShort.seen(st.now)
		}
		return turmericwall.Placement{}, false
	}
	if !w.late {
		b.readersShort.seen(st.now)
	}
	decode, ownMillis := b.ownReader(st, w)
	if decode == nil {
		return turmericwall.Placement{}, false
	}
	b.disturb(st.now, decode, w.ask, ownMillis)
	return b.take(st, w, decode, decode, ownMillis), true
}

// move finds a decode engine for a run whose engine is leaving. Its prompt is read already.
func (b *Books) move(st *step, w *waiter) (turmericwall.Placement, bool) {
	decode := b.anyDecoder(st, w.ask, nil, 0)
	if decode == nil {
		return turmericwall.Placement{}, false
	}
	placement := b.take(st, w, decode, decode, 0)
	decode.backlog = math.Max(0, decode.backlog-float64(w.ask.Work.PromptTokens))
	r := decode.runs[w.ask.ID]
	r.reading = false
	r.firstAt = st.now
	decode.projected = decode.project(st.now, b.answerSpeedOf(decode), b.tuning.LengthQuantile)
	return placement, true
}

// onTime tells that the first event can be on time when the prompt is read after so many milliseconds. A late call
// uses the engines that read prompts only while others hardly wait for them.
func (b *Books) onTime(now time.Time, w *waiter, readMillis float64) bool {
	if w.late {
		return readMillis-float64(w.ask.Work.PromptTokens)/b.poolSpeed(now) < b.tuning.LateReadWaitMillis
	}
	return now.Add(millis(readMillis + b.tuning.StartMarginMillis)).Before(w.ask.TargetDeadline)
}

// readMillis is how long the engine takes until it has read the prompt, in milliseconds.
func (b *Books) readMillis(now time.Time, e *engine, ask turmericwall.PlaceAsk) float64 {
	speed := b.speed(now, e)
	return (e.waitingRead(now, speed)+float64(ask.Work.PromptTokens))/speed + travelMillis
}

// take enters one placed call.
func (b *Books) take(st *step, w *waiter, decode, reader *engine, readMillis float64) turmericwall.Placement {
	ask := w.ask
	readAt := st.now.Add(millis(readMillis))
	reader.backlog = reader.waitingRead(st.now, b.speed(st.now, reader)) + float64(ask.Work.PromptTokens)
	reader.backlogAt = st.now
	decode.runs[ask.ID] = &run{
		owner: ask.Owner, work: ask.Work, firstAt: readAt.Add(millis(b.tuning.StartMarginMillis)),
		readBy: reader.upstream.ID, reading: true, placedAt: st.now,
	}
	added := b.forecast(ask).span(readMillis, decode.projected.speed)
	decode.projected.add(added.later(decode.projected.passed(st.now)))
	st.used += added.at(added.end, decode.projected.speed)
	decode.taken += added.at(added.end, decode.projected.speed)
	b.places[ask.ID] = decode.upstream.ID
	b.tried(st.now, decode, reader)
	length := expectedLength(ask.Work.HintTokens, ask.Work.MaxTokens, 0, b.tuning.ReserveQuantile)
	placement := turmericwall.Placement{
		ID: ask.ID, Decode: decode.upstream, ReserveTokens: ask.Work.PromptTokens + int(length),
		ReadDeadline: readAt, Late: w.late, Reason: "memory expected to suffice",
	}
	if reader != decode {
		placement.Prefill = reader.upstream
	}
	return placement
}

// forecast is what the call will need once its prompt is read.
func (b *Books) forecast(ask turmericwall.PlaceAsk) forecast {
	return forecastOf(ask.Work, 0, b.tuning.LengthQuantile)
}

// sortByID puts engines in a fixed order, so that equal input gives equal decisions.
func sortByID(engines []*engine) {
	sort.Slice(engines, func(i, j int) bool { return engines[i].upstream.ID < engines[j].upstream.ID })
}
