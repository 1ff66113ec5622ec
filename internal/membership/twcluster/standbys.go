package twcluster

import (
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxStandbys is how many daemons read the store when the leader cannot.
	maxStandbys = 2
	// probationSpan is how long a standby has to get an answer from the store once the leader gets none.
	probationSpan = 600 * time.Millisecond
)

// chooseStandbys keeps the standbys that are still available and adds the best other members; the lock is held.
//
// While the leader gets no answer from the store, a standby that gets none either is replaced by the member that was
// not a standby for the longest time: the store may refuse some daemons and serve others.
func (c *Cluster) chooseStandbys(now time.Time) {
	stale := now.Sub(c.config.ReadAt()) > c.config.Staleness
	var kept []turmericwall.Member
	chosen := make(map[string]bool, maxStandbys)
	zones := map[string]bool{c.config.Zone: true}
	keep := func(m *member) {
		kept = append(kept, m.Member)
		chosen[m.Address] = true
		zones[m.Zone] = true
	}
	for _, s := range c.standbys {
		m, ok := c.members[s.Address]
		if !ok || !m.isAvailable() || m.Incarnation != s.Incarnation {
			continue
		}
		if stale && !m.isFresh(c.config.Staleness) && now.Sub(m.chosenAt) > probationSpan {
			continue
		}
		if !stale && c.bestMember(func(o *member) bool {
			return !c.isChosenStandby(o) && o.LinkMegabits > m.LinkMegabits
		}, nil, false) != nil {
			continue
		}
		keep(m)
	}
	for len(kept) < maxStandbys {
		next := c.bestMember(func(m *member) bool { return !chosen[m.Address] }, zones, stale)
		if next == nil {
			break
		}
		next.chosenAt = now
		keep(next)
	}
	c.standbys = kept
}

// isChosenStandby reports whether the member is a standby; the lock is held.
func (c *Cluster) isChosenStandby(m *member) bool {
	return slices.ContainsFunc(c.standbys, func(s turmericwall.Member) bool { return s.Address == m.Address })
}

// bestMember returns the best member that is available and eligible, or nil; the lock is held.
func (c *Cluster) bestMember(eligible func(*member) bool, zones map[string]bool, stale bool) *member {
	var best *member
	for _, address := range c.addresses() {
		m := c.members[address]
		if m.isAvailable() && eligible(m) && (best == nil || c.isBetter(m, best, zones, stale)) {
			best = m
		}
	}
	return best
}

// isBetter reports whether m is the better standby and successor; the lock is held. It compares, in this order:
// whether the member reads the store; while the leader is stale, which one was not a standby for longer; the rate of
// the link, since the leader sends to all daemons; whether its data centre has no standby yet; and which one started
// last, since daemons that are restarted in turn keep it the longest.
func (c *Cluster) isBetter(m, other *member, zones map[string]bool, stale bool) bool {
	if fresh := m.isFresh(c.config.Staleness); fresh != other.isFresh(c.config.Staleness) {
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

// successor returns the member that should take the lease: a standby, or the best member when there is none; nil if
// no member is eligible. The lock is held.
func (c *Cluster) successor(freshOnly bool) *member {
	eligible := func(m *member) bool {
		return m.nominations < maxNominations && (!freshOnly || m.isFresh(c.config.Staleness))
	}
	next := c.bestMember(func(m *member) bool { return c.isChosenStandby(m) && eligible(m) }, nil, false)
	if next == nil {
		next = c.bestMember(eligible, nil, false)
	}
	return next
}

// isStandby reports whether the last leader chose this daemon as a standby; the lock is held.
func (c *Cluster) isStandby() bool { return c.rank() >= 0 }

// rank returns this daemon's position among the leader's standbys, or -1; the lock is held.
func (c *Cluster) rank() int {
	for i, s := range c.heartbeat.Standbys {
		if s == c.config.Self {
			return i
		}
	}
	return -1
}

// StandbyRank returns this daemon's position among the standbys in the last heartbeat, or -1 when it is none.
func (c *Cluster) StandbyRank() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rank()
}

// Standbys returns the standbys in the last heartbeat without this daemon.
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

// ChosenStandbys returns the standbys that this daemon chose as the leader.
func (c *Cluster) ChosenStandbys() []turmericwall.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.standbys)
}

// isAvailable reports whether the member replies and is not stopping.
func (m *member) isAvailable() bool { return m.live && !m.Stopping && m.Incarnation != "" }

// isFresh reports whether the member itself reads the store and sent its last answered read within staleness.
func (m *member) isFresh(staleness time.Duration) bool {
	return m.StoreReadAgeMillis >= 0 && time.Duration(m.StoreReadAgeMillis)*time.Millisecond < staleness
}
