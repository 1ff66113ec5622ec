// Package twejection decides which engines get no calls because calls failed there. The placement allocator consults it
// for each engine before it places a call.
package twejection

import (
	"slices"
	"time"
)

const (
	// initialEjection is how long an engine is ejected after a failure; it doubles up to maxEjection with each further
	// one.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	// trialTimeout is how long a trial call may take before the engine gets another one.
	trialTimeout = time.Second
	// failureValidity is how long a failure counts towards the next ejection.
	failureValidity = 10 * time.Second
)

// Ejections record the failures of engines by their id. They have no clock of their own and are not safe for concurrent
// use.
//
// An engine that fails its calls at once always looks idle, and would get the more calls the more it fails. One failure
// therefore ejects it; afterwards it gets one trial call at a time until one succeeds.
type Ejections struct{ records map[string]*record }

type record struct {
	failures      int
	lastFailureAt time.Time
	// ejectedUntil is when the first trial call may be placed, lastTrialAt when the latest trial call was placed.
	ejectedUntil, lastTrialAt time.Time
	// recovered is set when a call has succeeded since the last failure.
	recovered bool
}

// New returns ejections without failures.
func New() *Ejections { return &Ejections{records: make(map[string]*record)} }

// RecordFailure records a failed call. It is ignored while the engine is ejected, since the call was placed before.
func (e *Ejections) RecordFailure(now time.Time, id string) {
	r, ok := e.records[id]
	if !ok {
		r = &record{}
		e.records[id] = r
	}
	if now.Before(r.ejectedUntil) {
		return
	}
	if now.Sub(r.lastFailureAt) > failureValidity {
		r.failures = 0
	}
	r.failures++
	r.lastFailureAt = now
	r.recovered = false
	r.ejectedUntil = now.Add(min(initialEjection<<min(r.failures-1, 8), maxEjection))
	r.lastTrialAt = time.Time{}
}

// RecordSuccess records a successful call. It is ignored while the engine is ejected, since the call was placed before.
func (e *Ejections) RecordSuccess(now time.Time, id string) {
	r, ok := e.records[id]
	if !ok || now.Before(r.ejectedUntil) {
		return
	}
	r.recovered = true
	if now.Sub(r.lastFailureAt) > failureValidity {
		delete(e.records, id)
	}
}

// RecordTrial records that a call was placed on the engine.
func (e *Ejections) RecordTrial(now time.Time, id string) {
	if r, ok := e.records[id]; ok && !r.recovered {
		r.lastTrialAt = now
	}
}

// IsEjected reports whether the engine gets no further call now, because it is ejected or a trial call is under way.
func (e *Ejections) IsEjected(now time.Time, id string) bool {
	r, ok := e.records[id]
	if !ok || r.recovered {
		return false
	}
	return now.Before(r.ejectedUntil) || now.Before(r.lastTrialAt.Add(trialTimeout))
}

// Ejected returns the ids of the engines that get no further call now, in ascending order.
func (e *Ejections) Ejected(now time.Time) []string {
	var ids []string
	for id := range e.records {
		if e.IsEjected(now, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Remove removes an engine that is no longer listed.
func (e *Ejections) Remove(id string) { delete(e.records, id) }
