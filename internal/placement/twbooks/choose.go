package twbooks

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
)

// reader returns the prefill engine that would have read the prompt first, and how long that takes.
func (b *Books) reader(st *step, ask turmericwall.PlaceAsk) (*engine, float64) {
	var best *engine
	bestMillis := math.Inf(1)
	for _, e := range st.prefills {
		if !b.open(st.now, e, ask) {
			continue
		}
		need := b.readMillis(st.now, e, ask)
		if e.upstream.Zone != ask.Zone {
			need += travelMillis
		}
		if need < bestMillis {
			best, bestMillis = e, need
		}
	}
	return best, bestMillis
}

// decoder returns the decode engine whose memory is least filled by the call. start tells when the answer would begin
// on an engine, in milliseconds from now, and whether the engine can be used at all. reader reads the prompt; nil when the
// decode engine does so itself.
func (b *Books) decoder(st *step, ask turmericwall.PlaceAsk, reader *engine, start func(*engine) (float64, bool)) *engine {
	need := b.forecast(ask)
	if st.hopeless(need) {
		return nil
	}
	most := b.tuning.MemoryShare * float64(b.plan.MemoryTokens)
	var best *engine
	bestPeak := math.Inf(1)
	for _, e := range st.decodes {
		if !b.open(st.now, e, ask) || len(e.runs) >= b.slots(e) {
			continue
		}
		first, ok := start(e)
		if !ok {
			continue
		}
		added := need.span(first, e.projected.speed).later(e.projected.passed(st.now))
		needed := e.projected.peak(added, b.tuning.Deviations)
		if needed > most {
			continue
		}
		if e.upstream.Zone != ask.Zone {
			needed += otherZoneShare * most
		}
		if reader != nil && e.upstream.Zone != reader.upstream.Zone {
			needed += readerZoneShare * most
		}
		if needed < bestPeak {
			best, bestPeak = e, needed
		}
	}
	return best
}

// anyDecoder is the decode engine for a prompt that is read elsewhere within first milliseconds.
func (b *Books) anyDecoder(st *step, ask turmericwall.PlaceAsk, reader *engine, first float64) *engine {
	best := b.decoder(st, ask, reader, func(*engine) (float64, bool) { return first, true })
	if best == nil && len(ask.Avoid) == 0 {
		st.failed = append(st.failed, b.forecast(ask))
	}
	return best
}

// hopeless tells that a call that needs no more memory for no longer found no place in this step. Places only fill up
// within a step, and at the peak most waiting calls are told apart by this alone.
func (s *step) hopeless(need forecast) bool {
	for _, f := range s.failed {
		if need.held >= f.held && need.growth >= f.growth {
			return true
		}
	}
	return false
}

// otherZoneShare is how much more free memory makes an engine in another zone as good as one in the same: the events of
// an answer cross zones at a price of about one in four hundred of its worth.
const otherZoneShare = 0.02

// readerZoneShare is the same for an engine in another zone than the one that reads the prompt. A prompt's memory that
// crosses zones takes twice as long and costs about one in a hundred of the answer's worth. With 0.1, a fifth less is
// paid for moved memory and no more runs are thrown out; at 0.2 a fourth less, and engines fill less evenly.
const readerZoneShare = 0.1

func (b *Books) open(now time.Time, e *engine, ask turmericwall.PlaceAsk) bool {
	if e.upstream.Leaving || e.ejected || now.Before(e.closedUntil) {
		return false
	}
	for _, id := range ask.Avoid {
		if id == e.upstream.ID {
			return false
		}
	}
	return true
}

func (b *Books) slots(e *engine) int {
	if e.upstream.Slots > 0 {
		return e.upstream.Slots
	}
	return max(b.plan.Slots, 1)
}
