// Package twcapacity keeps how much of its network link and processor a daemon uses, and by how much it delays by itself
// whatever passes through it.
package twcapacity

import (
	"sync"
	"time"
)

const (
	// usableShare is the share of the link's rate that payload can use; the rest is for the headers of packets, of which events of a
	// stream have one each.
	usableShare = 0.8
	// delayRetention is how long a delay may still explain what is slow: what waited in it may not have arrived yet.
	delayRetention = time.Second
)

// Config configures a Capacity.
type Config struct {
	// LinkBytesPerSecond is the rate of the VM's network link in each direction; 0 if it is unknown.
	LinkBytesPerSecond float64
}

// Totals are numbers of bytes that a daemon has sent and received since its start.
type Totals struct{ Sent, Received int64 }

// Delays are the times that something waits for each of the daemon's own resources.
type Delays struct{ Sending, Receiving, Processor time.Duration }

// Longest returns the longest of the delays.
func (d Delays) Longest() time.Duration { return max(d.Sending, d.Receiving, d.Processor) }

// Capacity has the state of one daemon's link and processor. It is safe for concurrent use and has no clock of its own.
type Capacity struct {
	mu sync.Mutex
	// sending and receiving are the directions of the link.
	sending, receiving link
	lag                time.Duration
	// longest is the longest delay of the last delayRetention, with the time at which it was seen.
	longest   time.Duration
	longestAt time.Time
}

// New returns a capacity of which nothing is used.
func New(config Config) *Capacity {
	rate := config.LinkBytesPerSecond * usableShare
	return &Capacity{sending: link{rate: rate}, receiving: link{rate: rate}}
}

// Record records the totals at a time, and by how much the processor was late for the work that was due then.
func (c *Capacity) Record(now time.Time, totals Totals, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending.record(now, totals.Sent)
	c.receiving.record(now, totals.Received)
	c.lag = max(lag, 0)
	if delay := c.delays().Longest(); delay >= c.longest || now.Sub(c.longestAt) > delayRetention {
		c.longest, c.longestAt = delay, now
	}
}

// Delays returns the delays that were recorded last.
func (c *Capacity) Delays() Delays {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delays()
}

func (c *Capacity) delays() Delays {
	return Delays{Sending: c.sending.delay(), Receiving: c.receiving.delay(), Processor: c.lag}
}

// OwnDelay returns by how much this daemon may have delayed something that it still waits for.
func (c *Capacity) OwnDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.longestAt) > delayRetention {
		return c.delays().Longest()
	}
	return c.longest
}
