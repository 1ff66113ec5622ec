// Package twattempt keeps how far this daemon's attempts of non-idempotent calls got.
package twattempt

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
)

// maxEnded bounds the ended attempts that can still be asked after; an older one counts as unknown.
const maxEnded = 1 << 16

// Registry implements turmericwall.AttemptOwner.
//
// A call must not be sent after someone was told that it did not run. Sealing and sending exclude each
// other under one lock: whichever comes first wins, and a sealed attempt can never be sent, however
// long its goroutine was paused in between.
type Registry struct {
	incarnation string
	sequence    atomic.Uint64

	mu    sync.Mutex
	open  map[string]turmericwall.AttemptState
	ended *simplelru.LRU[string, turmericwall.AttemptState]
}

// attemptWaiting was neither sealed nor sent yet.
const attemptWaiting turmericwall.AttemptState = "waiting"

// New returns an empty registry of the incarnation.
func New(incarnation string) *Registry {
	ended, _ := simplelru.NewLRU[string, turmericwall.AttemptState](maxEnded, nil)
	return &Registry{incarnation: incarnation, open: make(map[string]turmericwall.AttemptState), ended: ended}
}

// Begin returns the name of a new attempt.
func (r *Registry) Begin() string {
	name := fmt.Sprintf("%s/c%d", r.incarnation, r.sequence.Add(1))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[name] = attemptWaiting
	return name
}

// Send allows the attempt to be sent; it returns false once the attempt is sealed.
func (r *Registry) Send(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.open[attempt]; state != attemptWaiting {
		return false
	}
	r.open[attempt] = turmericwall.AttemptRunning
	return true
}

// Seal makes sure that the attempt is never sent; it returns false when it may have been.
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

// End notes the last state of an attempt that was sent.
func (r *Registry) End(attempt string, state turmericwall.AttemptState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.open[attempt]; ok {
		r.close(attempt, state)
	}
}

// State tells how far the attempt got. One that waits counts as running: its own claim decides soon.
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

// Open counts the attempts that have not ended.
func (r *Registry) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

func (r *Registry) close(attempt string, state turmericwall.AttemptState) {
	delete(r.open, attempt)
	r.ended.Add(attempt, state)
}
