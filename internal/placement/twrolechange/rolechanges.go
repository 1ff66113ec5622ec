// Package twrolechange tracks the engines that are changing their role, so that no call is placed on them. The daemon
// that orders a role change reports it to its peers with its heartbeats.
package twrolechange

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// RoleChanges tracks the engines that accepted a role change and don't report their new role yet. It is safe for
// concurrent use.
//
// These engines refuse all calls. Without the report, a peer that becomes the leader or places calls locally would
// place every call on them first, since they look idle.
type RoleChanges struct {
	mu      sync.Mutex
	engines map[string]change
}

type change struct {
	role     turmericwall.Role
	deadline time.Time
}

// New returns RoleChanges without engines.
func New() *RoleChanges { return &RoleChanges{engines: make(map[string]change)} }

// Add adds an engine that accepted a change to the role. The change is discarded after the deadline, even if the
// engine never reports the role.
func (r *RoleChanges) Add(id string, role turmericwall.Role, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[id] = change{role: role, deadline: deadline}
}

// IsChangingRole reports whether the engine, with the role that it reports now, is changing its role.
func (r *RoleChanges) IsChangingRole(now time.Time, engine turmericwall.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.engines[engine.ID]
	if !ok {
		return false
	}
	if c.hasEnded(now, engine.Role) {
		delete(r.engines, engine.ID)
		return false
	}
	return true
}

// hasEnded reports whether the change of an engine has ended that reports the role now.
func (c change) hasEnded(now time.Time, role turmericwall.Role) bool {
	return now.After(c.deadline) || role == c.role
}

// Changing returns the ids of the engines that are changing their role. roleOf returns the role that an engine reports
// now; it is empty for an unknown engine.
func (r *RoleChanges) Changing(now time.Time, roleOf func(id string) turmericwall.Role) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, c := range r.engines {
		if c.hasEnded(now, roleOf(id)) {
			delete(r.engines, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// List returns the role changes to report to peers, with the time left for each.
func (r *RoleChanges) List(now time.Time) []turmericwall.ChangingEngine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []turmericwall.ChangingEngine
	for id, c := range r.engines {
		if left := c.deadline.Sub(now).Milliseconds(); left > 0 {
			list = append(list, turmericwall.ChangingEngine{ID: id, Role: c.role, RemainingMillis: left})
		}
	}
	return list
}

// AddReported adds the role changes that a peer reports.
func (r *RoleChanges) AddReported(now time.Time, list []turmericwall.ChangingEngine) {
	for _, e := range list {
		r.Add(e.ID, e.Role, now.Add(time.Duration(e.RemainingMillis)*time.Millisecond))
	}
}
