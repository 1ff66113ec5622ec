package twallocator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxMeasuredEngines is how many engines the occupancy is measured from. Beyond it the measured ones stand for all,
	// and the result is used for occupancyValidity.
	maxMeasuredEngines = 256
	occupancyValidity  = 50 * time.Millisecond
	// minPacedShare is the share of the decode memory that counts also if the engines don't keep the event gap: calls are
	// placed on slow engines if there are no others.
	minPacedShare = 0.5
)

// occupancy is the use of the decode engines at one time.
type occupancy struct {
	at time.Time
	// runEnds are the expected ends of runs; runEndsSorted is set when they are in ascending order. Each of them stands
	// for runsPerEnd runs.
	runEnds       []runEnd
	runEndsSorted bool
	runsPerEnd    float64
	// usedTokens is the memory that the runs will need, totalTokens that of all decode engines.
	usedTokens, totalTokens float64
}

// runEnd is the expected end of a run, in milliseconds from the time of the occupancy, and the memory that the run will
// need by then.
type runEnd struct{ millis, tokens float64 }

// occupancyOf returns the occupancy, which is measured when a decision first needs it.
func (a *Allocator) occupancyOf(st *decisionState) *occupancy {
	if st.occupancy == nil {
		st.occupancy = a.measureOccupancy(st.now)
	}
	return st.occupancy
}

// measureOccupancy measures the occupancy, or returns the last one if it is still valid.
func (a *Allocator) measureOccupancy(now time.Time) *occupancy {
	used := a.decodes.used
	stride := (len(used) + maxMeasuredEngines - 1) / maxMeasuredEngines
	if stride > 1 && a.occupancy != nil && now.Sub(a.occupancy.at) < occupancyValidity {
		return a.occupancy
	}
	o := &occupancy{at: now, runsPerEnd: 1, totalTokens: float64(a.plan.MemoryTokens * a.acceptingDecodes())}
	measured, minTokens := 0, minPacedShare*o.totalTokens
	for i := 0; i < len(used); i += stride {
		e := used[i]
		measured++
		p := a.projectionOf(now, e)
		if e.upstream.Leaving || e.refusing {
			continue
		}
		if left := o.totalTokens - float64(a.plan.MemoryTokens*stride); left >= minTokens && a.hasNoPace(now, e) {
			// Its memory, and what its runs release, is of no use to calls.
			o.totalTokens = left
			continue
		}
		elapsedMillis := p.elapsedMillis(now)
		for _, s := range p.profiles {
			needed := s.tokensAt(s.endMillis, p.speed)
			o.usedTokens += needed
			o.runEnds = append(o.runEnds, runEnd{millis: math.Max(s.endMillis-elapsedMillis, 0), tokens: needed})
		}
	}
	if stride > 1 {
		o.runsPerEnd = float64(len(used)) / float64(measured)
		o.usedTokens *= o.runsPerEnd
	}
	a.occupancy = o
	return o
}

// acceptingDecodes returns the number of decode engines that are not leaving and accept calls.
func (a *Allocator) acceptingDecodes() int {
	n := a.decodes.size - a.decodes.leavingCount
	for _, e := range a.refusing {
		if e.pool == a.decodes && !e.upstream.Leaving {
			n--
		}
	}
	return n
}

// memoryFill returns the share of the decode engines' memory that the runs will need; 1 when there is no memory.
func (o *occupancy) memoryFill() float64 {
	if o.totalTokens == 0 {
		return 1
	}
	return o.usedTokens / o.totalTokens
}

// runs returns the number of runs.
func (o *occupancy) runs() float64 { return float64(len(o.runEnds)) * o.runsPerEnd }

// placeAvailableAt returns when enough runs will have ended for a call with this many calls ahead of it.
func (o *occupancy) placeAvailableAt(callsAhead int) time.Time {
	o.sortRunEnds()
	if float64(callsAhead) >= o.runs() {
		return o.at.Add(millis(unknownWaitMillis * float64(2+callsAhead)))
	}
	return o.at.Add(millis(o.runEnds[int(float64(callsAhead)/o.runsPerEnd)].millis))
}

// freedAt returns when runs will have ended that need the tokens, less what is taken meanwhile at the rate, in tokens per
// millisecond. It is the last end of a run, and ok is false, if they don't suffice.
func (o *occupancy) freedAt(tokens, taken float64) (at time.Time, ok bool) {
	if tokens <= 0 {
		return o.at, true
	}
	o.sortRunEnds()
	freed, last := 0.0, unknownWaitMillis*2.0
	for _, end := range o.runEnds {
		freed += end.tokens * o.runsPerEnd
		if freed-taken*end.millis >= tokens {
			return o.at.Add(millis(end.millis)), true
		}
		last = math.Max(last, end.millis)
	}
	return o.at.Add(millis(last)), false
}

func (o *occupancy) sortRunEnds() {
	if o.runEndsSorted {
		return
	}
	slices.SortFunc(o.runEnds, func(x, y runEnd) int { return cmp.Compare(x.millis, y.millis) })
	o.runEndsSorted = true
}

// retryRate returns how many retries the engines can serve beside new calls, in calls per millisecond, when calls may
// fill lateMemoryShare of the memory.
func (o *occupancy) retryRate(lateMemoryShare float64) float64 {
	if len(o.runEnds) == 0 {
		return idleRetryRate
	}
	total := 0.0
	for _, end := range o.runEnds {
		total += end.millis
	}
	// At a random time a run has half of its duration left on average.
	mean := 2 * total / float64(len(o.runEnds))
	return math.Max(o.runs()/math.Max(mean, 1)*(1-lateMemoryShare), minRetryRate)
}
