package twcluster

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twfanout"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// maxDirectDaemons is the largest number of daemons to which the leader sends every heartbeat itself.
	maxDirectDaemons = 128
	// fanoutLimit is how many daemons one daemon sends a heartbeat to when there are more.
	fanoutLimit = 32
	// forwardTimeout is the time limit of a forwarded heartbeat for each step below the relay. The leader sends to the
	// daemons of a relay itself when the relay does not answer in time, and they must get that before leaderTimeout.
	forwardTimeout = 120 * time.Millisecond
	// minHeartbeatGap is the shortest time between two heartbeats to the same daemon: rounds also begin when daemons
	// join.
	minHeartbeatGap = heartbeatInterval * 4 / 5
	// lostHeartbeatGap is the time between two heartbeats to a daemon that does not reply, when the leader does not
	// send to all daemons itself. A daemon that can be reached again joins by itself.
	lostHeartbeatGap = time.Second
	// maxRepeatedChanging is the number of engines changing role up to which every heartbeat lists them. Longer lists are
	// sent in changingRepeats rounds after each change, because heartbeats may be lost, and in every changingInterval-th
	// round for daemons that started since.
	maxRepeatedChanging = 16
	changingRepeats     = 3
	changingInterval    = 8
	// relayRetryGap is how long a daemon is no relay after most of its daemons did not reply.
	relayRetryGap = 5 * time.Second
)

// sendHeartbeats sends one heartbeat to each daemon to which one is due, and expires members that do not reply.
func (c *Cluster) sendHeartbeats(ctx context.Context, term int64) {
	// The ages are read before the state itself; see Self.
	heartbeat := turmericwall.Heartbeat{
		Leader: c.config.Self, Term: term, Daemons: c.LiveDaemons(), LeaseVersion: c.config.LeaseVersion(),
		StateAgeMillis: time.Since(c.FreshAt()).Milliseconds(),
		ProofAgeMillis: c.config.Proof.AgeMillis(twboottime.Now()),
	}
	heartbeat.PlanVersion, heartbeat.UpstreamsPosition = c.config.PlanVersion(), c.config.UpstreamsPosition()
	if c.config.Levels != nil {
		heartbeat.Levels = c.config.Levels()
	}
	if c.config.Rates != nil {
		heartbeat.Rates = c.config.Rates()
	}
	if c.config.Leaving != nil {
		heartbeat.Leaving = c.config.Leaving()
	}
	if c.config.Loads != nil {
		heartbeat.Loads = c.config.Loads()
	}
	if c.config.EvidenceVersion != nil {
		heartbeat.EvidenceVersion = c.config.EvidenceVersion()
	}
	c.mu.Lock()
	defer c.unlock()
	c.latestTerm = max(c.latestTerm, term)
	now := time.Now()
	c.expireMembers(now)
	c.chooseStandbys(now)
	c.sequence++
	heartbeat.Sequence = c.sequence
	if c.config.Changing != nil {
		heartbeat.Changing = c.selectChanging(c.config.Changing())
	}
	heartbeat.Standbys = c.standbys
	heartbeat.MembersVersion = c.membersVersion
	heartbeat.Successor = c.nominee()
	for _, f := range c.planRound(now) {
		go c.sendHeartbeat(ctx, heartbeat, f)
	}
}

// selectChanging returns the engines changing role that the next round of heartbeats lists: all, or none when the daemons
// know the list already. While hundreds of engines change their roles, the list is longer than all else in a heartbeat.
// The lock is held.
func (c *Cluster) selectChanging(list []turmericwall.ChangingEngine) []turmericwall.ChangingEngine {
	digest := uint64(len(list))
	for _, e := range list {
		// The order of the list is random, and a sum does not depend on it.
		digest += xxhash.Sum64String(e.ID + "/" + string(e.Role))
	}
	if digest != c.changingDigest {
		c.changingDigest = digest
		c.changingUntil = c.sequence + changingRepeats
	}
	if len(list) <= maxRepeatedChanging || c.sequence < c.changingUntil || c.sequence%changingInterval == 0 {
		return list
	}
	return nil
}

// expireMembers marks the members as lost that did not reply for too long, and removes those that did not for
// memberRetention; the lock is held.
func (c *Cluster) expireMembers(now time.Time) {
	for address, m := range c.members {
		if m.live && now.Sub(m.answeredAt) > memberTimeout {
			c.markLost(m)
		}
		if now.Sub(m.answeredAt) > memberRetention && now.Sub(m.addedAt) > memberRetention {
			delete(c.members, address)
			c.membersVersion++
			c.sortedAddresses = nil
		}
	}
}

// planRound returns the daemons to which this leader sends a heartbeat now, with those to which they forward it, and
// marks all of them as pending; the lock is held.
//
// If the leader sent every heartbeat itself, its messages would grow with the number of daemons. Only daemons that replied
// in time get them from relays; the leader sends to all others itself, so that a relay that fails or is partitioned costs
// its daemons one heartbeat at most.
func (c *Cluster) planRound(now time.Time) []turmericwall.HeartbeatForward {
	relayed := len(c.members) > maxDirectDaemons
	var direct []turmericwall.HeartbeatForward
	var forwarded []twfanout.Daemon
	rank := 0
	for _, address := range c.addresses() {
		m := c.members[address]
		if m.live {
			rank++
		}
		if !m.isDue(now, relayed) {
			continue
		}
		m.pending = true
		m.sentAt = now
		f := turmericwall.HeartbeatForward{
			Address: address, Rank: rank,
			Echo: turmericwall.Echo{Incarnation: m.Incarnation, BootTimeNanos: m.BootTimeNanos},
		}
		if relayed && m.prompt && m.isAvailable() {
			forwarded = append(forwarded, twfanout.Daemon{
				Forward: f, Zone: m.Zone, LinkMegabits: m.LinkMegabits, Failed: now.Sub(m.relayFailedAt) < relayRetryGap,
			})
			continue
		}
		direct = append(direct, f)
	}
	return append(direct, twfanout.Plan(forwarded, fanoutLimit)...)
}

// isDue reports whether a heartbeat is due to the member.
func (m *member) isDue(now time.Time, relayed bool) bool {
	gap := minHeartbeatGap
	if relayed && !m.live {
		gap = lostHeartbeatGap
	}
	return !m.pending && now.Sub(m.sentAt) >= gap
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

// sendHeartbeat sends a heartbeat to one daemon and records its reply and those of the daemons to which it forwards. If
// it does not answer, this leader sends to those itself.
func (c *Cluster) sendHeartbeat(
	ctx context.Context, heartbeat turmericwall.Heartbeat, to turmericwall.HeartbeatForward,
) {
	timeout := heartbeatTimeout
	if len(to.Forwards) > 0 {
		timeout = forwardTimeout * time.Duration(1+height(to))
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt, sentAtBootTime := time.Now(), twboottime.Now()
	reply, err := c.sendForward(callCtx, heartbeat, to)
	if err != nil {
		c.recordNoReply(to.Address)
		if len(to.Forwards) > 0 {
			c.recordRelayFailure(to.Address)
		}
		for _, f := range to.Forwards {
			go c.sendHeartbeat(ctx, heartbeat, f)
		}
		return
	}
	replies := append([]turmericwall.HeartbeatReply{reply}, reply.Forwarded...)
	replies[0].Address, replies[0].Forwarded = to.Address, nil
	prompt := len(to.Forwards) > 0 || time.Since(sentAt) < forwardTimeout/2
	replied := make(map[string]bool, len(replies))
	for _, r := range replies {
		replied[r.Address] = true
		c.applyReply(sentAt, sentAtBootTime, prompt, r)
	}
	below, missing := addressesBelow(to), 0
	for _, address := range below {
		if !replied[address] {
			missing++
			c.recordNoReply(address)
		}
	}
	if 2*missing > len(below) {
		c.recordRelayFailure(to.Address)
	}
}

// sendForward sends the heartbeat to one daemon with that daemon's own Echo, Rank and Forwards.
func (c *Cluster) sendForward(
	ctx context.Context, heartbeat turmericwall.Heartbeat, to turmericwall.HeartbeatForward,
) (turmericwall.HeartbeatReply, error) {
	heartbeat.Echo, heartbeat.Rank, heartbeat.Forwards = to.Echo, to.Rank, to.Forwards
	return c.config.Peers.Heartbeat(ctx, to.Address, heartbeat)
}

// height returns how many steps below the daemon the heartbeat is forwarded.
func height(f turmericwall.HeartbeatForward) int {
	steps := 0
	for _, child := range f.Forwards {
		steps = max(steps, 1+height(child))
	}
	return steps
}

// addressesBelow returns the addresses of the daemons to which the heartbeat is forwarded below the daemon.
func addressesBelow(f turmericwall.HeartbeatForward) []string {
	var addresses []string
	for _, child := range f.Forwards {
		addresses = append(append(addresses, child.Address), addressesBelow(child)...)
	}
	return addresses
}

// HandleHeartbeat applies a heartbeat, forwards it to the daemons that it names, and returns this daemon's reply with
// theirs.
func (c *Cluster) HandleHeartbeat(
	ctx context.Context, heartbeat turmericwall.Heartbeat,
) turmericwall.HeartbeatReply {
	forwards := heartbeat.Forwards
	heartbeat.Forwards = nil
	replies := make(chan []turmericwall.HeartbeatReply, len(forwards))
	forwarded := heartbeat
	forwarded.Relay = c.config.Self
	for _, f := range forwards {
		go func() { replies <- c.forwardHeartbeat(ctx, forwarded, f) }()
	}
	reply := c.ApplyHeartbeat(heartbeat)
	for range forwards {
		reply.Forwarded = append(reply.Forwarded, <-replies...)
	}
	return reply
}

// forwardHeartbeat forwards a heartbeat to one daemon and returns the replies of that daemon and of those below it.
func (c *Cluster) forwardHeartbeat(
	ctx context.Context, heartbeat turmericwall.Heartbeat, to turmericwall.HeartbeatForward,
) []turmericwall.HeartbeatReply {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout*time.Duration(1+height(to)))
	defer cancel()
	reply, err := c.sendForward(ctx, heartbeat, to)
	if err != nil {
		return nil
	}
	below := reply.Forwarded
	reply.Address, reply.Forwarded = to.Address, nil
	return append([]turmericwall.HeartbeatReply{reply}, below...)
}

// applyReply records a daemon's reply to the heartbeat that this leader sent at the given times. prompt is set if the
// daemon replied so fast that a relay may send it the next heartbeat.
func (c *Cluster) applyReply(
	sentAt time.Time, sentAtBootTime twboottime.Instant, prompt bool, reply turmericwall.HeartbeatReply,
) {
	if c.config.RecordUses != nil {
		c.config.RecordUses(reply.Incarnation, time.Duration(reply.UptimeMillis)*time.Millisecond, reply.Uses)
	}
	if c.config.ApplyRates != nil {
		c.config.ApplyRates(reply.Rates)
	}
	if c.config.ApplyLeaving != nil {
		c.config.ApplyLeaving(reply.Leaving)
	}
	if c.config.RecordLoads != nil {
		c.config.RecordLoads(reply.Incarnation, reply.Loads)
	}
	if term, leading := c.config.IsLeader(); leading && reply.Term > term && c.config.OnOutranked != nil {
		c.config.OnOutranked()
	}
	c.mu.Lock()
	defer c.unlock()
	m, ok := c.members[reply.Address]
	if !ok {
		return
	}
	m.pending = false
	m.prompt = prompt
	c.recordReply(m, reply)
	if reply.PlanVersion <= c.config.PlanVersion() {
		c.config.Proof.ConfirmAged(sentAtBootTime, reply.ProofAgeMillis)
	}
	c.syncFromReply(sentAt, reply)
}

// recordNoReply records that a heartbeat has ended without a reply, and that the next one is sent by this leader.
func (c *Cluster) recordNoReply(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[address]; ok {
		m.pending, m.prompt = false, false
	}
}

// recordRelayFailure records that a relay did not reach its daemons.
func (c *Cluster) recordRelayFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[address]; ok {
		m.relayFailedAt = time.Now()
	}
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
	c.lost = append(c.lost, m.Incarnation)
}

// unlock releases the lock, and then reports the incarnations that were lost under it. Their receivers query this cluster under
// locks of their own.
func (c *Cluster) unlock() {
	lost := c.lost
	c.lost = nil
	c.mu.Unlock()
	if c.config.OnPeerLost == nil {
		return
	}
	for _, incarnation := range lost {
		c.config.OnPeerLost(incarnation)
	}
}
