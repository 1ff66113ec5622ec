package twcluster

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// sendHeartbeats sends one heartbeat to each daemon that has answered the one before.
func (c *Cluster) sendHeartbeats(ctx context.Context, term int64) {
	// How old the knowledge is, is taken before the knowledge itself.
	heartbeat := turmericwall.Heartbeat{
		Leader: c.config.Self, Term: term, Daemons: c.Daemons(), LeaseVersion: c.config.LeaseVersion(),
		StoreMillis: time.Since(c.FreshAt()).Milliseconds(), ProofMillis: c.config.Proof.AgeMillis(twboottime.Now()),
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
			c.lose(m)
		}
		if now.Sub(m.answeredAt) > forgetSpan && now.Sub(m.knownAt) > forgetSpan {
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
		heartbeat.Echo = turmericwall.Echo{Incarnation: m.Incarnation, Moment: m.Moment}
		go c.sendHeartbeat(ctx, address, heartbeat)
	}
}

// nominee is the daemon that this leader asks to take the lease: when it stops, or when it alone can't renew the lease and
// a standby reads the store; the lock is held.
func (c *Cluster) nominee() turmericwall.Member {
	stopping := c.config.Stopping != nil && c.config.Stopping()
	expired := c.config.LeaseExpired != nil && c.config.LeaseExpired() && time.Since(c.config.ReadAt()) > c.config.Staleness
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
	sentAt, sentMoment := time.Now(), twboottime.Now()
	got, err := c.config.Peers.Heartbeat(ctx, address, heartbeat)
	if err == nil && c.config.TakeUses != nil {
		c.config.TakeUses(got.Incarnation, time.Duration(got.UpMillis)*time.Millisecond, got.Uses)
	}
	if err == nil && c.config.TakeRates != nil {
		c.config.TakeRates(got.Rates)
	}
	if err == nil && c.config.TakeLeaving != nil {
		c.config.TakeLeaving(got.Leaving)
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
	c.answered(m, got)
	if got.PlanVersion <= c.config.PlanVersion() {
		c.config.Proof.ConfirmAged(sentMoment, got.ProofMillis)
	}
	c.catchUp(sentAt, got)
}

// answered notes a reply to a heartbeat; the lock is held.
func (c *Cluster) answered(m *member, got turmericwall.HeartbeatReply) {
	if m.Incarnation != "" && m.Incarnation != got.Incarnation && m.live {
		c.lose(m)
	}
	if !m.live {
		c.config.Recorder.Record(turmericwall.EventPeerLive).Str("peer", got.Name).Str("incarnation", got.Incarnation).Send()
	}
	if m.Incarnation != got.Incarnation {
		m.nominations = 0
		m.startedAt = time.Now().Add(-time.Duration(got.UpMillis) * time.Millisecond)
	}
	m.HeartbeatReply = got
	m.live = true
	m.answeredAt = time.Now()
}

// catchUp learns from a daemon that has read the store later than this leader, which may be cut off from it; the lock is
// held.
func (c *Cluster) catchUp(sentAt time.Time, got turmericwall.HeartbeatReply) {
	if got.ReadMillis < 0 {
		return
	}
	at := sentAt.Add(-time.Duration(got.ReadMillis) * time.Millisecond)
	own := c.config.ReadAt()
	if c.learnedAt.After(own) {
		own = c.learnedAt
	}
	if at.Sub(own) < c.config.Staleness/4 {
		return
	}
	if got.PlanVersion > c.config.PlanVersion() || got.UpstreamsPosition > c.config.UpstreamsPosition() {
		c.fetchFrom(got.Member)
		return
	}
	c.learned(at)
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
