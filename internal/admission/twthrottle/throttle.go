// Package twthrottle keeps the sends of all daemons together within the rates that upstreams state, and keeps this
// daemon's sends out of the back-off that an upstream asked it for. It admits each send after the upstream is chosen
// and before anything is sent.
//
// One daemon is the rate coordinator and holds a token bucket for each upstream that states a rate: the leader, or a
// standby while there is no leader. The other daemons request sends from it. A daemon that reaches no coordinator uses
// its own send slots of the rate; the leader leaves the share of unreachable daemons to them.
package twthrottle

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twbackoff"
	"github.com/turmericwall/turmericwall/internal/membership/twrates"
)

const (
	// minRatePerSecond replaces lower stated rates. Upstreams lift a rate in their answers, so without any calls no
	// daemon would learn of it.
	minRatePerSecond = 0.25
	// requestTimeout allows for some round trips between regions and stays below the slack of a latency target.
	requestTimeout = 100 * time.Millisecond
	// failedPeerBackoff is how long no request is sent to a daemon that failed to answer one.
	failedPeerBackoff = 300 * time.Millisecond
	// grantValidity is how long granted sends may be used.
	grantValidity = 500 * time.Millisecond
	// demandWindow is the time whose sends are requested at once.
	demandWindow = 250 * time.Millisecond
	// requestPausePerDaemon, times the number of daemons, is the minimum pause of a daemon after a request that was
	// granted no sends. All daemons together then make at most 500 such requests per second.
	requestPausePerDaemon = 2 * time.Millisecond
	// daemonCountMaxAge is how long a count of the daemons is cached: counting hundreds of them for each call is
	// costly.
	daemonCountMaxAge = 100 * time.Millisecond
	// maxLeaderlessRetryDelay bounds retry times while no daemon coordinates, since a new leader is expected shortly.
	maxLeaderlessRetryDelay = time.Second
)

// errRecentlyFailed is returned for a daemon to which no request is sent because it failed to answer one shortly
// before.
var errRecentlyFailed = errors.New("daemon failed to answer the last rate request; request again later")

// Config holds the dependencies of a Throttle.
type Config struct {
	Rates    *twrates.Rates
	Backoffs *twbackoff.Backoffs
	// Peers sends requests to other daemons.
	Peers turmericwall.PeerClient
	Self  turmericwall.Member
	// Leader returns the live leader; self is set when it is this daemon, ok when there is one.
	Leader func() (leader turmericwall.Member, self, ok bool)
	// Standbys returns the other standbys of the last leader. StandbyRank returns this daemon's position among all
	// standbys, or -1 if it is none.
	Standbys    func() []turmericwall.Member
	StandbyRank func() int
	// Rank returns this daemon's rank among all daemons in the last heartbeat, their number, which is 0 while it is
	// unknown, and the time at which the heartbeat was received.
	Rank func() (rank, daemons int, at time.Time)
	// Daemons returns the number of live daemons. UnresponsiveDaemons returns how many more answered this daemon
	// recently, while it is the leader.
	Daemons             func() int
	UnresponsiveDaemons func() int
	// Now returns the time of the monotonic clock.
	Now func() time.Time
}

// Throttle admits one daemon's sends and, while the daemon is the rate coordinator, grants sends to all daemons.
type Throttle struct {
	config Config
	mu     sync.Mutex
	// buckets hold the sends of all daemons; they are valid while coordinating is set.
	buckets      map[turmericwall.UpstreamKey]*bucket
	coordinating bool
	allowances   map[turmericwall.UpstreamKey]*allowance
	// failedUntil is the end of failedPeerBackoff, by the daemon's address.
	failedUntil map[string]time.Time
	// cluster is the last count of the daemons.
	cluster clusterSize
}

// allowance is what this daemon may send to one upstream.
type allowance struct {
	granted      int
	grantedUntil time.Time
	// nextRequestAt is when the next request may be made; retryAt is the retry time of the last refused caller.
	nextRequestAt, retryAt time.Time
	slots                  sendSlots
	// demand counts the sends in the demandWindow that ends at windowEnd, previousDemand those in the window before.
	demand, previousDemand int
	windowEnd              time.Time
}

// New returns a throttle that has admitted nothing.
func New(config Config) *Throttle {
	return &Throttle{
		config: config, buckets: make(map[turmericwall.UpstreamKey]*bucket),
		allowances: make(map[turmericwall.UpstreamKey]*allowance), failedUntil: make(map[string]time.Time),
	}
}

// Admit admits one send to the upstream. The error is a *Problem with a retry time.
func (t *Throttle) Admit(ctx context.Context, upstream turmericwall.UpstreamKey) error {
	if until := t.BackoffUntil(upstream); !until.IsZero() {
		return turmericwall.NewProblem(turmericwall.KindOverloaded,
			fmt.Sprintf("the upstream %s wants no call from this daemon for now", upstream.ID),
			"come back at the time given").WithRetryAt(until)
	}
	stated, limited := t.config.Rates.Statement(upstream)
	if !limited {
		return nil
	}
	rate := max(stated.PerSecond, minRatePerSecond)
	count, err := t.useGrantedSend(upstream, rate)
	if count == 0 {
		return err
	}
	request := turmericwall.AdmitRequest{Rate: stated, Count: count}
	for _, candidate := range t.coordinatorCandidates() {
		reply, err := t.requestGrant(ctx, candidate, request)
		if err != nil || reply.Declined {
			continue
		}
		return t.applyReply(upstream, reply)
	}
	return t.useSlot(upstream, rate)
}

// BackoffUntil returns the end of the back-off that the upstream asked this daemon for; zero if there is none.
func (t *Throttle) BackoffUntil(upstream turmericwall.UpstreamKey) time.Time {
	return t.config.Backoffs.BackoffUntil(t.config.Now(), upstream)
}

// useGrantedSend uses a send that was granted before. If there is none, count is the number of sends to request; it is
// 0, with an error, if the next request may not be made yet.
func (t *Throttle) useGrantedSend(upstream turmericwall.UpstreamKey, rate float64) (count int, err error) {
	now, daemons := t.config.Now(), t.countDaemons().daemons
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.allowance(upstream)
	a.recordDemand(now)
	if a.granted > 0 && now.Before(a.grantedUntil) {
		a.granted--
		return 0, nil
	}
	a.granted = 0
	if now.Before(a.nextRequestAt) {
		return 0, a.refuse(now, upstream, later(a.nextRequestAt, a.retryAt.Add(seconds(float64(daemons)/rate))))
	}
	maxCount := max(int(rate*demandWindow.Seconds()), 1)
	return min(max(a.previousDemand, 1), maxCount), nil
}

// recordDemand counts one send that a caller asked for, whether it is admitted or not.
func (a *allowance) recordDemand(now time.Time) {
	if now.After(a.windowEnd) {
		a.previousDemand = a.demand
		if now.Sub(a.windowEnd) > demandWindow {
			a.previousDemand = 0
		}
		a.demand = 0
		a.windowEnd = now.Add(demandWindow)
	}
	a.demand++
}

// coordinatorCandidates returns the daemons that may be the rate coordinator, in the order in which they are requested.
// The lock must not be held.
func (t *Throttle) coordinatorCandidates() []turmericwall.Member {
	if leader, _, ok := t.config.Leader(); ok {
		return []turmericwall.Member{leader}
	}
	list := t.config.Standbys()
	if rank := t.config.StandbyRank(); rank >= 0 {
		rank = min(rank, len(list))
		list = append(append(append([]turmericwall.Member(nil), list[:rank]...), t.config.Self), list[rank:]...)
	}
	return list
}

// requestGrant requests sends from one daemon, which may be this one.
func (t *Throttle) requestGrant(
	ctx context.Context, candidate turmericwall.Member, request turmericwall.AdmitRequest,
) (turmericwall.AdmitReply, error) {
	if candidate == t.config.Self {
		return t.Grant(request), nil
	}
	t.mu.Lock()
	failed := t.config.Now().Before(t.failedUntil[candidate.Address])
	t.mu.Unlock()
	if failed {
		return turmericwall.AdmitReply{}, errRecentlyFailed
	}
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := t.config.Peers.Admit(requestCtx, candidate.Address, request)
	if err == nil || ctx.Err() != nil {
		// An error after the caller's own context ended is not the peer's failure.
		return reply, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedUntil[candidate.Address] = t.config.Now().Add(failedPeerBackoff)
	return reply, err
}

// applyReply records the granted sends and uses one of them.
func (t *Throttle) applyReply(upstream turmericwall.UpstreamKey, reply turmericwall.AdmitReply) error {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.allowance(upstream)
	if reply.Granted > 0 {
		if !now.Before(a.grantedUntil) {
			a.granted = 0
		}
		a.granted += reply.Granted - 1
		a.grantedUntil = now.Add(grantValidity)
		return nil
	}
	a.nextRequestAt = earlier(now.Add(time.Duration(reply.NextRequestMillis)*time.Millisecond), now.Add(maxRetryDelay))
	return a.refuse(now, upstream, now.Add(time.Duration(reply.RetryMillis)*time.Millisecond))
}

// useSlot uses a send slot of this daemon because no coordinator answered. While there is a leader, its bucket includes
// this daemon's share of the rate, so the send is refused.
func (t *Throttle) useSlot(upstream turmericwall.UpstreamKey, rate float64) error {
	_, _, hasLeader := t.config.Leader()
	rank, daemons, heartbeatAt := t.config.Rank()
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.allowance(upstream)
	if hasLeader || daemons == 0 {
		return a.refuse(now, upstream, now.Add(failedPeerBackoff))
	}
	ok, next := a.slots.use(now, heartbeatAt, rate, rank, daemons)
	if !ok {
		return a.refuse(now, upstream, earlier(next, now.Add(maxLeaderlessRetryDelay)))
	}
	return nil
}

// refuse returns the refusal of a send with the retry time, which it bounds and records.
func (a *allowance) refuse(now time.Time, upstream turmericwall.UpstreamKey, at time.Time) error {
	a.retryAt = earlier(at, now.Add(maxRetryDelay))
	return turmericwall.NewProblem(turmericwall.KindOverloaded,
		fmt.Sprintf("the upstream %s takes no more calls a second", upstream.ID),
		"come back at the time given").WithRetryAt(a.retryAt)
}

// ReturnSend returns an admitted send that was not made, so that this daemon may use it for another call.
func (t *Throttle) ReturnSend(upstream turmericwall.UpstreamKey) {
	if _, limited := t.config.Rates.Rate(upstream); !limited {
		return
	}
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.allowance(upstream)
	if !now.Before(a.grantedUntil) {
		a.granted = 0
		a.grantedUntil = now.Add(grantValidity)
	}
	a.granted++
}

// DiscardExpired discards the state of upstreams that no longer state a rate, and expired back-offs of peers. It must
// be called several times per second, because it also detects that this daemon is no longer the rate coordinator.
func (t *Throttle) DiscardExpired() {
	t.updateCoordinating()
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.allowances {
		if _, limited := t.config.Rates.Rate(key); !limited {
			delete(t.allowances, key)
			delete(t.buckets, key)
		}
	}
	for key := range t.buckets {
		if _, limited := t.config.Rates.Rate(key); !limited {
			delete(t.buckets, key)
		}
	}
	now := t.config.Now()
	for address, until := range t.failedUntil {
		if now.After(until) {
			delete(t.failedUntil, address)
		}
	}
}

// allowance returns the upstream's allowance and creates it if necessary; the lock is held.
func (t *Throttle) allowance(upstream turmericwall.UpstreamKey) *allowance {
	a, ok := t.allowances[upstream]
	if !ok {
		a = &allowance{}
		t.allowances[upstream] = a
	}
	return a
}

// bucket returns the upstream's bucket, refilled up to now; the lock is held.
func (t *Throttle) bucket(now time.Time, upstream turmericwall.UpstreamKey, rate float64) *bucket {
	b, ok := t.buckets[upstream]
	if !ok {
		b = &bucket{level: initialCalls, refilledAt: now}
		t.buckets[upstream] = b
	}
	b.refill(now, rate)
	return b
}

// ceilMillis rounds up to whole milliseconds, so that no request or retry is made too early.
func ceilMillis(d time.Duration) int64 { return max((d + time.Millisecond - 1).Milliseconds(), 0) }
