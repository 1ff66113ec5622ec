// Package twejection decides which engines get no work because calls failed there. It has no clock.
package twejection

import "time"

const (
	// firstSpan is how long an engine is out after a failure; it doubles up to maxSpan with each further one.
	firstSpan = 500 * time.Millisecond
	maxSpan   = 4 * time.Second
	// trialSpan is how long one call may take to show that the engine works again.
	trialSpan = time.Second
	// rememberSpan is how long a failure counts towards the next ejection.
	rememberSpan = 10 * time.Second
)

// Ejections remember the failures of engines by their id.
//
// An engine that fails its calls at once looks empty, and gets the more calls the more it fails. One failure ejects it
// for all; then one call at a time tries it, until one succeeds.
type Ejections struct{ records map[string]*record }

type record struct {
	failures int
	failedAt time.Time
	// until is when the engine may be tried, and triedAt when it last was.
	until, triedAt time.Time
	// proven tells that a call succeeded since.
	proven bool
}

// New returns ejections of no engine.
func New() *Ejections { return &Ejections{records: make(map[string]*record)} }

// Failed takes a failure. Failures of calls that were under way when the engine was ejected change nothing.
func (e *Ejections) Failed(now time.Time, id string) {
	r, ok := e.records[id]
	if !ok {
		r = &record{}
		e.records[id] = r
	}
	if now.Before(r.until) {
		return
	}
	if now.Sub(r.failedAt) > rememberSpan {
		r.failures = 0
	}
	r.failures++
	r.failedAt = now
	r.proven = false
	r.until = now.Add(min(firstSpan<<min(r.failures-1, 8), maxSpan))
	r.triedAt = time.Time{}
}

// Succeeded takes a success. One of a call that was under way when the engine was ejected changes nothing.
func (e *Ejections) Succeeded(now time.Time, id string) {
	r, ok := e.records[id]
	if !ok || now.Before(r.until) {
		return
	}
	r.proven = true
	if now.Sub(r.failedAt) > rememberSpan {
		delete(e.records, id)
	}
}

// Tried tells that a call was placed on the engine.
func (e *Ejections) Tried(now time.Time, id string) {
	if r, ok := e.records[id]; ok && !r.proven {
		r.triedAt = now
	}
}

// Out tells that the engine gets no further call now.
func (e *Ejections) Out(now time.Time, id string) bool {
	r, ok := e.records[id]
	if !ok || r.proven {
		return false
	}
	return now.Before(r.until) || now.Before(r.triedAt.Add(trialSpan))
}

// Forget drops an engine that is gone.
func (e *Ejections) Forget(id string) { delete(e.records, id) }
