// Package twaway knows which engines are away because they change their role.
package twaway

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Away are the engines that accepted an order and don't show their new role yet.
//
// They refuse all calls meanwhile. The daemon that ordered tells the others: one that takes its place as leader, or that
// decides alone, would else place each call on them first, since they look empty.
type Away struct {
	mu      sync.Mutex
	engines map[string]change
}

type change struct {
	role  turmericwall.Role
	until time.Time
}

// New returns an Away without engines.
func New() *Away { return &Away{engines: make(map[string]change)} }

// Note takes an engine that accepted an order; by the time until its change is surely over.
func (a *Away) Note(id string, role turmericwall.Role, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engines[id] = change{role: role, until: until}
}

// Is tells that the engine, as it shows itself now, is away.
func (a *Away) Is(now time.Time, engine turmericwall.Upstream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := a.engines[engine.ID]
	if !ok {
		return false
	}
	if now.After(c.until) || engine.Role == c.role {
		delete(a.engines, engine.ID)
		return false
	}
	return true
}

// List is what other daemons are told.
func (a *Away) List(now time.Time) []turmericwall.ChangingEngine {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []turmericwall.ChangingEngine
	for id, c := range a.engines {
		if left := c.until.Sub(now).Milliseconds(); left > 0 {
			list = append(list, turmericwall.ChangingEngine{ID: id, Role: c.role, LeftMillis: left})
		}
	}
	return list
}

// Told takes what another daemon told.
func (a *Away) Told(now time.Time, list []turmericwall.ChangingEngine) {
	for _, e := range list {
		a.Note(e.ID, e.Role, now.Add(time.Duration(e.LeftMillis)*time.Millisecond))
	}
}
