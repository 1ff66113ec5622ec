package twcluster

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// sendHeartbeats sends one heartbeat to each daemon whose last heartbeat call has ended, and expires members that do
// not reply.
func (c *Cluster) sendHeartbeats(ctx context.Context, term int64) {
	// The ages are read before the state itself; see Self.
	heartbeat := turmericwall.Heartbeat{
		Leader: c.config.Self, Term: term, Daemons: c.LiveDaemons(), LeaseVersion: c.config.LeaseVersion(),
		StateAgeMillis: time.Since(c.FreshAt()).Milliseconds(),
		ProofAgeMillis: c.config.Proof.AgeMillis(twboottime.Now()),
	}
	heartbeat.PlanVersion, heartbeat.UpstreamsPosition = c.config.PlanVersion(), c.config.UpstreamsPosition()
	if c.config.Changing != nil {
		heartbeat.Changing = c.config.Changing()
	}
	if c.config.Levels != nil {
		heartbeat.Levels = c.config.Levels()
	}
	if c.config.Rates != nil {
		heartbeat.Rates = c.config.Rates()
	}
	if c.config.Leaving != nil {
		heartbeat.Leaving = c.config.Leaving()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, m := range c.members {
		if m.live && now.Sub(m.answeredAt) > memberTimeout {
			c.markLost(m)
		}
		if now.Sub(m.answeredAt) > memberRetention && now.Sub(m.addedAt) > memberRetention {
			delete(c.members, address)
			c.membersVersion++
		}
	}
	c.chooseStandbys(now)
	heartbeat.Standbys = c.standbys
	heartbeat.MembersVersion = c.membersVersion
	heartbeat.Successor = c.nominee()
	for _, address := range c.addresses() {
		m := c.members[address]
		if m.live {
			heartbeat.Rank++
		}
		if m.pending {
			continue
		}
		m.pending = true
		heartbeat.Echo = turmericwall.Echo{Incarnation: m.Incarnation, BootTimeNanos: m.BootTimeNanos}
		go c.sendHeartbeat(ctx, address, heartbeat)
	}
}

// nominee returns the daemon that this leader asks to take the lease: when it stops, or when it alone fails to renew
// the lease and a standby reads the store. It returns the zero Member when no daemon has to be asked; the lock is
// held.
func (c *Cluster) nominee() turmericwall.Member {
	stopping := c.config.IsStopping != nil && c.config.IsStopping()
	expired := c.config.LeaseExpired != nil && c.config.LeaseExpired() &&
		time.Since(c.config.ReadAt()) > c.config.Staleness
	if !stopping && !expired {
		return turmericwall.Member{}
	}
	next := c.successor(expired && !stopping)
	if next == nil {
		return turmericwall.Member{}
	}
	next.nominations++
	return next.Member
}

func (c *Cluster) sendHeartbeat(ctx context.Context, address string, heartbeat turmericwall.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt, sentAtBootTime := time.Now(), twboottime.Now()
	reply, err := c.config.Peers.Heartbeat(ctx, address, heartbeat)
	if err == nil && c.config.RecordUses != nil {
		c.config.RecordUses(reply.Incarnation, time.Duration(reply.UptimeMillis)*time.Millisecond, reply.Uses)
	}
	if err == nil && c.config.ApplyRates != nil {
		c.config.ApplyRates(reply.Rates)
	}
	if err == nil && c.config.ApplyLeaving != nil {
		c.config.ApplyLeaving(reply.Leaving)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[address]
	if !ok {
		return
	}
	m.pending = false
	if err != nil {
		return
	}
	c.recordReply(m, reply)
	if reply.PlanVersion <= c.config.PlanVersion() {
		c.config.Proof.ConfirmAged(sentAtBootTime, reply.ProofAgeMillis)
	}
	c.syncFromReply(sentAt, reply)
}

// recordReply records a reply to a heartbeat; the lock is held.
func (c *Cluster) recordReply(m *member, reply turmericwall.HeartbeatReply) {
	if m.Incarnation != "" && m.Incarnation != reply.Incarnation && m.live {
		c.markLost(m)
	}
	if !m.live {
		c.config.Recorder.Record(turmericwall.EventPeerLive).
			Str("peer", reply.Name).Str("incarnation", reply.Incarnation).Send()
	}
	if m.Incarnation != reply.Incarnation {
		m.nominations = 0
		m.startedAt = time.Now().Add(-time.Duration(reply.UptimeMillis) * time.Millisecond)
	}
	m.HeartbeatReply = reply
	m.live = true
	m.answeredAt = time.Now()
}

// syncFromReply obtains newer state from a daemon that has read the store later than this leader, which may be
// partitioned from the store; the lock is held.
func (c *Cluster) syncFromReply(sentAt time.Time, reply turmericwall.HeartbeatReply) {
	if reply.StoreReadAgeMillis < 0 {
		return
	}
	at := sentAt.Add(-time.Duration(reply.StoreReadAgeMillis) * time.Millisecond)
	own := c.config.ReadAt()
	if c.peerFreshAt.After(own) {
		own = c.peerFreshAt
	}
	if at.Sub(own) < c.config.Staleness/4 {
		return
	}
	if reply.PlanVersion > c.config.PlanVersion() || reply.UpstreamsPosition > c.config.UpstreamsPosition() {
		c.requestFetch(reply.Member)
		return
	}
	c.recordPeerFreshAt(at)
}

// markLost records that an incarnation no longer replies; the lock is held.
func (c *Cluster) markLost(m *member) {
	m.live = false
	c.config.Recorder.Record(turmericwall.EventPeerLost).Str("peer", m.Name).Str("incarnation", m.Incarnation).
		Int("silentMillis", time.Since(m.answeredAt).Milliseconds()).Send()
	if c.config.OnPeerLost != nil {
		c.config.OnPeerLost(m.Incarnation)
	}
}
