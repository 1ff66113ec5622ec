package twquota

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// LocalUses returns this daemon's use of the accounts with recent calls, and to a new leader, which knows of no earlier report, that of
// all accounts. It goes into the reply to the leader's heartbeat.
func (m *Meter) LocalUses() []turmericwall.AccountUse {
	now := m.config.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []turmericwall.AccountUse
	for name, u := range m.used {
		if now.Sub(u.lastUsedAt) < reportRetention || now.Before(m.allReportedUntil) {
			list = append(list, turmericwall.AccountUse{
				Account: name, Units: int64(u.units), RefilledUnits: int64(u.refilled),
				UncountedUnits: int64(u.uncounted(u.countedBefore)),
			})
		}
	}
	return list
}

// reports is what a daemon reported to the leader.
type reports struct {
	accounts map[string]report
	// lostAt is when the daemon was lost; it is zero while it replies.
	lostAt time.Time
}

// report is a daemon's last report of its use of an account. skippedSeconds is the meter's at that time.
type report struct {
	counted
	skippedSeconds float64
}

// RecordUses charges the use that another daemon reported, as the leader. uptime is the time since that daemon's start.
//
// Uses are totals since the daemon's start, so that a lost or repeated report does no harm. In the first report of a
// daemon that is not new, the previous leader has counted everything but what the daemon used without a leader. Of that the part counts
// that was more than its share was refilled by: the bucket isn't refilled for that time either.
func (m *Meter) RecordUses(incarnation string, uptime time.Duration, uses []turmericwall.AccountUse) {
	s := m.readState()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateState(s)
	if !s.isLeader {
		return
	}
	previous, known := m.reported[incarnation]
	if !known {
		previous = &reports{accounts: make(map[string]report)}
		m.reported[incarnation] = previous
	}
	for _, u := range uses {
		account, ok := m.config.Account(u.Account)
		if !ok || !account.Quota.IsLimited() {
			continue
		}
		recent := m.recentUse(s, account, previous, u)
		if !known && uptime >= maxNewDaemonAge {
			recent = float64(u.UncountedUnits)
		}
		m.clusterBucket(s, account).recordReport(s.now, recent)
		previous.accounts[u.Account] = m.newReport(u)
	}
	previous.lostAt = time.Time{}
}

func (m *Meter) newReport(u turmericwall.AccountUse) report {
	return report{
		counted: counted{units: float64(u.Units), refilled: float64(u.RefilledUnits)}, skippedSeconds: m.skippedSeconds,
	}
}

// recentUse returns what a daemon used since its last report, less what its share was refilled by without a leader meanwhile if the
// account's bucket wasn't refilled by the same part: this daemon didn't lead, or the other one was lost. The lock is held.
func (m *Meter) recentUse(
	s clusterState, account turmericwall.ClientAccount, previous *reports, u turmericwall.AccountUse,
) float64 {
	last := previous.accounts[u.Account]
	used, refilled := float64(u.Units)-last.units, float64(u.RefilledUnits)-last.refilled
	seconds := m.skippedSeconds - last.skippedSeconds
	if !previous.lostAt.IsZero() {
		seconds += s.now.Sub(previous.lostAt).Seconds()
	}
	part := account.Quota.PerSecond / float64(max(s.daemons, 1)+s.unresponsive)
	return used - max(min(used, refilled, seconds*part), 0)
}

// recordOwnUses charges what this daemon used itself since it last led, or since the last levels; the lock is held.
func (m *Meter) recordOwnUses(s clusterState) {
	known := m.ownReport != nil
	if !known {
		m.ownReport = &reports{accounts: make(map[string]report)}
	}
	for name, u := range m.used {
		account, ok := m.config.Account(name)
		if !ok || !account.Quota.IsLimited() {
			continue
		}
		if s.now.Sub(m.levelsAt) > leaderMissedAfter {
			u.refilled += u.refilledAlone
		}
		u.refilledAlone = 0
		use := turmericwall.AccountUse{Account: name, Units: int64(u.units), RefilledUnits: int64(u.refilled)}
		recent := u.uncounted(u.previousReplied)
		if known {
			recent = m.recentUse(s, account, m.ownReport, use)
		}
		m.clusterBucket(s, account).level -= recent
		m.ownReport.accounts[name] = m.newReport(use)
		u.replied, u.previousReplied = u.count(), u.count()
	}
}

// applyOwnLevels makes what is left of the accounts at the end of this daemon's term its last levels; the lock is held.
func (m *Meter) applyOwnLevels(now time.Time) {
	m.levelsAt, m.ledLast = now, true
	clear(m.levels)
	for name, b := range m.clusterBuckets {
		if available := b.available(now); available < listedLevelFraction*b.capacity {
			m.levels[name] = level{units: available, at: now}
		}
	}
}

// RemoveDaemon notes that a daemon no longer answers. Its reports are kept for a time: it may have received all heartbeats.
func (m *Meter) RemoveDaemon(incarnation string) {
	now := m.config.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, r := range m.reported {
		if !r.lostAt.IsZero() && now.Sub(r.lostAt) > lostReportRetention {
			delete(m.reported, other)
		}
	}
	if r, ok := m.reported[incarnation]; ok {
		r.lostAt = now
	}
}

// Levels returns the accounts whose available units are below listedLevelFraction of their capacity. It goes into the
// leader's heartbeats.
func (m *Meter) Levels() []turmericwall.AccountLevel {
	s := m.readState()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateState(s)
	var list []turmericwall.AccountLevel
	for name := range m.clusterBuckets {
		account, ok := m.config.Account(name)
		if !ok || !account.Quota.IsLimited() {
			delete(m.clusterBuckets, name)
			continue
		}
		b := m.clusterBucket(s, account)
		if available := b.available(s.now); available < listedLevelFraction*b.capacity {
			list = append(list, turmericwall.AccountLevel{Account: name, Units: int64(available)})
		}
	}
	return list
}

// ApplyLevels applies the levels in a heartbeat of the leader with the given incarnation. It must be called before
// LocalUses is called for the reply to that heartbeat.
func (m *Meter) ApplyLevels(leader string, levels []turmericwall.AccountLevel) {
	now := m.config.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isNext := leader != m.leader || now.Sub(m.levelsAt) > leaderMissedAfter
	if isNext {
		// The same leader may have discarded the reports before.
		m.allReportedUntil = now.Add(reportRetention)
	}
	for _, u := range m.used {
		if isNext {
			u.countedBefore = u.previousReplied
			u.refilled += u.refilledAlone
		}
		// A leader that lives refills its bucket itself, also while this daemon charges its share.
		u.refilledAlone = 0
	}
	m.leader, m.levelsAt = leader, now
	m.ledLast, m.lastState.isLeader = false, false
	for _, u := range m.used {
		u.previousReplied, u.replied = u.replied, u.count()
	}
	clear(m.levels)
	for _, l := range levels {
		m.levels[l.Account] = level{units: float64(l.Units), at: now}
	}
}
