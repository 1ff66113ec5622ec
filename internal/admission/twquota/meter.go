// Package twquota keeps client accounts within their quotas over all daemons together.
//
// The leader holds one token bucket for each account. Calls that are placed by the leader are charged there, exactly. Other
// calls are charged by the daemon that received them, against the levels in the leader's heartbeats, and reported in the
// replies. A daemon without a leader has an equal share of each rate; the leader leaves the shares of unreachable daemons
// to them.
package twquota

import (
	"fmt"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// listedShare is the level, as a part of the capacity, below which an account is listed in heartbeats.
	listedShare = 0.75
	// restartedShare is the part of a capacity that a leader starts with that knows no level from before it.
	restartedShare = 0.5
	// unknownRetry is when a caller may come back to a daemon that doesn't know how many share a quota.
	unknownRetry = 300 * time.Millisecond
	// unknownDaemons stands for the number of daemons while it is unknown.
	unknownDaemons = 100
	// youngSpan is the age up to which all that a daemon has counted is taken as recent.
	youngSpan = 8 * time.Second
	// reportSpan is how long an account is reported after its last call: replies may be lost.
	reportSpan = 5 * time.Second
	// toleratedShare is the part of what may run over a quota that an account may use; the rest is for what the leader
	// can't know in time.
	toleratedShare = 0.5
	// countSpan is how long a count of the daemons is used.
	countSpan = 100 * time.Millisecond
	// levelSpan is how long the leader's levels are acted on: a heartbeat and its way.
	levelSpan = 400 * time.Millisecond
	// missedSpan is how long after its last heartbeat a leader counts what a daemon used as a new one does.
	missedSpan = 700 * time.Millisecond
	// maxReturn bounds the time to come back.
	maxReturn = 5 * time.Second
)

// Config says what a meter works with.
type Config struct {
	// Account returns an account of the plan in force.
	Account func(name string) (turmericwall.ClientAccount, bool)
	// Leading tells that this daemon is the leader, and Led that it hears one.
	Leading func() bool
	Led     func() bool
	// Daemons is the number of live daemons, 0 while it is unknown. Absent is how many more answered the leader lately.
	Daemons func() int
	Absent  func() int
	// WindowSeconds, Overage and Slack bound what may run over a quota, over all daemons: in any such window as much as the
	// quota allows, a share of that, and the slack in units.
	WindowSeconds, Overage, Slack float64
	// Restarted tells that daemons ran before this one, so that an unknown level may be low.
	Restarted bool
	// Random draws from 0 to 1.
	Random func() float64
	// Now is the time by the steady clock.
	Now func() time.Time
}

// Meter is one daemon's part in the count.
type Meter struct {
	config Config
	mu     sync.Mutex
	// shared are the buckets of all daemons, while this one is the leader.
	shared map[string]*bucket
	// own are this daemon's buckets while it has no leader, as of the levels that came at ownAt.
	own   map[string]*bucket
	ownAt time.Time
	// levels are the last ones that a leader sent, and levelsAt is when they came; leader is the leader's incarnation.
	levels   map[string]level
	levelsAt time.Time
	leader   string
	// used is what this daemon counted by itself.
	used map[string]*use
	// reported is what other daemons had counted when they last replied, by incarnation and account.
	reported map[string]map[string]int64
	// last is the situation at the last look.
	last situation
}

// situation is the daemon's role and the size of the cluster. It is read without holding the meter's lock, since the
// cluster calls the meter while it holds its own.
type situation struct {
	now     time.Time
	leading bool
	led     bool
	daemons int
	absent  int
	// countedAt is when the daemons were counted.
	countedAt time.Time
}

type level struct {
	units float64
	at    time.Time
}

type use struct {
	units float64
	// replied are the units at the last reply to the present leader, and repliedBefore those at the reply before that. The
	// levels that the leader sends next may not contain the last one yet.
	replied, repliedBefore float64
	// before is what the leader before the present one had counted in the last levels that it sent.
	before float64
	at     time.Time
}

// New returns a meter that has counted nothing.
func New(config Config) *Meter {
	return &Meter{
		config: config, shared: make(map[string]*bucket), own: make(map[string]*bucket), levels: make(map[string]level),
		used: make(map[string]*use), reported: make(map[string]map[string]int64),
	}
}

// Charge takes units from the account's quota. The error is a *Problem that says when to come back.
func (m *Meter) Charge(account string, units float64) error {
	found, ok := m.config.Account(account)
	if !ok || !found.Quota.Limits() || units <= 0 {
		return nil
	}
	s := m.look()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(s)
	switch {
	case s.leading:
		return m.chargeShared(s, found, units)
	case s.led && s.now.Sub(m.levelsAt) < levelSpan:
		return m.chargeLed(s.now, found, units)
	default:
		return m.chargeAlone(s, found, units)
	}
}

// Refund gives units back for a call that did not run.
func (m *Meter) Refund(account string, units float64) {
	found, ok := m.config.Account(account)
	if !ok || !found.Quota.Limits() || units <= 0 {
		return
	}
	s := m.look()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(s)
	if s.leading {
		m.sharedBucket(s, found).level += units
		return
	}
	m.count(s.now, account, -units)
	if b, ok := m.own[account]; ok && m.ownAt.Equal(m.levelsAt) {
		b.level += units
	}
}

// look reads the situation. The cluster's size is cached for countSpan, since counting hundreds of members for each call is
// costly.
func (m *Meter) look() situation {
	s := situation{now: m.config.Now(), leading: m.config.Leading(), led: m.config.Led()}
	m.mu.Lock()
	last := m.last
	m.mu.Unlock()
	if s.leading == last.leading && s.now.Sub(last.countedAt) < countSpan {
		s.daemons, s.absent, s.countedAt = last.daemons, last.absent, last.countedAt
		return s
	}
	s.daemons, s.countedAt = m.config.Daemons(), s.now
	if s.leading {
		s.absent = m.config.Absent()
	}
	return s
}

// observe resets what a change of the daemon's role makes obsolete; the lock is held.
func (m *Meter) observe(s situation) {
	if s.leading && !m.last.leading {
		m.shared = make(map[string]*bucket)
		m.reported = make(map[string]map[string]int64)
	}
	m.last = s
}

// chargeShared takes units as the leader; the lock is held.
func (m *Meter) chargeShared(s situation, account turmericwall.ClientAccount, units float64) error {
	b := m.sharedBucket(s, account)
	if b.left(s.now) < min(units, b.capacity) {
		return overLimit(account, units, b.left(s.now), "of all daemons", b.invite(s.now, account.Quota.PerSecond, units))
	}
	b.level -= units
	return nil
}

// sharedBucket is the account's bucket of all daemons, as of now; the lock is held.
//
// Daemons that don't answer may be partitioned and go on with their shares, so that the leader refills without these.
func (m *Meter) sharedBucket(s situation, account turmericwall.ClientAccount) *bucket {
	capacity := m.capacity(account.Quota)
	b, ok := m.shared[account.Name]
	if !ok {
		b = &bucket{level: m.startLevel(account, capacity), capacity: capacity}
		m.shared[account.Name] = b
	}
	b.refill(s.now, account.Quota.PerSecond*s.presentShare(), capacity)
	return b
}

// tolerance is what may run over the quota in a window, in units.
func (m *Meter) tolerance(q turmericwall.Quota) float64 {
	return m.config.Overage*(q.PerSecond*m.config.WindowSeconds+q.Burst) + m.config.Slack
}

// capacity is what an account may use at once.
func (m *Meter) capacity(q turmericwall.Quota) float64 {
	return max(q.Burst, leastCapacity*q.PerSecond) + toleratedShare*m.tolerance(q)
}

// startLevel is a new leader's first level of a bucket. It is not refilled for the time without a leader, in which daemons
// may have used their shares.
func (m *Meter) startLevel(account turmericwall.ClientAccount, capacity float64) float64 {
	if known, ok := m.levels[account.Name]; ok {
		return min(known.units, capacity)
	}
	if m.config.Restarted && len(m.levels) == 0 {
		return restartedShare * capacity
	}
	return capacity
}

// presentShare is the part of all daemons that answer the leader.
func (s situation) presentShare() float64 {
	daemons := max(s.daemons, 1)
	return float64(daemons) / float64(daemons+s.absent)
}

// chargeLed charges a call against the levels of the leader's last heartbeat; the lock is held.
func (m *Meter) chargeLed(now time.Time, account turmericwall.ClientAccount, units float64) error {
	if known, listed := m.levels[account.Name]; listed {
		b := bucket{level: known.units, at: known.at, capacity: m.capacity(account.Quota)}
		b.refill(now, account.Quota.PerSecond, b.capacity)
		if b.level <= 0 {
			return overLimit(account, units, b.level, "of all daemons by the leader's last count", b.invite(now, account.Quota.PerSecond, units))
		}
	}
	m.count(now, account.Name, units)
	return nil
}

// count adds to the daemon's own count, which is reported to the leader; the lock is held.
func (m *Meter) count(now time.Time, account string, units float64) {
	u, ok := m.used[account]
	if !ok {
		u = &use{}
		m.used[account] = u
	}
	u.units += units
	u.at = now
}

// overLimit refuses a call of so many units; left says how many there were, by whose count.
func overLimit(account turmericwall.ClientAccount, units, left float64, whose string, retryAt time.Time) error {
	return turmericwall.NewProblem(turmericwall.KindOverLimit,
		fmt.Sprintf("the client account %s is over its quota: the call counts %.0f, and %.0f are left %s", account.Name, units, left, whose),
		"come back at the time given").WithRetryAt(retryAt)
}

// Uses is what this daemon counted by itself of the accounts with recent calls, for the leader whose heartbeat it answers.
func (m *Meter) Uses() []turmericwall.AccountUse {
	now := m.config.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []turmericwall.AccountUse
	for name, u := range m.used {
		if now.Sub(u.at) < reportSpan {
			list = append(list, turmericwall.AccountUse{Account: name, Units: int64(u.units), Alone: int64(u.units - u.before)})
		}
	}
	return list
}

// Report takes what another daemon, which started some time ago, counted by itself. Of a daemon that reports for the first
// time, the leader before this one has counted all but what it used without a leader.
func (m *Meter) Report(incarnation string, up time.Duration, uses []turmericwall.AccountUse) {
	s := m.look()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(s)
	if !s.leading {
		return
	}
	before, known := m.reported[incarnation]
	if !known {
		before = make(map[string]int64)
		m.reported[incarnation] = before
	}
	for _, u := range uses {
		account, ok := m.config.Account(u.Account)
		if !ok || !account.Quota.Limits() {
			continue
		}
		recent := u.Units - before[u.Account]
		if !known && up >= youngSpan {
			recent = u.Alone
		}
		m.sharedBucket(s, account).report(s.now, float64(recent))
		before[u.Account] = u.Units
	}
}

// Gone forgets a daemon that no longer answers.
func (m *Meter) Gone(incarnation string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reported, incarnation)
}

// Levels are the accounts that have used a good part of their quotas, for the leader's heartbeats.
func (m *Meter) Levels() []turmericwall.AccountLevel {
	s := m.look()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(s)
	var list []turmericwall.AccountLevel
	for name := range m.shared {
		account, ok := m.config.Account(name)
		if !ok || !account.Quota.Limits() {
			delete(m.shared, name)
			continue
		}
		b := m.sharedBucket(s, account)
		if left := b.left(s.now); left < listedShare*b.capacity {
			list = append(list, turmericwall.AccountLevel{Account: name, Units: int64(left)})
		}
	}
	return list
}

// TakeLevels takes the levels of the heartbeat of a leader, which is named by its incarnation. The reply to it tells the Uses.
func (m *Meter) TakeLevels(leader string, levels []turmericwall.AccountLevel) {
	now := m.config.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if leader != m.leader || now.Sub(m.levelsAt) > missedSpan {
		for _, u := range m.used {
			u.before = u.repliedBefore
		}
	}
	m.leader, m.levelsAt = leader, now
	for _, u := range m.used {
		u.repliedBefore, u.replied = u.replied, u.units
	}
	clear(m.levels)
	for _, l := range levels {
		m.levels[l.Account] = level{units: float64(l.Units), at: now}
	}
}
