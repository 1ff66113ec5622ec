package twcluster

import "time"

// LiveDaemons returns the number of live daemons as last known, or 0 while it is unknown.
//
// A daemon that has received no heartbeat, or has just become the leader, does not know the others. If each such
// daemon counted itself alone, each would spend the whole retry budget that all daemons share. The first leader
// therefore knows the number only once the others had the time to join and a majority of the known ones has replied, and
// no leader reports less than half of the number last known: the others may be partitioned and spend their parts.
func (c *Cluster) LiveDaemons() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, leading := c.config.IsLeader(); !leading || time.Since(c.electedAt) < memberTimeout {
		return c.heartbeat.Daemons
	}
	if c.countedDaemons == 0 && c.heartbeat.Daemons == 0 && time.Since(c.electedAt) < joinTimeout {
		return 0
	}
	n := 1
	for _, m := range c.members {
		if m.live {
			n++
		}
	}
	if 2*n > len(c.members)+1 {
		// Replies rarely stop all at once: those that stopped lately are of the same loss.
		c.countedDaemons = n + c.unresponsiveDaemons()
	}
	lastKnown := c.countedDaemons
	if lastKnown == 0 {
		lastKnown = c.heartbeat.Daemons
	}
	if lastKnown == 0 {
		return 0
	}
	return max(n, lastKnown/2)
}

// Rank returns this daemon's position among all daemons by the last heartbeat (from 0), the number of daemons in it,
// and when it was received. All are zero before the first heartbeat.
func (c *Cluster) Rank() (rank, daemons int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeat.Rank, c.heartbeat.Daemons, c.lastHeartbeatAt
}

// unresponsiveSpan is how long a member that does not reply counts as unresponsive instead of terminated: it may be
// partitioned.
const unresponsiveSpan = 12 * time.Second

// UnresponsiveDaemons returns how many daemons replied to this leader within unresponsiveSpan but do not reply now.
// Daemons that announced their stop are not counted.
func (c *Cluster) UnresponsiveDaemons() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unresponsiveDaemons()
}

// unresponsiveDaemons returns what UnresponsiveDaemons does; the lock is held.
func (c *Cluster) unresponsiveDaemons() int {
	n := 0
	for _, m := range c.members {
		if !m.live && m.Incarnation != "" && !m.Stopping && time.Since(m.answeredAt) < unresponsiveSpan {
			n++
		}
	}
	return n
}
