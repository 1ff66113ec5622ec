package twcluster

import (
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// ApplyHeartbeat applies a heartbeat and returns this daemon's reply. A heartbeat of an earlier term than the latest one known is ignored:
// its leader has lost the lease, though it may not know that yet.
func (c *Cluster) ApplyHeartbeat(heartbeat turmericwall.Heartbeat) turmericwall.HeartbeatReply {
	self := c.Self()
	c.mu.Lock()
	defer c.mu.Unlock()
	ownTerm, leading := c.config.IsLeader()
	if leading {
		c.latestTerm = max(c.latestTerm, ownTerm)
	}
	c.latestTerm = max(c.latestTerm, heartbeat.Term)
	self.Term = c.latestTerm
	if heartbeat.Term < c.latestTerm {
		c.recordSuperseded(heartbeat)
		return self
	}
	if heartbeat.Leader == c.heartbeat.Leader && heartbeat.Sequence < c.heartbeat.Sequence {
		// A relay that was suspended may forward a heartbeat after later ones.
		return self
	}
	if heartbeat.Leader != c.heartbeat.Leader {
		c.copiedVersion = 0
		c.config.Recorder.Record(turmericwall.EventLeaderObserved).
			Str("leader", heartbeat.Leader.Name).Int("term", heartbeat.Term).Send()
	}
	c.heartbeat = heartbeat
	c.lastHeartbeatAt = time.Now()
	c.heartbeatSentAt = c.sentAt(heartbeat)
	if leading && heartbeat.Term > ownTerm && c.config.OnOutranked != nil {
		c.config.OnOutranked()
	}
	if heartbeat.PlanVersion <= self.PlanVersion {
		c.config.Proof.ConfirmEcho(twboottime.Now(), heartbeat.Echo, heartbeat.ProofAgeMillis)
	}
	behind := heartbeat.PlanVersion > self.PlanVersion || heartbeat.UpstreamsPosition > self.UpstreamsPosition
	if !behind && !c.heartbeatSentAt.IsZero() {
		c.recordPeerFreshAt(c.heartbeatSentAt.Add(-time.Duration(heartbeat.StateAgeMillis) * time.Millisecond))
	}
	if self.PlanVersion >= c.wanted.planVersion && self.UpstreamsPosition >= c.wanted.upstreamsPosition {
		c.wanted = wantedState{
			planVersion: heartbeat.PlanVersion, upstreamsPosition: heartbeat.UpstreamsPosition, since: c.lastHeartbeatAt,
		}
	}
	if behind || (c.isStandby() && heartbeat.MembersVersion != c.copiedVersion) {
		c.requestFetch(c.fetchSource())
	}
	c.applyReports(heartbeat)
	if c.config.Uses != nil {
		self.Uses = c.config.Uses()
	}
	if c.config.OwnLoads != nil {
		// The heartbeat may have asked for services of which this daemon itself observed no problems.
		self.Loads = c.config.OwnLoads()
	}
	return self
}

// applyReports applies what the leader reports in a heartbeat beside its state; the lock is held.
func (c *Cluster) applyReports(heartbeat turmericwall.Heartbeat) {
	c.config.ApplyLeaseVersion(heartbeat.LeaseVersion, heartbeat.Leader)
	if c.config.ApplyChanging != nil {
		c.config.ApplyChanging(heartbeat.Changing)
	}
	if c.config.ApplyLevels != nil {
		c.config.ApplyLevels(heartbeat.Leader.Incarnation, heartbeat.Levels)
	}
	if c.config.ApplyRates != nil {
		c.config.ApplyRates(heartbeat.Rates)
	}
	if c.config.ApplyLeaving != nil {
		c.config.ApplyLeaving(heartbeat.Leaving)
	}
	if c.config.ApplyLoads != nil && !c.heartbeatSentAt.IsZero() {
		c.config.ApplyLoads(c.heartbeatSentAt, heartbeat.Loads)
	}
	if c.config.WantEvidence != nil {
		c.config.WantEvidence(heartbeat.Leader, heartbeat.EvidenceVersion)
	}
	if heartbeat.Successor == c.config.Self && c.config.OnNominated != nil {
		c.config.OnNominated()
	}
}

// recordSuperseded logs the first heartbeat of a leader whose term is over; the lock is held.
func (c *Cluster) recordSuperseded(heartbeat turmericwall.Heartbeat) {
	if heartbeat.Term == c.supersededTerm {
		return
	}
	c.supersededTerm = heartbeat.Term
	c.config.Recorder.Record(turmericwall.EventLeaderSuperseded).Str("leader", heartbeat.Leader.Name).Int("term", heartbeat.Term).
		Int("latestTerm", c.latestTerm).Int("heardMillis", time.Since(c.lastHeartbeatAt).Milliseconds()).Send()
}

// fetchSource returns the daemon from which this daemon fetches the state that it lacks: its relay, so that the leader
// sends a change once for each relay, or the leader if the relay does not have the change in time. Standbys fetch from
// the leader, which alone knows all members. The lock is held.
func (c *Cluster) fetchSource() turmericwall.Member {
	if c.heartbeat.Relay.Name == "" || c.isStandby() || time.Since(c.wanted.since) > relayFetchTimeout {
		return c.heartbeat.Leader
	}
	return c.heartbeat.Relay
}

// sentAt returns when the heartbeat, just received, was sent; zero when that is unknown. The lock is held.
//
// The leader, a relay or this daemon may have stood still while the heartbeat was under way, so that its arrival says nothing. It is dated
// by its echo: this daemon's clock at its last reply that the leader had received. The next heartbeat usually follows that
// reply within heartbeatInterval, by which the result may be too late.
func (c *Cluster) sentAt(heartbeat turmericwall.Heartbeat) time.Time {
	if heartbeat.Echo.Incarnation != c.config.Self.Incarnation {
		return time.Time{}
	}
	sinceReply := twboottime.Now().Sub(twboottime.Instant(heartbeat.Echo.BootTimeNanos))
	return c.lastHeartbeatAt.Add(-max(sinceReply-heartbeatInterval, 0))
}

// Relay returns the daemon that forwarded the last heartbeat; its name is empty if the leader sent it itself.
func (c *Cluster) Relay() turmericwall.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeat.Relay
}

// FollowsFreshLeader reports whether another daemon leads and its state is younger than Config.Staleness.
func (c *Cluster) FollowsFreshLeader() bool {
	leaderLive := c.FollowsLiveLeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.heartbeatSentAt) + time.Duration(c.heartbeat.StateAgeMillis)*time.Millisecond
	informed := leaderLive && !c.heartbeatSentAt.IsZero() && age < c.config.Staleness
	if informed != c.wasInformed {
		c.wasInformed = informed
		event := turmericwall.EventLeaderStale
		if informed {
			event = turmericwall.EventInformedByLeader
		}
		c.config.Recorder.Record(event).Str("leader", c.heartbeat.Leader.Name).Int("term", c.heartbeat.Term).
			Int("heardMillis", time.Since(c.lastHeartbeatAt).Milliseconds()).
			Int("storeMillis", c.heartbeat.StateAgeMillis).Send()
	}
	return informed
}

// LeaderLacksStore reports whether the live leader's own state of the store is stale: neither it nor a standby reads the store.
func (c *Cluster) LeaderLacksStore() bool {
	if _, _, ok := c.Leader(); !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.heartbeat.StateAgeMillis)*time.Millisecond >= c.config.Staleness
}

// RequestState requests the state of the live leader soon, since calls wait for it; without one, peers are queried anyway.
func (c *Cluster) RequestState() {
	leader, self, ok := c.Leader()
	if !ok || self {
		return
	}
	c.mu.Lock()
	due := time.Since(c.stateRequestedAt) >= stateRequestGap
	if due {
		c.stateRequestedAt = time.Now()
	}
	c.mu.Unlock()
	if due {
		c.requestFetch(leader)
	}
}

// HeardAt returns when this daemon last heard a leader; zero if it never did.
func (c *Cluster) HeardAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastHeartbeatAt
}

// Leader returns the live leader. self is true if that is this daemon; ok is false when no leader is live.
func (c *Cluster) Leader() (leader turmericwall.Member, self, ok bool) {
	if _, leading := c.config.IsLeader(); leading {
		return c.config.Self, true, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastHeartbeatAt) > leaderTimeout {
		return turmericwall.Member{}, false, false
	}
	return c.heartbeat.Leader, false, true
}

// FollowsLiveLeader reports whether another daemon is the live leader.
func (c *Cluster) FollowsLiveLeader() bool {
	_, self, ok := c.Leader()
	return ok && !self
}
