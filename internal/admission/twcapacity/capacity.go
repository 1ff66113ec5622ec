// Package twcapacity decides which connections of callers a daemon accepts, by what its network link and processor carry in time,
// by how much the daemon delays by itself whatever passes through it, and by the memory that slow readers take.
package twcapacity

import (
	"math"
	"sync"
	"time"
)

const (
	// usableShare is the share of the link's rate that payload can use; the rest is for the headers of packets, of which events of a
	// stream have one each.
	usableShare = 0.8
	// maxExpectedDelay and maxQueuedDelay are the delays of the link from which on a daemon doesn't listen: each leaves a plain call
	// most of its target time.
	maxExpectedDelay = 50 * time.Millisecond
	maxQueuedDelay   = 60 * time.Millisecond
	// maxLag is the lateness of the processor from which on it doesn't, if at least minCallsOfLag calls are open: a processor that is
	// late beside fewer calls isn't late because of them, and to refuse more would only lose them.
	maxLag        = 250 * time.Millisecond
	minCallsOfLag = 16
	// maxOvershoot is how many times these delays may be before a connection that is established is reset: its call is on its way, and
	// the pause after it gets longer instead.
	maxOvershoot = 3
	// heldShare is the share of the memory for buffers from which on a daemon doesn't listen. The rest is for the calls that are open.
	heldShare = 0.75
	// costSpan is the span over which the cost of a call is averaged.
	costSpan = 4 * time.Second
	// delayRetention is how long a delay may still explain what is slow: what waited in it may not have arrived yet.
	delayRetention = time.Second
	// maxOwnDelay bounds what a daemon takes for its own delay: one that was suspended, or gets no processor, must still notice that an
	// upstream has ended before its callers come again.
	maxOwnDelay = 250 * time.Millisecond
)

// Config configures a Capacity.
type Config struct {
	// LinkBytesPerSecond is the rate of the VM's network link in each direction; 0 if it is unknown.
	LinkBytesPerSecond float64
	// MaxConnections is how many connections of callers may be open; 0 sets no bound.
	MaxConnections int
	// MaxHeldBytes is the memory for what was read from upstreams and not passed on yet; 0 sets no bound.
	MaxHeldBytes int64
	// RecordMillis is the interval at which Record is called.
	RecordMillis int64
}

// Bytes are numbers of bytes that were sent and received since the daemon's start.
type Bytes struct{ Sent, Received int64 }

// Traffic is what was sent and received for calls, and for everything else.
type Traffic struct{ Calls, Others Bytes }

// Delays are the times that something waits for each of the daemon's own resources.
type Delays struct{ Sending, Receiving, Processor time.Duration }

// Total returns the delay of an exchange, which passes through all of them.
func (d Delays) Total() time.Duration { return d.Sending + d.Receiving + d.Processor }

// Capacity has the state of one daemon's link and processor. It is safe for concurrent use and has no clock of its own.
type Capacity struct {
	config Config
	mu     sync.Mutex
	// sending and receiving are the directions of the link.
	sending, receiving link
	lag                time.Duration
	// held is the memory that slow readers take.
	held       int64
	recordedAt time.Time
	// begun and ended are the numbers of calls, weighted by how recent they are.
	begun, ended float64
	// connections and calls are those that are open.
	connections, calls int
	refused            int64
	// longest is the longest delay of the last delayRetention, with the time at which it was seen.
	longest   time.Duration
	longestAt time.Time
	rotation  rotation
}

// New returns a capacity of which nothing is used.
func New(config Config) *Capacity {
	rate := config.LinkBytesPerSecond * usableShare
	return &Capacity{config: config, sending: link{rate: rate}, receiving: link{rate: rate}}
}

// Record records the traffic until now, and by how much the processor was late for the work that was due then.
func (c *Capacity) Record(now time.Time, traffic Traffic, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := now.Sub(c.recordedAt)
	if c.recordedAt.IsZero() {
		elapsed = 0
	}
	c.recordedAt = now
	kept := math.Exp(-elapsed.Seconds() / costSpan.Seconds())
	c.begun *= kept
	c.ended *= kept
	c.sending.record(elapsed.Seconds(), kept, traffic.Calls.Sent, traffic.Others.Sent)
	c.receiving.record(elapsed.Seconds(), kept, traffic.Calls.Received, traffic.Others.Received)
	c.lag = max(lag, 0)
	if delay := c.delays().Total(); delay >= c.longest || now.Sub(c.longestAt) > delayRetention {
		c.longest, c.longestAt = delay, now
	}
	c.rotation.record(now, c.admits(now, 1))
}

// RecordHeld records the memory that is taken by what was read from upstreams and not passed on yet, since its readers are slow.
func (c *Capacity) RecordHeld(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = bytes
}

// IsShedding reports whether the daemon should get no new connections for the moment, since others have to carry them.
func (c *Capacity) IsShedding(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.rotation.outUntil)
}

// Admit decides whether an established connection of a caller is accepted. What is not accepted must be closed unread. An accepted
// one is charged with the cost of a call, and ended by Release.
func (c *Capacity) Admit(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.admits(now, maxOvershoot) {
		c.refused++
		return false
	}
	c.connections++
	c.charge()
	return true
}

// MayListen reports whether further connections may be established.
func (c *Capacity) MayListen(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admits(now, 1)
}

// admits reports whether there is room for a connection within so many times the delays; the lock is held. A wrong rate must not
// keep an idle daemon from serving.
func (c *Capacity) admits(now time.Time, overshoot float64) bool {
	isFull := c.config.MaxConnections > 0 && c.connections >= c.config.MaxConnections
	return !isFull && (c.calls == 0 || c.hasRoom(now, overshoot))
}

// Release ends an accepted connection.
func (c *Capacity) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections--
}

// BeginCall begins a call. Its cost was charged already if it is the first one of its connection.
func (c *Capacity) BeginCall(isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.begun++
	if !isFirst {
		c.charge()
	}
}

// EndCall ends a call.
func (c *Capacity) EndCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.ended++
}

// HasRoom reports whether the daemon carries a further call in time.
func (c *Capacity) HasRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRoom(now, 1)
}

// hasRoom is HasRoom; the lock is held.
func (c *Capacity) hasRoom(now time.Time, overshoot float64) bool {
	if c.calls >= minCallsOfLag && c.lagAt(now).Seconds() > overshoot*maxLag.Seconds() {
		return false
	}
	if c.config.MaxHeldBytes > 0 && float64(c.held) >= heldShare*float64(c.config.MaxHeldBytes) {
		return false
	}
	return c.sending.hasRoom(overshoot) && c.receiving.hasRoom(overshoot)
}

// lagAt returns by how much the processor is late; the lock is held. A processor that is late records late.
func (c *Capacity) lagAt(now time.Time) time.Duration {
	if c.recordedAt.IsZero() {
		return c.lag
	}
	return max(c.lag, now.Sub(c.recordedAt)-time.Duration(c.config.RecordMillis)*time.Millisecond)
}

// charge adds the cost of one call to what is expected; the lock is held.
func (c *Capacity) charge() {
	calls := max((c.begun+c.ended)/2, 1)
	c.sending.expected += c.sending.callBytes / calls
	c.receiving.expected += c.receiving.callBytes / calls
}

// Refused returns the number of connections that were not accepted.
func (c *Capacity) Refused() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// Delays returns the delays that were recorded last.
func (c *Capacity) Delays() Delays {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delays()
}

func (c *Capacity) delays() Delays {
	return Delays{Sending: c.sending.delay(c.sending.queued), Receiving: c.receiving.delay(c.receiving.queued), Processor: c.lag}
}

// OwnDelay returns by how much this daemon may have delayed something that it still waits for.
func (c *Capacity) OwnDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := c.delays().Total()
	if now.Sub(c.longestAt) <= delayRetention {
		delay = c.longest
	}
	return min(max(delay, c.lagAt(now)), maxOwnDelay)
}
