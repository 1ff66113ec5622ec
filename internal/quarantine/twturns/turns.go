// Package twturns lets calls with suspected input run one at a time, so that the end of an engine names its cause. It has
// no clock of its own.
package twturns

import (
	"sync"
	"time"
)

// maxTurn is how long a call has its turn at most: the daemon that serves it may end without a word. A prompt is read, and
// its answer begun, well within it.
const maxTurn = 10 * time.Second

// Turns holds whose turn it is for each suspected input. It is safe for concurrent use.
type Turns struct {
	mu    sync.Mutex
	turns map[string]turn
}

// turn is the turn of a call, for one of its placement attempts.
type turn struct {
	call, attempt, owner string
	endsAt               time.Time
}

// New returns turns that nobody has.
func New() *Turns { return &Turns{turns: make(map[string]turn)} }

// Take gives a call of a daemon its turn for all keys, or reports false if another call has the turn for one of them. A call
// takes a turn that it has again with its next attempt.
func (t *Turns) Take(now time.Time, keys []string, call, attempt, owner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		if other, taken := t.turns[key]; taken && other.call != call && now.Before(other.endsAt) {
			return false
		}
	}
	for _, key := range keys {
		t.turns[key] = turn{call: call, attempt: attempt, owner: owner, endsAt: now.Add(maxTurn)}
	}
	return true
}

// End ends the turns of a call's attempt, unless a later attempt has taken them.
func (t *Turns) End(attempt string) {
	t.delete(func(other turn) bool { return other.attempt == attempt })
}

// EndOwner ends the turns of the calls of a daemon that has terminated.
func (t *Turns) EndOwner(owner string) {
	t.delete(func(other turn) bool { return other.owner == owner })
}

// Expire ends the turns that last too long.
func (t *Turns) Expire(now time.Time) {
	t.delete(func(other turn) bool { return now.After(other.endsAt) })
}

func (t *Turns) delete(ended func(other turn) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, other := range t.turns {
		if ended(other) {
			delete(t.turns, key)
		}
	}
}
