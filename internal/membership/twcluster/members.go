package twcluster

import (
	"sort"
	"time"

	"github.com/turmericwall/turmericwall"
)

// member is another daemon as the leader knows it.
type member struct {
	turmericwall.HeartbeatReply
	// knownAt is when its address became known.
	knownAt    time.Time
	answeredAt time.Time
	// startedAt is when its incarnation started.
	startedAt time.Time
	// chosenAt is when it last became a standby.
	chosenAt time.Time
	// nominations counts how often it was asked to take the lease.
	nominations int
	live        bool
	// pending tells that its last heartbeat is not answered yet.
	pending bool
}

// Join takes another daemon's address, so that it gets heartbeats while this daemon is the leader.
func (c *Cluster) Join(other turmericwall.Member) {
	c.mu.Lock()
	known := c.add(other.Address)
	c.mu.Unlock()
	if !known {
		wake(c.sendNow)
	}
}

// AddMembers takes the addresses that another daemon knows, as of a version of its list.
func (c *Cluster) AddMembers(version int64, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copiedVersion = version
	for _, address := range addresses {
		c.add(address)
	}
}

// Members are the addresses of all daemons that this one knows, and the version of that list.
func (c *Cluster) Members() (version int64, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membersVersion, append(c.addresses(), c.config.Self.Address)
}

// add tells whether the address was known; the lock is held.
func (c *Cluster) add(address string) (known bool) {
	if address == "" || address == c.config.Self.Address {
		return true
	}
	if _, ok := c.members[address]; ok {
		return true
	}
	now := time.Now()
	c.members[address] = &member{knownAt: now, answeredAt: now}
	c.membersVersion++
	return false
}

// addresses are those of all other members, in order; the lock is held.
func (c *Cluster) addresses() []string {
	list := make([]string, 0, len(c.members))
	for address := range c.members {
		list = append(list, address)
	}
	sort.Strings(list)
	return list
}

// rest forgets who is live while another daemon is the leader.
func (c *Cluster) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, m := range c.members {
		m.live = false
		m.answeredAt = now
	}
	c.standbys = nil
}
