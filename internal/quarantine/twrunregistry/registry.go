// Package twrunregistry knows which runs are under way under each request, and at which upstreams: each of them may end its
// upstream. It has no clock of its own.
package twrunregistry

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// maxRunSpan is how long a run is known at most: its end may never be reported.
const maxRunSpan = 2 * time.Minute

// Run is a run, or one that is about to begin.
type Run struct {
	// Call is the call that it belongs to, and Owner the daemon that serves the call.
	Call, Owner string
	Input       turmericwall.Input
	// Upstreams are those that it may end; empty until it is placed, at PlacedAt.
	Upstreams []turmericwall.UpstreamKey
	PlacedAt  time.Time
}

// Registry holds the runs under way. It is safe for concurrent use.
type Registry struct {
	mu   sync.Mutex
	runs map[string]*entry
	// byRequest has the ids of the runs under each request, and of those that take a stream up.
	byRequest map[request]map[string]bool
}

type entry struct {
	Run
	keptUntil time.Time
}

type request struct{ service, name string }

// New returns a registry without runs.
func New() *Registry {
	return &Registry{runs: make(map[string]*entry), byRequest: make(map[request]map[string]bool)}
}

// Begin records a run that is about to begin. It reports false if limit runs of other calls are under way under the request.
func (r *Registry) Begin(now time.Time, id string, run Run, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range requestsOf(run.Input) {
		if r.countOthers(key, run.Call) >= limit {
			return false
		}
	}
	r.delete(id)
	r.runs[id] = &entry{Run: run, keptUntil: now.Add(maxRunSpan)}
	for _, key := range requestsOf(run.Input) {
		if r.byRequest[key] == nil {
			r.byRequest[key] = make(map[string]bool)
		}
		r.byRequest[key][id] = true
	}
	return true
}

// Place records the upstreams of a run.
func (r *Registry) Place(now time.Time, id string, upstreams ...turmericwall.UpstreamKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, ok := r.runs[id]; ok {
		run.Upstreams, run.PlacedAt = upstreams, now
	}
}

// End records the end of a run, and returns it; ok is false if it isn't known. It counts until the time keptUntil.
func (r *Registry) End(now time.Time, id string, keptUntil time.Time) (run Run, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.runs[id]
	if !ok {
		return Run{}, false
	}
	known.keptUntil = keptUntil
	if !keptUntil.After(now) {
		r.delete(id)
	}
	return known.Run, true
}

// TakeOwner removes the runs of a daemon that has terminated, and returns those that were placed.
func (r *Registry) TakeOwner(owner string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var placed []Run
	for id, run := range r.runs {
		if run.Owner != owner {
			continue
		}
		if len(run.Upstreams) > 0 {
			placed = append(placed, run.Run)
		}
		r.delete(id)
	}
	return placed
}

// Expire discards runs whose end was not reported.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, run := range r.runs {
		if now.After(run.keptUntil) {
			r.delete(id)
		}
	}
}

// countOthers returns the number of calls but one that have runs under a request; the lock is held.
func (r *Registry) countOthers(key request, call string) int {
	calls := make(map[string]bool)
	for id := range r.byRequest[key] {
		if other := r.runs[id].Call; other != call {
			calls[other] = true
		}
	}
	return len(calls)
}

// delete removes a run; the lock is held.
func (r *Registry) delete(id string) {
	run, ok := r.runs[id]
	if !ok {
		return
	}
	delete(r.runs, id)
	for _, key := range requestsOf(run.Input) {
		delete(r.byRequest[key], id)
		if len(r.byRequest[key]) == 0 {
			delete(r.byRequest, key)
		}
	}
}

func requestsOf(input turmericwall.Input) []request {
	var keys []request
	for _, name := range []string{input.Request, input.Stream} {
		if name != "" {
			keys = append(keys, request{service: input.Service, name: name})
		}
	}
	return keys
}
