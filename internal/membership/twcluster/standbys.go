package twcluster

import (
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxStandbys is how many daemons read the store when the leader can't.
	maxStandbys = 2
	// provingSpan is how long a standby has to get an answer from the store once the leader gets none.
	provingSpan = 600 * time.Millisecond
)

// chooseStandbys keeps the standbys that still serve and fills up with the best other members; the lock is held.
//
// While the leader gets no answer from the store, a standby that gets none either yields to a member that was not tried
// for longest: the store may turn some daemons away and serve others.
func (c *Cluster) chooseStandbys(now time.Time) {
	stale := now.Sub(c.config.ReadAt()) > c.config.Staleness
	var kept []turmericwall.Member
	chosen := make(map[string]bool, maxStandbys)
	zones := map[string]bool{c.config.Zone: true}
	take := func(m *member) {
		kept = append(kept, m.Member)
		chosen[m.Address] = true
		zones[m.Zone] = true
	}
	for _, s := range c.standbys {
		m, ok := c.members[s.Address]
		if !ok || !m.serves() || m.Incarnation != s.Incarnation {
			continue
		}
		if stale && !m.fresh(c.config.Staleness) && now.Sub(m.chosenAt) > provingSpan {
			continue
		}
		if !stale && c.best(func(o *member) bool { return !c.isChosen(o) && o.LinkMegabits > m.LinkMegabits }, nil, false) != nil {
			continue
		}
		take(m)
	}
	for len(kept) < maxStandbys {
		next := c.best(func(m *member) bool { return !chosen[m.Address] }, zones, stale)
		if next == nil {
			break
		}
		next.chosenAt = now
		take(next)
	}
	c.standbys = kept
}

// isChosen tells that the member is a standby; the lock is held.
func (c *Cluster) isChosen(m *member) bool {
	return slices.ContainsFunc(c.standbys, func(s turmericwall.Member) bool { return s.Address == m.Address })
}

// best is the best member that serves and may be taken; the lock is held.
func (c *Cluster) best(may func(*member) bool, zones map[string]bool, stale bool) *member {
	var best *member
	for _, address := range c.addresses() {
		m := c.members[address]
		if m.serves() && may(m) && (best == nil || c.before(m, best, zones, stale)) {
			best = m
		}
	}
	return best
}

// before tells that m is the better standby and successor: one that reads the store, then, while the leader is stale, the
// one that was not tried for longest, then the better link, since the leader talks to all, then one in a zone that is not
// in use yet, then the one that started last, since daemons that are restarted in turn stay the longest after it.
func (c *Cluster) before(m, other *member, zones map[string]bool, stale bool) bool {
	if fresh := m.fresh(c.config.Staleness); fresh != other.fresh(c.config.Staleness) {
		return fresh
	}
	if stale && m.chosenAt != other.chosenAt {
		return m.chosenAt.Before(other.chosenAt)
	}
	if m.LinkMegabits != other.LinkMegabits {
		return m.LinkMegabits > other.LinkMegabits
	}
	if zones[m.Zone] != zones[other.Zone] {
		return !zones[m.Zone]
	}
	return m.startedAt.After(other.startedAt)
}

// successor is the member that should take the lease: a standby, or the best member when there is none; the lock is held.
func (c *Cluster) successor(freshOnly bool) *member {
	may := func(m *member) bool {
		return m.nominations < maxNominations && (!freshOnly || m.fresh(c.config.Staleness))
	}
	next := c.best(func(m *member) bool { return c.isChosen(m) && may(m) }, nil, false)
	if next == nil {
		next = c.best(may, nil, false)
	}
	return next
}

// isStandby tells that the live leader has chosen this daemon; the lock is held.
func (c *Cluster) isStandby() bool { return c.rank() >= 0 }

// rank is this daemon's place among the leader's standbys, or -1; the lock is held.
func (c *Cluster) rank() int {
	for i, s := range c.heartbeat.Standbys {
		if s == c.config.Self {
			return i
		}
	}
	return -1
}

// StandbyRank is this daemon's place among the standbys of the last leader heard, or -1 when it is none.
func (c *Cluster) StandbyRank() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rank()
}

// Standbys are those of the last leader heard, without this daemon.
func (c *Cluster) Standbys() []turmericwall.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []turmericwall.Member
	for _, s := range c.heartbeat.Standbys {
		if s != c.config.Self {
			list = append(list, s)
		}
	}
	return list
}

func (m *member) serves() bool { return m.live && !m.Stopping && m.Incarnation != "" }

// fresh tells that the member reads the store and got an answer lately.
func (m *member) fresh(staleness time.Duration) bool {
	return m.ReadMillis >= 0 && time.Duration(m.ReadMillis)*time.Millisecond < staleness
}
