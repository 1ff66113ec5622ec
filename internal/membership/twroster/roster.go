// Package twroster decides which daemons count as live, from their heartbeats alone.
package twroster

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

// Timeouts of the failure detector; docs/design/membership.md has the figures behind them.
const (
	// lostAfter is how long a counter may stand still before its daemon counts as lost.
	lostAfter = 4 * time.Second
	// forgottenAfter bounds the roster.
	forgottenAfter = 2 * time.Minute
	maxMembers     = 1024
)

// Roster merges heartbeats. It has no clock or lock of its own: its caller passes the time.
//
// Only the progress of a counter seen here is timed, so the clocks of two VMs are never compared.
type Roster struct {
	self    *twpeer.Heartbeat
	members map[string]*member
}

type member struct {
	beat           *twpeer.Heartbeat
	lostDeadline   time.Time
	forgetDeadline time.Time
	reportedLost   bool
}

// New returns a roster of one daemon.
func New(self *twpeer.Heartbeat) *Roster {
	return &Roster{self: self, members: make(map[string]*member)}
}

// Beat advances the daemon's own counter and returns all heartbeats to send.
func (r *Roster) Beat(now time.Time, revision int64, draining bool, leaving []string) *twpeer.Heartbeats {
	r.self.Counter++
	r.self.Revision = revision
	r.self.Draining = draining
	r.self.Leaving = leaving
	return r.Snapshot(now)
}

// Snapshot returns all heartbeats of live daemons, its own first.
func (r *Roster) Snapshot(now time.Time) *twpeer.Heartbeats {
	own := proto.CloneOf(r.self)
	beats := []*twpeer.Heartbeat{own}
	for _, incarnation := range r.incarnations() {
		m := r.members[incarnation]
		if now.Before(m.lostDeadline) {
			beats = append(beats, m.beat)
		}
	}
	return &twpeer.Heartbeats{Beats: beats}
}

// Merge takes another daemon's heartbeats in; an older counter changes nothing.
func (r *Roster) Merge(now time.Time, beats []*twpeer.Heartbeat) {
	for _, b := range beats {
		if b.GetIncarnation() == "" || b.GetIncarnation() == r.self.GetIncarnation() {
			continue
		}
		known, ok := r.members[b.GetIncarnation()]
		if ok && known.beat.GetCounter() >= b.GetCounter() {
			continue
		}
		if !ok && len(r.members) >= maxMembers {
			continue
		}
		r.members[b.GetIncarnation()] = &member{
			beat:           b,
			lostDeadline:   now.Add(lostAfter),
			forgetDeadline: now.Add(forgottenAfter),
		}
	}
}

// Lost returns the incarnations that became lost since the last call, and forgets old ones.
func (r *Roster) Lost(now time.Time) []string {
	var lost []string
	for incarnation, m := range r.members {
		if now.After(m.forgetDeadline) {
			delete(r.members, incarnation)
			continue
		}
		if !m.reportedLost && !now.Before(m.lostDeadline) {
			m.reportedLost = true
			lost = append(lost, incarnation)
		}
	}
	sort.Strings(lost)
	return lost
}

// Live returns the live daemons' last heartbeats in the order of their incarnations, without its own.
func (r *Roster) Live(now time.Time) []*twpeer.Heartbeat {
	return r.Snapshot(now).GetBeats()[1:]
}

// IsLive tells whether the incarnation is this daemon or a live one.
func (r *Roster) IsLive(now time.Time, incarnation string) bool {
	if incarnation == r.self.GetIncarnation() {
		return true
	}
	m, ok := r.members[incarnation]
	return ok && now.Before(m.lostDeadline)
}

// Known tells whether the incarnation was heard of at all, live or lost.
func (r *Roster) Known(incarnation string) bool {
	_, ok := r.members[incarnation]
	return ok || incarnation == r.self.GetIncarnation()
}

func (r *Roster) incarnations() []string {
	names := make([]string, 0, len(r.members))
	for incarnation := range r.members {
		names = append(names, incarnation)
	}
	sort.Strings(names)
	return names
}
