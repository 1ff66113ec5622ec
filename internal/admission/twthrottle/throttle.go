// Package twthrottle keeps sends within what upstreams say that they take: the rate for all daemons together, and the time in
// which an upstream wants no call from this one.
//
// One daemon counts for all, with a token bucket for each upstream that states a rate: the leader, or a standby while there is
// no leader. The others ask it before they send. A daemon that reaches none of them uses its own slots of the rate; the leader
// leaves the slots of unreachable daemons to them.
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
	// leastRate is used for an upstream that states a lower one, in calls a second: without calls nobody would hear that the
	// rate is lifted.
	leastRate = 0.25
	// askLimit ends an ask: some round trips between regions, and less than a target has room for.
	askLimit = 100 * time.Millisecond
	// failedSpan is how long a daemon that did not answer is not asked again.
	failedSpan = 300 * time.Millisecond
	// grantSpan is how long granted sends may be used.
	grantSpan = 500 * time.Millisecond
	// demandSpan is the span whose sends are asked for at once.
	demandSpan = 250 * time.Millisecond
	// askPause is the least pause between two asks of one daemon that is granted none, for each daemon: all together ask at
	// most 500 times a second.
	askPause = 2 * time.Millisecond
	// countSpan is how long a count of the daemons is used: counting hundreds of them for each call is costly.
	countSpan = 100 * time.Millisecond
	// leaderlessRetry bounds the time to come back while nobody counts: a new leader is soon there.
	leaderlessRetry = time.Second
)

// errNoAnswer tells that a daemon gave no answer lately.
var errNoAnswer = errors.New("the daemon did not answer lately; ask it later")

// Config says what a throttle works with.
type Config struct {
	Rates    *twrates.Rates
	Backoffs *twbackoff.Backoffs
	// Peers carries asks to other daemons.
	Peers turmericwall.PeerClient
	Self  turmericwall.Member
	// Leader returns the live leader; self tells that it is this daemon.
	Leader func() (leader turmericwall.Member, self, ok bool)
	// Standbys are the other standbys of the last leader, and StandbyRank is this daemon's place among all of them, or -1.
	Standbys    func() []turmericwall.Member
	StandbyRank func() int
	// Rank is this daemon's place among all by the last heartbeat, how many there were, 0 while that is unknown, and when it
	// came.
	Rank func() (rank, daemons int, at time.Time)
	// Daemons is the number of live daemons, and Absent how many more answered this one lately, while it leads.
	Daemons func() int
	Absent  func() int
	// Now is the time by the steady clock.
	Now func() time.Time
}

// Throttle is one daemon's part in the count.
type Throttle struct {
	config Config
	mu     sync.Mutex
	// buckets are those of all daemons while this one counts for all.
	buckets  map[turmericwall.UpstreamKey]*bucket
	counting bool
	shares   map[turmericwall.UpstreamKey]*share
	// failedUntil tells which daemons did not answer lately, by address.
	failedUntil map[string]time.Time
	// size is the last count of the daemons.
	size size
}

// size is how many daemons live, and how many more answered the leader lately.
type size struct {
	daemons, absent int
	until           time.Time
}

// share is what this daemon may send to one upstream.
type share struct {
	granted    int
	grantedEnd time.Time
	// closedUntil is when the next ask may be made, and retryAt when the last refused caller may come back.
	closedUntil, retryAt time.Time
	slots                slots
	// wanted are the sends since spanEnd less demandSpan, and wantedBefore those of the span before.
	wanted, wantedBefore int
	spanEnd              time.Time
}

// New returns a throttle that has admitted nothing.
func New(config Config) *Throttle {
	return &Throttle{
		config: config, buckets: make(map[turmericwall.UpstreamKey]*bucket), shares: make(map[turmericwall.UpstreamKey]*share),
		failedUntil: make(map[string]time.Time),
	}
}

// Admit takes one send to the upstream. The error is a *Problem that says when to come back.
func (t *Throttle) Admit(ctx context.Context, upstream turmericwall.UpstreamKey) error {
	if until := t.ClosedUntil(upstream); !until.IsZero() {
		return turmericwall.NewProblem(turmericwall.KindOverloaded,
			fmt.Sprintf("the upstream %s wants no call from this daemon for now", upstream.ID), "come back at the time given").WithRetryAt(until)
	}
	stated, limited := t.config.Rates.Statement(upstream)
	if !limited {
		return nil
	}
	rate := max(stated.PerSecond, leastRate)
	count, err := t.takeGranted(upstream, rate)
	if count == 0 {
		return err
	}
	ask := turmericwall.AdmitAsk{Rate: stated, Count: count}
	for _, counter := range t.counters() {
		reply, err := t.ask(ctx, counter, ask)
		if err != nil || reply.Declined {
			continue
		}
		return t.takeReply(upstream, reply)
	}
	return t.takeSlot(upstream, rate)
}

// ClosedUntil is when an upstream that wants no call from this daemon takes one again; zero when it takes one now.
func (t *Throttle) ClosedUntil(upstream turmericwall.UpstreamKey) time.Time {
	return t.config.Backoffs.Until(t.config.Now(), upstream)
}

// takeGranted takes a send that was granted before; else count tells how many to ask for, and is 0 when it is too early to ask.
func (t *Throttle) takeGranted(upstream turmericwall.UpstreamKey, rate float64) (count int, err error) {
	now, daemons := t.config.Now(), t.count().daemons
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.share(upstream)
	s.want(now)
	if s.granted > 0 && now.Before(s.grantedEnd) {
		s.granted--
		return 0, nil
	}
	s.granted = 0
	if now.Before(s.closedUntil) {
		return 0, s.refuse(now, upstream, later(s.closedUntil, s.retryAt.Add(seconds(float64(daemons)/rate))))
	}
	most := max(int(rate*demandSpan.Seconds()), 1)
	return min(max(s.wantedBefore, 1), most), nil
}

// want counts a send that is wanted.
func (s *share) want(now time.Time) {
	if now.After(s.spanEnd) {
		s.wantedBefore = s.wanted
		if now.Sub(s.spanEnd) > demandSpan {
			s.wantedBefore = 0
		}
		s.wanted = 0
		s.spanEnd = now.Add(demandSpan)
	}
	s.wanted++
}

// counters are the daemons that may count for all, in the order in which they are asked; the lock is not held.
func (t *Throttle) counters() []turmericwall.Member {
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

// ask asks one daemon, which may be this one.
func (t *Throttle) ask(ctx context.Context, counter turmericwall.Member, ask turmericwall.AdmitAsk) (turmericwall.AdmitReply, error) {
	if counter == t.config.Self {
		return t.Grant(ask), nil
	}
	t.mu.Lock()
	failed := t.config.Now().Before(t.failedUntil[counter.Address])
	t.mu.Unlock()
	if failed {
		return turmericwall.AdmitReply{}, errNoAnswer
	}
	askCtx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	reply, err := t.config.Peers.Admit(askCtx, counter.Address, ask)
	if err == nil || ctx.Err() != nil {
		// A caller that left says nothing of the daemon that was asked.
		return reply, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedUntil[counter.Address] = t.config.Now().Add(failedSpan)
	return reply, err
}

// takeReply takes what was granted, and one send of it.
func (t *Throttle) takeReply(upstream turmericwall.UpstreamKey, reply turmericwall.AdmitReply) error {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.share(upstream)
	if reply.Granted > 0 {
		if !now.Before(s.grantedEnd) {
			s.granted = 0
		}
		s.granted += reply.Granted - 1
		s.grantedEnd = now.Add(grantSpan)
		return nil
	}
	s.closedUntil = earlier(now.Add(time.Duration(reply.NextMillis)*time.Millisecond), now.Add(maxReturn))
	return s.refuse(now, upstream, now.Add(time.Duration(reply.RetryMillis)*time.Millisecond))
}

// takeSlot takes a slot of this daemon's own, because nobody counts for it. While a leader lives, it counts for this daemon too.
func (t *Throttle) takeSlot(upstream turmericwall.UpstreamKey, rate float64) error {
	_, _, led := t.config.Leader()
	rank, daemons, base := t.config.Rank()
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.share(upstream)
	if led || daemons == 0 {
		return s.refuse(now, upstream, now.Add(failedSpan))
	}
	ok, next := s.slots.take(now, base, rate, rank, daemons)
	if !ok {
		return s.refuse(now, upstream, earlier(next, now.Add(leaderlessRetry)))
	}
	return nil
}

// refuse says when the caller may come back.
func (s *share) refuse(now time.Time, upstream turmericwall.UpstreamKey, at time.Time) error {
	s.retryAt = earlier(at, now.Add(maxReturn))
	return turmericwall.NewProblem(turmericwall.KindOverloaded,
		fmt.Sprintf("the upstream %s takes no more calls a second", upstream.ID), "come back at the time given").WithRetryAt(s.retryAt)
}

// Return gives back a send that was not made.
func (t *Throttle) Return(upstream turmericwall.UpstreamKey) {
	if _, limited := t.config.Rates.Rate(upstream); !limited {
		return
	}
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.share(upstream)
	if !now.Before(s.grantedEnd) {
		s.granted = 0
		s.grantedEnd = now.Add(grantSpan)
	}
	s.granted++
}

// Grant answers an ask as the daemon that counts for all.
func (t *Throttle) Grant(ask turmericwall.AdmitAsk) turmericwall.AdmitReply {
	t.config.Rates.TakeList([]turmericwall.UpstreamRate{ask.Rate})
	if !t.counts() {
		return turmericwall.AdmitReply{Declined: true}
	}
	key := ask.Rate.Key()
	rate, limited := t.config.Rates.Rate(key)
	if !limited {
		return turmericwall.AdmitReply{Granted: max(ask.Count, 0)}
	}
	rate = max(rate, leastRate)
	now, size := t.config.Now(), t.count()
	present := size.presentShare()
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(now, key, rate*present)
	if granted := b.take(ask.Count); granted > 0 {
		return turmericwall.AdmitReply{Granted: granted}
	}
	next := later(b.nextAt(now, rate*present), now.Add(time.Duration(size.daemons)*askPause))
	return turmericwall.AdmitReply{
		NextMillis: millis(next.Sub(now)), RetryMillis: millis(b.invite(now, rate*present).Sub(now)),
	}
}

// counts tells that this daemon counts for all.
func (t *Throttle) counts() bool {
	_, leading, led := t.config.Leader()
	counts := leading || (!led && t.config.StandbyRank() >= 0)
	t.mu.Lock()
	defer t.mu.Unlock()
	if counts && !t.counting {
		clear(t.buckets)
	}
	t.counting = counts
	return counts
}

// count counts the daemons. The cluster is asked without holding the lock, since it may wait for its own.
func (t *Throttle) count() size {
	now := t.config.Now()
	t.mu.Lock()
	last := t.size
	t.mu.Unlock()
	if now.Before(last.until) {
		return last
	}
	next := size{daemons: t.config.Daemons(), until: now.Add(countSpan)}
	if _, leading, _ := t.config.Leader(); leading {
		next.absent = t.config.Absent()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.size = next
	return next
}

// presentShare is the part of all daemons that ask the one that counts; the others may use their slots.
func (s size) presentShare() float64 {
	daemons := max(s.daemons, 1)
	return float64(daemons) / float64(daemons+s.absent)
}

// Open tells that a send to the upstream may be admitted now.
func (t *Throttle) Open(upstream turmericwall.UpstreamKey) bool {
	rate, limited := t.config.Rates.Rate(upstream)
	if !limited {
		return true
	}
	counts, present, now := t.counts(), t.count().presentShare(), t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.shares[upstream]; ok && s.granted > 0 && now.Before(s.grantedEnd) {
		return true
	}
	if counts {
		return t.bucket(now, upstream, max(rate, leastRate)*present).level >= 1
	}
	s, ok := t.shares[upstream]
	return !ok || !now.Before(s.closedUntil)
}

// Forget drops what was counted of upstreams that state no rate any more. It is called several times a second, so that this
// daemon notices soon that it no longer counts for all.
func (t *Throttle) Forget() {
	t.counts()
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.shares {
		if _, limited := t.config.Rates.Rate(key); !limited {
			delete(t.shares, key)
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

func (t *Throttle) share(upstream turmericwall.UpstreamKey) *share {
	s, ok := t.shares[upstream]
	if !ok {
		s = &share{}
		t.shares[upstream] = s
	}
	return s
}

func (t *Throttle) bucket(now time.Time, upstream turmericwall.UpstreamKey, rate float64) *bucket {
	b, ok := t.buckets[upstream]
	if !ok {
		b = &bucket{level: firstCalls, at: now}
		t.buckets[upstream] = b
	}
	b.refill(now, rate)
	return b
}

// millis rounds up, so that nobody comes too early.
func millis(d time.Duration) int64 { return max((d + time.Millisecond - 1).Milliseconds(), 0) }
