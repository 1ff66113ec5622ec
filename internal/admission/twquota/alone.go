package twquota

import "github.com/turmericwall/turmericwall"

// ChargeLocally charges a call that the leader should have charged but did not answer. The leader may have terminated
// without being missed yet, and its last levels do not include what other daemons charge at the same time. The error is
// a *Problem with a retry time.
func (m *Meter) ChargeLocally(account string, units float64) error {
	found, ok := m.config.Account(account)
	if !ok || !found.Quota.IsLimited() || units <= 0 {
		return nil
	}
	s := m.readState()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateState(s)
	if s.isLeader {
		return m.chargeClusterBucket(s, found, units)
	}
	return m.chargeLocalShare(s, found, units)
}

// chargeLocalShare charges a call to this daemon's share of the quota; the lock is held.
//
// The shares of all daemons add up to the rate, and to the burst plus the part of the tolerance that the leader does
// not use, so that accounts far below their limits are not refused. The share of an account that the leader listed
// starts with the fraction that was left, less what this daemon used since that was counted.
//
// A share may be smaller than a call. A full share then admits one call and goes into debt, and saves up a whole call
// before it admits the next one: two debts of each daemon in one window would exceed the quota. For a listed account it
// admits at random, as often as the share allows on average: the debts of hundreds of daemons would add up to many
// times the quota.
func (m *Meter) chargeLocalShare(s clusterState, account turmericwall.ClientAccount, units float64) error {
	daemons := s.daemons
	if daemons == 0 {
		daemons = assumedDaemons
	}
	if !m.localLevelsAt.Equal(m.levelsAt) {
		m.localBuckets, m.localLevelsAt = make(map[string]*bucket), m.levelsAt
	}
	quota := account.Quota
	rate, capacity := quota.PerSecond/float64(daemons),
		(quota.Burst+(1-leaderToleranceFraction)*m.tolerance(quota))/float64(daemons)
	u := m.usageOf(account.Name)
	b, ok := m.localBuckets[account.Name]
	if !ok {
		b = &bucket{
			level: capacity*m.remainingFraction(account) - u.uncounted(u.previousReplied), capacity: capacity, refilledAt: m.levelsAt,
		}
		m.localBuckets[account.Name] = b
	}
	// The leader may have refilled its bucket until its next heartbeat was due.
	alone := max(s.now.Sub(m.levelsAt)-levelsMaxAge, 0).Seconds()
	u.refilledAlone = min(u.refilledAlone+b.refill(s.now, rate, capacity), alone*rate)
	needed := min(units, max(capacity, b.savingsGoal))
	if b.level < needed && s.daemons == 0 {
		return turmericwall.NewProblem(turmericwall.KindNotReady,
			"this daemon doesn't know yet what is left of the quota of client account "+account.Name,
			"come back at the time given").WithRetryAt(s.now.Add(unknownCountRetryDelay))
	}
	if b.level < needed {
		return newOverLimit(account, units, b.level, "of this daemon's part, without a leader",
			b.assignRetryTime(s.now, rate, needed))
	}
	if _, listed := m.levels[account.Name]; listed && units > capacity {
		b.level -= capacity
		if m.config.Random() >= capacity/units {
			return newOverLimit(account, units, b.level,
				"of this daemon's part, which is smaller than the call, without a leader",
				b.assignRetryTime(s.now, rate, capacity))
		}
		m.recordUse(s.now, account.Name, units)
		return nil
	}
	b.level -= units
	if b.level < 0 {
		b.savingsGoal = units
	}
	m.recordUse(s.now, account.Name, units)
	return nil
}

// remainingFraction returns the fraction of the account's capacity that was left in the last heartbeat; it is negative after
// a debt.
func (m *Meter) remainingFraction(account turmericwall.ClientAccount) float64 {
	known, listed := m.levels[account.Name]
	if !listed {
		return 1
	}
	return min(known.units/m.capacity(account.Quota), 1)
}
