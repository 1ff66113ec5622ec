// Package twquota keeps client accounts within their quotas over all daemons together. Calls are charged after they are
// authenticated and before they are placed or sent.
//
// The leader holds one token bucket for each account. Calls that the leader places are charged there, exactly. Other
// calls are charged by the daemon that received them and reported in the replies to heartbeats, up to an equal part of
// the tolerance; beyond that the daemon requests each charge from the leader. A daemon without a leader has an equal
// share of each rate; the leader leaves the shares of unreachable daemons to them.
package twquota

import (
	"fmt"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// listedLevelFraction is the level, as a fraction of the capacity, below which an account is listed in heartbeats.
	listedLevelFraction = 0.75
	// restartLevelFraction is the fraction of the capacity with which a leader starts that restarted and knows no
	// levels.
	restartLevelFraction = 0.5
	// unknownCountRetryDelay is the delay after which a caller may retry at a daemon that does not know the number of
	// daemons yet.
	unknownCountRetryDelay = 300 * time.Millisecond
	// assumedDaemons is the number of daemons that is assumed while it is unknown.
	assumedDaemons = 100
	// maxNewDaemonAge is the time since its start up to which a daemon's first report is taken to be recent as a whole.
	maxNewDaemonAge = 8 * time.Second
	// reportRetention is how long an account's use is reported after its last call, because replies may be lost.
	reportRetention = 5 * time.Second
	// lostReportRetention is how long the reports of a daemon that no longer answers are kept.
	lostReportRetention = 12 * time.Second
	// leaderToleranceFraction is the fraction of the tolerance that the leader grants to an account. The rest is for
	// the use that the leader cannot know of in time.
	leaderToleranceFraction = 0.5
	// daemonCountMaxAge is how long a count of the daemons is cached.
	daemonCountMaxAge = 100 * time.Millisecond
	// levelsMaxAge is how long the leader's levels are used: the time between heartbeats and their transit.
	levelsMaxAge = 400 * time.Millisecond
	// leaderMissedAfter is the time without heartbeats after which the same leader is treated like a new one, which has
	// not counted what this daemon used in between.
	leaderMissedAfter = 700 * time.Millisecond
	// maxRetryDelay bounds the retry times of refused callers.
	maxRetryDelay = 5 * time.Second
)

// Config holds the dependencies and limits of a Meter.
type Config struct {
	// Account returns an account of the plan in force.
	Account func(name string) (turmericwall.ClientAccount, bool)
	// IsLeader reports whether this daemon is the leader, FollowsLiveLeader whether it receives the heartbeats of
	// another one.
	IsLeader          func() bool
	FollowsLiveLeader func() bool
	// Daemons returns the number of live daemons, 0 while it is unknown. UnresponsiveDaemons returns how many more
	// answered the leader recently.
	Daemons             func() int
	UnresponsiveDaemons func() int
	// ChargeAtLeader requests from the leader that a call is charged. If it is nil, calls are charged against the
	// leader's last levels alone.
	ChargeAtLeader func(request turmericwall.ChargeRequest) (turmericwall.ChargeReply, error)
	// WindowSeconds, Overage and Slack bound the use over a quota of all daemons together. In any window of
	// WindowSeconds an account may use what the quota allows, the fraction Overage of that in addition, and Slack
	// units.
	WindowSeconds, Overage, Slack float64
	// Restarted is set if daemons ran before this one, so that a level that is unknown may be low.
	Restarted bool
	// Random returns a random number in [0, 1).
	Random func() float64
	// Now returns the time of the monotonic clock.
	Now func() time.Time
}

// Meter charges the calls of one daemon and, while the daemon is the leader, holds the accounts' buckets of all
// daemons.
type Meter struct {
	config Config
	mu     sync.Mutex
	// clusterBuckets are the buckets of all daemons; they are valid while this daemon is the leader.
	clusterBuckets map[string]*bucket
	// localBuckets hold this daemon's shares while it has no leader. They start with the levels received at
	// localLevelsAt.
	localBuckets  map[string]*bucket
	localLevelsAt time.Time
	// levels are the last ones that a leader sent, levelsAt is when they were received, and leader is the leader's
	// incarnation.
	levels   map[string]level
	levelsAt time.Time
	leader   string
	// allReportedUntil is until when the use of all accounts is reported to a leader that is new.
	allReportedUntil time.Time
	// used is what this daemon itself charged, by account.
	used map[string]*usage
	// reported is what each daemon reported to this one as the leader, by incarnation; this daemon's own use is in ownReport.
	reported  map[string]*reports
	ownReport *reports
	// refusals are the leader's last refusals by account. leaderFailedUntil is until when no charge is requested from a
	// leader that did not answer one.
	refusals          map[string]refusal
	leaderFailedUntil time.Time
	// ledLast is set after this daemon's term as long as it received no levels of another leader.
	ledLast bool
	// skippedSeconds is the time between this daemon's terms, with no other leader in between, for which no bucket was refilled.
	skippedSeconds float64
	// lastState is the state at the last charge, refund, report or list of levels.
	lastState clusterState
}

// clusterState is this daemon's role and the size of the cluster. It is read without the meter's lock, since the
// cluster calls the meter while it holds its own.
type clusterState struct {
	now               time.Time
	isLeader          bool
	followsLiveLeader bool
	daemons           int
	unresponsive      int
	// countedAt is when the daemons were counted.
	countedAt time.Time
}

type level struct {
	units float64
	at    time.Time
}

type usage struct {
	units float64
	// refilled are the units that this daemon's share was refilled by in times without a leader. refilledAlone are those since the
	// last heartbeat.
	refilled, refilledAlone float64
	// replied is the use in the last reply to the current leader, and previousReplied that in the reply before it.
	// The next levels from the leader may not include the last reply yet.
	replied, previousReplied counted
	// countedBefore is the use that the previous leader had counted in the last levels that it sent.
	countedBefore counted
	lastUsedAt    time.Time
}

// counted is a daemon's use of an account since its start, as it was counted at some time.
type counted struct {
	units, refilled float64
}

// count returns the use up to now.
func (u *usage) count() counted { return counted{units: u.units, refilled: u.refilled} }

// uncounted returns what was used since the count, less what the daemon's share was refilled by.
func (u *usage) uncounted(since counted) float64 {
	return max(u.units-since.units-(u.refilled-since.refilled), 0)
}

// New returns a meter that has charged nothing.
func New(config Config) *Meter {
	return &Meter{
		config: config, clusterBuckets: make(map[string]*bucket), localBuckets: make(map[string]*bucket),
		levels: make(map[string]level), used: make(map[string]*usage), reported: make(map[string]*reports),
		refusals: make(map[string]refusal),
	}
}

// Charge charges units to the account's quota. It may request that from the leader and wait for the answer. The error is
// a *Problem with a retry time.
func (m *Meter) Charge(account string, units float64) error {
	found, ok := m.config.Account(account)
	if !ok || !found.Quota.IsLimited() || units <= 0 {
		return nil
	}
	s := m.readState()
	if decided, err := m.chargeHere(s, found, units); decided {
		return err
	}
	return m.chargeAtLeader(s, found, units)
}

// chargeHere charges the call unless the leader has to be asked, which decided reports.
func (m *Meter) chargeHere(s clusterState, account turmericwall.ClientAccount, units float64) (decided bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateState(s)
	hasLevels := s.followsLiveLeader && s.now.Sub(m.levelsAt) < levelsMaxAge
	switch {
	case s.isLeader:
		return true, m.chargeClusterBucket(s, account, units)
	case hasLevels && (m.config.ChargeAtLeader == nil || m.isInReserve(s, account, units)):
		return true, m.chargeLevel(s.now, account, units)
	case !s.followsLiveLeader || m.config.ChargeAtLeader == nil || s.now.Before(m.leaderFailedUntil):
		return true, m.chargeLocalShare(s, account, units)
	}
	if last, ok := m.refusals[account.Name]; ok && s.now.Before(last.validUntil) {
		return true, newOverLimit(account, units, last.remaining, "of all daemons", last.retryAt)
	}
	return false, nil
}

// Refund returns units that were charged for a call that did not run.
func (m *Meter) Refund(account string, units float64) {
	found, ok := m.config.Account(account)
	if !ok || !found.Quota.IsLimited() || units <= 0 {
		return
	}
	s := m.readState()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateState(s)
	if s.isLeader {
		m.clusterBucket(s, found).level += units
		return
	}
	m.recordUse(s.now, account, -units)
	if b, ok := m.localBuckets[account]; ok && m.localLevelsAt.Equal(m.levelsAt) {
		b.level += units
		if b.level >= 0 {
			b.savingsGoal = 0
		}
	}
}

// readState reads this daemon's role and the size of the cluster. The size is cached for daemonCountMaxAge, since
// counting hundreds of members for each call is costly.
func (m *Meter) readState() clusterState {
	s := clusterState{
		now: m.config.Now(), isLeader: m.config.IsLeader(), followsLiveLeader: m.config.FollowsLiveLeader(),
	}
	m.mu.Lock()
	last := m.lastState
	m.mu.Unlock()
	if s.isLeader == last.isLeader && s.now.Sub(last.countedAt) < daemonCountMaxAge {
		s.daemons, s.unresponsive, s.countedAt = last.daemons, last.unresponsive, last.countedAt
		return s
	}
	s.daemons, s.countedAt = m.config.Daemons(), s.now
	if s.isLeader {
		s.unresponsive = m.config.UnresponsiveDaemons()
	}
	return s
}

// updateState records the state. If this daemon became the leader and another one has led since its last term, it
// discards the buckets and reports of that term; the lock is held.
func (m *Meter) updateState(s clusterState) {
	if m.lastState.isLeader && !s.isLeader {
		m.applyOwnLevels(s.now)
	}
	elected := s.isLeader && !m.lastState.isLeader
	m.lastState = s
	switch {
	case elected && m.ledLast:
		m.skipTimeWithoutLeader(s.now)
	case elected:
		m.clusterBuckets = make(map[string]*bucket)
		m.reported, m.ownReport = make(map[string]*reports), nil
	}
	if elected {
		m.recordOwnUses(s)
	}
}

// skipTimeWithoutLeader lets the time since this daemon's last term pass without a refill of the buckets of all daemons, which used
// their shares if they missed the leader; the lock is held.
func (m *Meter) skipTimeWithoutLeader(now time.Time) {
	elapsed := now.Sub(m.levelsAt)
	if elapsed <= leaderMissedAfter {
		return
	}
	m.skippedSeconds += elapsed.Seconds()
	for _, b := range m.clusterBuckets {
		b.refilledAt = now
	}
}

// chargeClusterBucket charges units as the leader; the lock is held.
func (m *Meter) chargeClusterBucket(s clusterState, account turmericwall.ClientAccount, units float64) error {
	b := m.clusterBucket(s, account)
	if b.available(s.now) < min(units, b.capacity) {
		return newOverLimit(account, units, b.available(s.now), "of all daemons",
			b.assignRetryTime(s.now, account.Quota.PerSecond, units))
	}
	b.level -= units
	return nil
}

// clusterBucket returns the account's bucket of all daemons, refilled up to now; the lock is held.
//
// Daemons that do not answer may be partitioned and continue to use their shares, so the bucket is refilled without
// these.
func (m *Meter) clusterBucket(s clusterState, account turmericwall.ClientAccount) *bucket {
	capacity := m.capacity(account.Quota)
	b, ok := m.clusterBuckets[account.Name]
	if !ok {
		b = &bucket{level: m.initialLevel(account, capacity), capacity: capacity}
		m.clusterBuckets[account.Name] = b
	}
	b.refill(s.now, account.Quota.PerSecond*s.liveFraction(), capacity)
	return b
}

// tolerance returns the units that may be used over the quota in a window.
func (m *Meter) tolerance(q turmericwall.Quota) float64 {
	return m.config.Overage*(q.PerSecond*m.config.WindowSeconds+q.Burst) + m.config.Slack
}

// capacity returns the units that an account may use at once.
func (m *Meter) capacity(q turmericwall.Quota) float64 {
	return max(q.Burst, minCapacitySeconds*q.PerSecond) + leaderToleranceFraction*m.tolerance(q)
}

// initialLevel returns the first level of a new leader's bucket. It is not refilled for the time without a leader, in
// which daemons may have used their shares.
func (m *Meter) initialLevel(account turmericwall.ClientAccount, capacity float64) float64 {
	if known, ok := m.levels[account.Name]; ok {
		return min(known.units, capacity)
	}
	if m.config.Restarted && len(m.levels) == 0 {
		return restartLevelFraction * capacity
	}
	return capacity
}

// liveFraction returns the fraction of the daemons that answer the leader.
func (s clusterState) liveFraction() float64 {
	daemons := max(s.daemons, 1)
	return float64(daemons) / float64(daemons+s.unresponsive)
}

// chargeLevel charges a call against the account's level in the leader's last heartbeat; the lock is held.
//
// What this daemon used since the level was counted is deducted from it: otherwise one call's worth of units that is
// left would admit every call until the next heartbeat.
func (m *Meter) chargeLevel(now time.Time, account turmericwall.ClientAccount, units float64) error {
	if known, listed := m.levels[account.Name]; listed {
		b := bucket{
			level: known.units - m.uncountedUse(account.Name), refilledAt: known.at, capacity: m.capacity(account.Quota),
		}
		b.refill(now, account.Quota.PerSecond, b.capacity)
		if b.level <= 0 {
			return newOverLimit(account, units, b.level, "of all daemons by the leader's last count",
				b.assignRetryTime(now, account.Quota.PerSecond, units))
		}
	}
	m.recordUse(now, account.Name, units)
	return nil
}

// uncountedUse returns this daemon's use of the account that the leader's last levels do not include; the lock is held.
func (m *Meter) uncountedUse(account string) float64 {
	u, ok := m.used[account]
	if !ok {
		return 0
	}
	return max(u.units-u.previousReplied.units, 0)
}

// recordUse adds units to this daemon's use, which is reported to the leader; the lock is held.
func (m *Meter) recordUse(now time.Time, account string, units float64) {
	u := m.usageOf(account)
	u.units += units
	u.lastUsedAt = now
}

// usageOf returns what this daemon has used of the account; the lock is held.
func (m *Meter) usageOf(account string) *usage {
	u, ok := m.used[account]
	if !ok {
		u = &usage{}
		m.used[account] = u
	}
	return u
}

// newOverLimit returns the refusal of a call. remaining are the units that are left, and scope says of what and by
// whose count.
func newOverLimit(account turmericwall.ClientAccount, units, remaining float64, scope string, retryAt time.Time) error {
	return turmericwall.NewProblem(turmericwall.KindOverLimit,
		fmt.Sprintf("the client account %s is over its quota: the call counts %.0f, and %.0f are left %s",
			account.Name, units, remaining, scope), "come back at the time given").WithRetryAt(retryAt)
}
