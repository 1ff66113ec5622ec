package twcluster

import (
	"context"
	"sort"
	"time"

	"github.com/turmericwall/turmericwall"
)

// rest forgets who is live while another daemon is the leader.
func (c *Cluster) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.live = false
	}
}

// sendHeartbeats sends one heartbeat to each daemon that has answered the one before.
func (c *Cluster) sendHeartbeats(ctx context.Context, term int64) {
	heartbeat := turmericwall.Heartbeat{
		Leader: c.config.Self, Term: term, Daemons: c.Daemons(),
		PlanVersion: c.config.PlanVersion(), UpstreamsPosition: c.config.UpstreamsPosition(),
		StoreMillis: time.Since(c.config.StoreRead()).Milliseconds(), LeaseVersion: c.config.LeaseVersion(),
	}
	if c.config.Changing != nil {
		heartbeat.Changing = c.config.Changing()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config.Stopping != nil && c.config.Stopping() {
		heartbeat.Successor = c.successor()
	}
	for _, name := range c.names() {
		m := c.members[name]
		if m.live && time.Since(m.answeredAt) > memberTimeout {
			c.lose(m)
		}
		if m.asked {
			continue
		}
		m.asked = true
		go c.sendHeartbeat(ctx, name, m.Address, heartbeat)
	}
}

// successor is the live daemon with the best link, and of these the one that started last, but for those that were asked
// and did not take the lease; the lock is held. When daemons are restarted in turn, the one that was restarted last stays the longest: a leader chosen by chance
// was stopped again a second or two later, and each time all daemons placed calls alone for two seconds.
func (c *Cluster) successor() turmericwall.Member {
	var next *member
	for _, name := range c.names() {
		m := c.members[name]
		if !m.live || m.Incarnation == "" || m.nominations >= maxNominations {
			continue
		}
		if next == nil || m.before(next) {
			next = m
		}
	}
	if next == nil {
		return turmericwall.Member{}
	}
	next.nominations++
	return next.Member
}

// before tells that the daemon is the better successor.
func (m *member) before(other *member) bool {
	if m.linkMegabits != other.linkMegabits {
		return m.linkMegabits > other.linkMegabits
	}
	return m.startedAt.After(other.startedAt)
}

func (c *Cluster) sendHeartbeat(ctx context.Context, name, address string, heartbeat turmericwall.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	got, err := c.config.Peers.Heartbeat(ctx, address, heartbeat)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[name]
	m.asked = false
	if err != nil {
		return
	}
	if m.Incarnation != "" && m.Incarnation != got.Incarnation && m.live {
		c.lose(m)
	}
	if !m.live {
		c.config.Recorder.Record(turmericwall.EventPeerLive).Str("peer", name).Str("incarnation", got.Incarnation).Send()
	}
	if m.Incarnation != got.Incarnation {
		m.nominations = 0
		m.linkMegabits = got.LinkMegabits
		m.startedAt = time.Now().Add(-time.Duration(got.UpMillis) * time.Millisecond)
	}
	m.Incarnation = got.Incarnation
	m.live = true
	m.answeredAt = time.Now()
}

// lose notes that an incarnation no longer answers; the lock is held.
func (c *Cluster) lose(m *member) {
	m.live = false
	c.config.Recorder.Record(turmericwall.EventPeerLost).Str("peer", m.Name).Str("incarnation", m.Incarnation).
		Int("silentMillis", time.Since(m.answeredAt).Milliseconds()).Send()
	if c.config.Gone != nil {
		c.config.Gone(m.Incarnation)
	}
}

func (c *Cluster) names() []string {
	names := make([]string, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
