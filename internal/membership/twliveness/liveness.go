// Package twliveness decides which daemons count as live, from the heartbeats that daemons exchange and pass on.
// Leaders, leases and placements depend on its result.
package twliveness

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

// Timeouts of the failure detector; docs/design/membership.md gives the measurements behind them.
const (
	// lostTimeout is how long a counter may stay unchanged before its daemon counts as lost.
	lostTimeout = 4 * time.Second
	// removalTimeout is how long a counter may stay unchanged before its daemon is removed; with maxMembers it limits
	// the memory.
	removalTimeout = 2 * time.Minute
	maxMembers     = 1024
)

// Tracker tracks daemons by their heartbeats. It has no clock or lock of its own: its caller passes the time.
//
// Only the progress of a counter as received here is timed, so the clocks of two VMs are never compared.
type Tracker struct {
	self    *twpeer.Heartbeat
	members map[string]*member
}

// member is another daemon with its newest heartbeat.
type member struct {
	heartbeat       *twpeer.Heartbeat
	lostDeadline    time.Time
	removalDeadline time.Time
	reportedLost    bool
}

// New returns a tracker that knows only this daemon.
func New(self *twpeer.Heartbeat) *Tracker {
	return &Tracker{self: self, members: make(map[string]*member)}
}

// NextHeartbeats advances this daemon's own counter, updates its own heartbeat and returns all heartbeats to send.
func (t *Tracker) NextHeartbeats(now time.Time, revision int64, draining bool, leaving []string) *twpeer.Heartbeats {
	t.self.Counter++
	t.self.Revision = revision
	t.self.Draining = draining
	t.self.Leaving = leaving
	return t.Snapshot(now)
}

// Snapshot returns the heartbeats of this daemon, first, and of all live daemons in the order of their incarnations.
func (t *Tracker) Snapshot(now time.Time) *twpeer.Heartbeats {
	own := proto.CloneOf(t.self)
	heartbeats := []*twpeer.Heartbeat{own}
	for _, incarnation := range t.incarnations() {
		m := t.members[incarnation]
		if now.Before(m.lostDeadline) {
			heartbeats = append(heartbeats, m.heartbeat)
		}
	}
	return &twpeer.Heartbeats{Beats: heartbeats}
}

// Merge applies heartbeats that another daemon sent. A heartbeat whose counter is not newer changes nothing.
func (t *Tracker) Merge(now time.Time, heartbeats []*twpeer.Heartbeat) {
	for _, b := range heartbeats {
		if b.GetIncarnation() == "" || b.GetIncarnation() == t.self.GetIncarnation() {
			continue
		}
		known, ok := t.members[b.GetIncarnation()]
		if ok && known.heartbeat.GetCounter() >= b.GetCounter() {
			continue
		}
		if !ok && len(t.members) >= maxMembers {
			continue
		}
		t.members[b.GetIncarnation()] = &member{
			heartbeat:       b,
			lostDeadline:    now.Add(lostTimeout),
			removalDeadline: now.Add(removalTimeout),
		}
	}
}

// NewlyLost returns the incarnations that became lost since the last call, in ascending order, and removes those that
// have been lost for long.
func (t *Tracker) NewlyLost(now time.Time) []string {
	var lost []string
	for incarnation, m := range t.members {
		if now.After(m.removalDeadline) {
			delete(t.members, incarnation)
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

// Live returns the last heartbeats of the live daemons in the order of their incarnations, without this daemon.
func (t *Tracker) Live(now time.Time) []*twpeer.Heartbeat {
	return t.Snapshot(now).GetBeats()[1:]
}

// IsLive reports whether the incarnation is this daemon or a live one.
func (t *Tracker) IsLive(now time.Time, incarnation string) bool {
	if incarnation == t.self.GetIncarnation() {
		return true
	}
	m, ok := t.members[incarnation]
	return ok && now.Before(m.lostDeadline)
}

// IsKnown reports whether a heartbeat of the incarnation was received, be it live or lost.
func (t *Tracker) IsKnown(incarnation string) bool {
	_, ok := t.members[incarnation]
	return ok || incarnation == t.self.GetIncarnation()
}

func (t *Tracker) incarnations() []string {
	names := make([]string, 0, len(t.members))
	for incarnation := range t.members {
		names = append(names, incarnation)
	}
	sort.Strings(names)
	return names
}
