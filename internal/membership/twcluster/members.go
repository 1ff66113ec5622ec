package twcluster

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

// member is another daemon as the leader knows it, with its last reply.
type member struct {
	turmericwall.HeartbeatReply
	// addedAt is when its address was added, or it joined again.
	addedAt    time.Time
	answeredAt time.Time
	// startedAt is when its incarnation started.
	startedAt time.Time
	// chosenAt is when it last became a standby.
	chosenAt time.Time
	// nominations is how many heartbeats asked it to take the lease.
	nominations int
	live        bool
	// pending is set while a heartbeat to it is under way, and sentAt is when the last one was sent.
	pending bool
	sentAt  time.Time
	// prompt is set when it replied to the last heartbeat within forwardTimeout, so that a relay may send it the next
	// one.
	prompt bool
	// relayFailedAt is when most of the daemons to which it forwarded a heartbeat last did not reply.
	relayFailedAt time.Time
}

// AddMember adds another daemon's address, so that it gets heartbeats while this daemon is the leader. A new address
// gets one at once.
func (c *Cluster) AddMember(other turmericwall.Member) {
	c.mu.Lock()
	known := c.add(other.Address)
	c.mu.Unlock()
	if !known {
		signal(c.sendNow)
	}
}

// AddMembers adds the addresses of another daemon's list of members, as of a version of that list.
func (c *Cluster) AddMembers(version int64, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copiedVersion = version
	for _, address := range addresses {
		c.add(address)
	}
}

// Members returns the addresses of all daemons that this one knows, itself included, and the version of that list. A daemon that isn't the
// leader doesn't learn which ones are lost, and returns those that have joined lately.
func (c *Cluster) Members() (version int64, addresses []string) {
	_, leading := c.config.IsLeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.addresses() {
		if leading || time.Since(c.members[address].addedAt) < memberRetention {
			addresses = append(addresses, address)
		}
	}
	return c.membersVersion, append(addresses, c.config.Self.Address)
}

// Followers returns the addresses of all live daemons but this one, or those of the standbys if there are more than limit.
func (c *Cluster) Followers(limit int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []string
	for address, m := range c.members {
		if m.live {
			live = append(live, address)
		}
	}
	if len(live) <= limit {
		return live
	}
	standbys := make([]string, 0, len(c.standbys))
	for _, m := range c.standbys {
		standbys = append(standbys, m.Address)
	}
	return standbys
}

// EgressPeers returns the addresses of up to limit live daemons, chosen at random from those that lack the fewest paths
// to upstreams. A daemon that is not the leader does not know which ones these are and chooses from all that it knows.
func (c *Cluster) EgressPeers(limit int) []string {
	own := c.lostPaths()
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := map[string]int{c.config.Self.Address: own}
	fewest := own
	_, leading := c.config.IsLeader()
	for address, m := range c.members {
		if m.Stopping || (leading && !m.live) {
			continue
		}
		candidates[address] = m.LostPaths
		fewest = min(fewest, m.LostPaths)
	}
	list := make([]string, 0, len(candidates))
	for address, lost := range candidates {
		// One path more may be that of an upstream which fails.
		if lost <= fewest+1 {
			list = append(list, address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(limit, len(list))]
}

// add adds an address and reports whether it was known already; the lock is held.
func (c *Cluster) add(address string) (known bool) {
	if address == "" || address == c.config.Self.Address {
		return true
	}
	if m, ok := c.members[address]; ok {
		if !m.live {
			// It joins again after its restart, or after a partition.
			m.sentAt, m.addedAt = time.Time{}, time.Now()
		}
		return true
	}
	now := time.Now()
	c.members[address] = &member{addedAt: now, answeredAt: now}
	c.membersVersion++
	c.sortedAddresses = nil
	return false
}

// addresses returns the addresses of all other members in ascending order. The slice is shared and must not be changed;
// the lock is held.
func (c *Cluster) addresses() []string {
	if c.sortedAddresses == nil {
		c.sortedAddresses = slices.Sorted(maps.Keys(c.members))
	}
	return c.sortedAddresses
}

// resetLiveness discards which members are live and which are standbys while another daemon is the leader. Their
// timeouts start anew, so that none is reported as lost when this daemon becomes the leader.
func (c *Cluster) resetLiveness() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, m := range c.members {
		m.live, m.prompt = false, false
		m.answeredAt = now
	}
	c.standbys = nil
}
