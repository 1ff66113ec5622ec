// Package twattempt tracks how far this daemon's attempts of non-idempotent calls got. twclaim asks it before a call
// is sent; other daemons query it, through the peer server, before they take over a claim of this daemon.
package twattempt

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
)

// maxEnded bounds the ended attempts whose state is kept; the state of an older one is unknown.
const maxEnded = 1 << 16

// Registry implements turmericwall.AttemptOwner.
//
// A call must not be sent after a caller or a daemon was informed that it did not run. Sealing and sending exclude
// each other under one lock: whichever comes first wins, and a sealed attempt can never be sent, however long its
// goroutine was paused in between.
type Registry struct {
	incarnation string
	sequence    atomic.Uint64

	mu    sync.Mutex
	open  map[string]turmericwall.AttemptState
	ended *simplelru.LRU[string, turmericwall.AttemptState]
}

// attemptWaiting is the state of an attempt that is neither sealed nor sent yet.
const attemptWaiting turmericwall.AttemptState = "waiting"

// New returns an empty registry of the daemon's incarnation.
func New(incarnation string) *Registry {
	ended, _ := simplelru.NewLRU[string, turmericwall.AttemptState](maxEnded, nil)
	return &Registry{incarnation: incarnation, open: make(map[string]turmericwall.AttemptState), ended: ended}
}

// Begin registers a new attempt and returns its name, which is unique among all incarnations.
func (r *Registry) Begin() string {
	name := fmt.Sprintf("%s/c%d", r.incarnation, r.sequence.Add(1))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[name] = attemptWaiting
	return name
}

// MarkSent marks the attempt as sent. It returns false, and the attempt must not be sent, when the attempt is sealed,
// was sent before or is not registered.
func (r *Registry) MarkSent(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.open[attempt]; state != attemptWaiting {
		return false
	}
	r.open[attempt] = turmericwall.AttemptRunning
	return true
}

// Seal prevents the attempt from ever being sent. It returns false when the attempt may have been sent.
func (r *Registry) Seal(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.open[attempt]
	if !ok {
		ended, known := r.ended.Get(attempt)
		return known && ended == turmericwall.AttemptSealed
	}
	if state != attemptWaiting {
		return false
	}
	r.close(attempt, turmericwall.AttemptSealed)
	return true
}

// End records the final state of an attempt that was sent.
func (r *Registry) End(attempt string, state turmericwall.AttemptState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[attempt]; ok {
		r.close(attempt, state)
	}
}

// State returns how far the attempt got. An attempt that is not sent yet counts as running, because it may be sent at
// any time; one that is not registered, or is too old, is unknown.
func (r *Registry) State(attempt string) turmericwall.AttemptState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[attempt]; ok {
		return turmericwall.AttemptRunning
	}
	if state, ok := r.ended.Get(attempt); ok {
		return state
	}
	return turmericwall.AttemptUnknown
}

// OpenCount returns the number of attempts that have not ended.
func (r *Registry) OpenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

func (r *Registry) close(attempt string, state turmericwall.AttemptState) {
	delete(r.open, attempt)
	r.ended.Add(attempt, state)
}
