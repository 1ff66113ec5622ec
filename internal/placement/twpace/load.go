package twpace

import (
	"math"
	"time"
)

// load is the present load of an engine, and its sums over time up to at.
type load struct {
	at           time.Time
	runs         int
	memoryTokens float64
	// runMillis, tokenMillis and prefillMillis are the sums of the runs, the memory and the prefills beside them.
	runMillis, tokenMillis, prefillMillis float64
}

// meanLoad is the mean load during a span.
type meanLoad struct{ runs, memoryTokens, prefillMillis, spanMillis float64 }

// advance adds the time up to now to the sums.
func (l *load) advance(now time.Time) {
	if !l.at.IsZero() {
		span := math.Max(0, float64(now.Sub(l.at))/float64(time.Millisecond))
		l.runMillis += span * float64(l.runs)
		l.tokenMillis += span * l.memoryTokens
	}
	l.at = now
}

// add adds runs and their memory from now on.
func (l *load) add(now time.Time, runs int, memoryTokens float64) {
	l.advance(now)
	l.runs += runs
	l.memoryTokens += memoryTokens
}

// since returns the mean load since an earlier one.
func (l *load) since(earlier load) meanLoad {
	span := float64(l.at.Sub(earlier.at)) / float64(time.Millisecond)
	if span <= 0 {
		return meanLoad{runs: float64(max(l.runs, 1)), memoryTokens: l.memoryTokens}
	}
	return meanLoad{
		runs:          (l.runMillis - earlier.runMillis) / span,
		memoryTokens:  (l.tokenMillis - earlier.tokenMillis) / span,
		prefillMillis: l.prefillMillis - earlier.prefillMillis, spanMillis: span,
	}
}
