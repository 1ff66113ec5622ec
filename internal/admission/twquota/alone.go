package twquota

import "github.com/turmericwall/turmericwall"

// ChargeAlone takes units for a call that the leader should have charged and gave no answer to: it may be gone and not missed yet,
// and what it last sent says nothing of what others take at the same time.
func (m *Meter) ChargeAlone(account string, units float64) error {
	found, ok := m.config.Account(account)
	if !ok || !found.Quota.Limits() || units <= 0 {
		return nil
	}
	s := m.look()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(s)
	if s.leading {
		return m.chargeShared(s, found, units)
	}
	return m.chargeAlone(s, found, units)
}

// chargeAlone charges a call to this daemon's own share; the lock is held.
//
// All shares together allow the rate, and the burst with what is tolerated beyond the quota, so that accounts far below their
// limits are not held up. For an account that was listed, the share is one of what was left. A share may be smaller than a
// call, which is then admitted by a full share and leaves it in debt; of a listed account only by chance, as often as its share
// allows in the mean, since the debts of hundreds of daemons would be many times the quota.
func (m *Meter) chargeAlone(s situation, account turmericwall.ClientAccount, units float64) error {
	daemons := s.daemons
	if daemons == 0 {
		daemons = unknownDaemons
	}
	if !m.ownAt.Equal(m.levelsAt) {
		m.own, m.ownAt = make(map[string]*bucket), m.levelsAt
	}
	quota := account.Quota
	rate, capacity := quota.PerSecond/float64(daemons), (quota.Burst+(1-toleratedShare)*m.tolerance(quota))/float64(daemons)
	b, ok := m.own[account.Name]
	if !ok {
		b = &bucket{level: capacity * m.leftShare(account), capacity: capacity, at: m.levelsAt}
		m.own[account.Name] = b
	}
	b.refill(s.now, rate, capacity)
	if b.level < min(units, capacity) && s.daemons == 0 {
		return turmericwall.NewProblem(turmericwall.KindNotReady,
			"this daemon doesn't know yet what is left of the quota of client account "+account.Name,
			"come back at the time given").WithRetryAt(s.now.Add(unknownRetry))
	}
	if b.level < min(units, capacity) {
		return overLimit(account, units, b.level, "of this daemon's part, without a leader", b.invite(s.now, rate, min(units, capacity)))
	}
	if _, listed := m.levels[account.Name]; listed && units > capacity {
		b.level -= capacity
		if m.config.Random() >= capacity/units {
			return overLimit(account, units, b.level, "of this daemon's part, which is smaller than the call, without a leader",
				b.invite(s.now, rate, capacity))
		}
		m.count(s.now, account.Name, units)
		return nil
	}
	b.level -= units
	m.count(s.now, account.Name, units)
	return nil
}

// leftShare is the part of the account's capacity that was left by the last heartbeat.
func (m *Meter) leftShare(account turmericwall.ClientAccount) float64 {
	known, listed := m.levels[account.Name]
	if !listed {
		return 1
	}
	return min(max(known.units/m.capacity(account.Quota), 0), 1)
}
