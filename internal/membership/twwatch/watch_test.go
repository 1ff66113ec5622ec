package twwatch_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twwatch"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

// log discards what the watches record.
var log = tweventlog.New(tweventlog.Config{Output: io.Discard})

// feed is a store that returns its listings and changes in order; then listings fail and changes block.
type feed struct {
	mu      sync.Mutex
	lists   []turmericwall.Snapshot
	changes []any
	afters  []int64
	waits   []time.Duration
	// extraLatency is how much longer than its wait a read of changes takes.
	extraLatency time.Duration
}

func (f *feed) Rows(context.Context, string) (turmericwall.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lists) == 0 {
		return turmericwall.Snapshot{}, errors.New("store unavailable")
	}
	next := f.lists[0]
	f.lists = f.lists[1:]
	return next, nil
}

func (f *feed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (turmericwall.Snapshot, error) {
	f.mu.Lock()
	f.afters = append(f.afters, after)
	f.waits = append(f.waits, wait)
	if f.extraLatency > 0 {
		f.mu.Unlock()
		time.Sleep(wait + f.extraLatency)
		f.mu.Lock()
	}
	if len(f.changes) == 0 {
		f.mu.Unlock()
		<-ctx.Done()
		return turmericwall.Snapshot{}, ctx.Err()
	}
	next := f.changes[0]
	f.changes = f.changes[1:]
	f.mu.Unlock()
	if err, ok := next.(error); ok {
		return turmericwall.Snapshot{}, err
	}
	return next.(turmericwall.Snapshot), nil
}

// follower records the calls that it gets, and the time of the last read before an outage ended.
type follower struct {
	mu         sync.Mutex
	calls      []string
	lastReadAt time.Time
	lacking    atomic.Bool
}

func (f *follower) record(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, what)
}

func (f *follower) allCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.calls...)
}

func (f *follower) Reset(time.Time, turmericwall.Snapshot)  { f.record("reset") }
func (f *follower) Change(time.Time, turmericwall.Snapshot) { f.record("change") }
func (f *follower) HasAll() bool                            { return !f.lacking.Load() }
func (f *follower) StoreUnavailable(error)                  { f.record("unavailable") }

func (f *follower) StoreRegained(_, lastReadAt time.Time) {
	f.record("regained")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadAt = lastReadAt
}

func (f *follower) observedLastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReadAt
}

func run(t *testing.T, f *feed) *follower {
	t.Helper()
	recorded := &follower{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- twwatch.New(twwatch.Config{Feed: f, Table: "t", Recorder: log, Follower: recorded, Wait: time.Second}).Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	return recorded
}

func snapshot(version int64, rows int) turmericwall.Snapshot {
	return turmericwall.Snapshot{Version: version, Rows: make([]turmericwall.FeedRow, rows)}
}

func TestChangesFollowListing(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{snapshot(5, 2)}, changes: []any{snapshot(6, 0), snapshot(8, 1)}}
	recorded := run(t, f)
	g.Eventually(recorded.allCalls).Should(Equal([]string{"reset", "change"}))
	g.Eventually(func() []int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.afters }).Should(Equal([]int64{5, 6, 8}))
}

// The store dropped its history while an upstream left, so that change never arrives. All rows must be listed again
// at once, or calls are still sent to the upstream that left.
func TestLostHistoryCausesNewListing(t *testing.T) {
	g := NewWithT(t)
	f := &feed{
		lists:   []turmericwall.Snapshot{snapshot(5, 2), snapshot(9, 1)},
		changes: []any{turmericwall.ErrHistoryLost},
	}
	recorded := run(t, f)
	g.Eventually(recorded.allCalls).Should(Equal([]string{"reset", "reset"}))
}

// Guards against an answer that the history was dropped which counts as a read of the table.
func TestLostHistoryConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	f := &feed{
		lists:   []turmericwall.Snapshot{snapshot(5, 2)},
		changes: []any{turmericwall.ErrHistoryLost, errors.New("connection reset")},
	}
	var confirmed atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	w := twwatch.New(twwatch.Config{
		Feed: f, Table: "t", Recorder: log, Follower: &follower{}, Wait: time.Second,
		OnConfirmed: func(twboottime.Instant) { confirmed.Add(1) },
	})
	go func() { done <- w.Run(ctx) }()
	defer func() { stop(); <-done }()
	g.Eventually(w.Failing, "2s").Should(BeTrue())
	g.Expect(confirmed.Load()).To(BeEquivalentTo(1), "only the listing brought the whole table")
}

// The store is unavailable and recovers. What changed meanwhile may be missing from its history, so all rows must be
// listed again. A lagging replica then answers with an older version; the watch must not go back to it.
func TestOutageEndsWithNewListing(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{snapshot(5, 2)}, changes: []any{errors.New("connection reset")}}
	recorded := run(t, f)
	g.Eventually(recorded.allCalls).Should(Equal([]string{"reset", "unavailable"}))
	f.mu.Lock()
	f.lists = append(f.lists, snapshot(3, 2))
	f.mu.Unlock()
	g.Eventually(recorded.allCalls, 3*time.Second).Should(Equal([]string{"reset", "unavailable", "regained", "reset"}))
	g.Eventually(func() []int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.afters }).Should(Equal([]int64{5, 5}))
}

// A daemon sees an outage of the store, and then its leader reads the store for it. When the daemon reads itself
// again seconds later, the whole time between must not count as an outage: removed entries would be kept as if they
// had lapsed, and their upstreams would get calls after they left.
func TestOutageEndsWhenAnotherDaemonReads(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{snapshot(5, 2)}, changes: []any{errors.New("connection reset")}}
	var paused atomic.Bool
	peerReadAt := time.Now()
	recorded := &follower{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- twwatch.New(twwatch.Config{
			Feed: f, Table: "t", Recorder: log, Follower: recorded, Wait: time.Second, Paused: paused.Load,
			PeerReadAt: func() time.Time { return peerReadAt.Add(time.Minute) },
		}).Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	g.Eventually(recorded.allCalls).Should(Equal([]string{"reset", "unavailable"}))
	paused.Store(true)
	g.Eventually(recorded.allCalls, 3*time.Second).Should(Equal([]string{"reset", "unavailable", "regained"}))
	g.Expect(recorded.observedLastRead()).To(Equal(peerReadAt.Add(time.Minute)))
}

// The store takes longer than usual for each answer. The next read must wait less for changes, so that the state gets
// no older: if it became stale, all daemons would read the slow store themselves.
func TestSlowStoreIsReadWithShorterWaits(t *testing.T) {
	g := NewWithT(t)
	f := &feed{
		lists:        []turmericwall.Snapshot{snapshot(5, 2)},
		changes:      []any{snapshot(5, 0), snapshot(5, 0)},
		extraLatency: 950 * time.Millisecond,
	}
	run(t, f)
	waits := func() []time.Duration { f.mu.Lock(); defer f.mu.Unlock(); return f.waits }
	g.Eventually(func() int { return len(waits()) }, 5*time.Second).Should(BeNumerically(">=", 2))
	g.Expect(waits()[:2]).To(Equal([]time.Duration{time.Second, 100 * time.Millisecond}))
}

// Guards against a daemon that lists the whole table whenever it begins to read itself, although peers have sent the
// changes.
func TestReadingContinuesFromVersionKnownFromPeers(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{snapshot(9, 3)}, changes: []any{snapshot(8, 1)}}
	recorded := &follower{}
	var active atomic.Bool
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	outcomes := make(chan error, 100)
	w := twwatch.New(twwatch.Config{
		Feed: f, Table: "t", Recorder: log, Follower: recorded, Wait: time.Second, KnownVersion: func() int64 { return 7 },
		Paused: func() bool { return !active.Load() }, OnRead: func(err error) { outcomes <- err },
	})
	go func() { done <- w.Run(ctx) }()
	defer func() { stop(); <-done }()
	g.Consistently(recorded.allCalls, "300ms").Should(BeEmpty())
	active.Store(true)
	g.Eventually(recorded.allCalls).Should(Equal([]string{"change"}))
	g.Eventually(outcomes).Should(Receive(BeNil()))
	g.Eventually(func() []int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.afters }).Should(Equal([]int64{7, 8}))
}

// Guards against a standby that takes the lease and keeps upstreams whose removal the former leader had not decided
// yet.
func TestRelistReadsAllRows(t *testing.T) {
	g := NewWithT(t)
	f := &feed{
		lists:        []turmericwall.Snapshot{snapshot(5, 2), snapshot(6, 1)},
		changes:      []any{snapshot(6, 0)},
		extraLatency: 10 * time.Millisecond,
	}
	recorded := &follower{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	w := twwatch.New(twwatch.Config{Feed: f, Table: "t", Recorder: log, Follower: recorded, Wait: 100 * time.Millisecond})
	go func() { done <- w.Run(ctx) }()
	defer func() { stop(); <-done }()
	g.Eventually(recorded.allCalls).Should(Equal([]string{"reset"}))
	w.Relist()
	g.Eventually(recorded.allCalls).Should(Equal([]string{"reset", "reset"}))
}

// laggingFeed is a store whose replicas list an old version and have no history.
type laggingFeed struct{ reads atomic.Int64 }

func (f *laggingFeed) Rows(context.Context, string) (turmericwall.Snapshot, error) {
	f.reads.Add(1)
	return snapshot(9, 1), nil
}

func (f *laggingFeed) Changes(context.Context, string, int64, time.Duration) (turmericwall.Snapshot, error) {
	f.reads.Add(1)
	return turmericwall.Snapshot{}, turmericwall.ErrHistoryLost
}

// Guards against a watch that lists all rows without a pause while replicas lag behind its position.
func TestLaggingReplicasAreReadWithPauses(t *testing.T) {
	g := NewWithT(t)
	f := &laggingFeed{}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	w := twwatch.New(twwatch.Config{Feed: f, Table: "t", Recorder: log, Follower: &follower{}, Wait: time.Second})
	g.Expect(w.Run(ctx)).To(MatchError(context.DeadlineExceeded))
	g.Expect(f.reads.Load()).To(BeNumerically("<=", 24), "two reads in each tenth of a second")
}

// Guards against keys that were removed in the time that the store lost, and are admitted again because the copy counts
// as a proof of the plan.
func TestCopyConfirmsNothingUntilLostWritesAreBack(t *testing.T) {
	g := NewWithT(t)
	f := &feed{
		lists:   []turmericwall.Snapshot{snapshot(1_000_000_000_005, 2), snapshot(2_000_000_000_004, 2)},
		changes: []any{turmericwall.ErrHistoryLost},
	}
	for range 40 {
		f.changes = append(f.changes, snapshot(2_000_000_000_004, 0))
	}
	f.extraLatency = time.Millisecond
	var confirmed atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	w := twwatch.New(twwatch.Config{
		Feed: f, Table: "t", Recorder: log, Follower: &follower{}, Wait: 100 * time.Millisecond,
		OnConfirmed: func(twboottime.Instant) { confirmed.Add(1) },
	})
	go func() { done <- w.Run(ctx) }()
	defer func() { stop(); <-done }()
	g.Eventually(func() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.lists) }).Should(BeZero())
	g.Consistently(confirmed.Load, "1800ms").Should(BeEquivalentTo(1), "only the listing before the return")
	g.Eventually(confirmed.Load, "1s").Should(BeNumerically(">", 1))
}

// Guards against a daemon that starts just after a return of the store from a copy, and takes the copy for a proof of the
// plan although its peers have a newer one.
func TestFirstListingAfterAReturnConfirmsNothingUntilLostWritesAreBack(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{snapshot(2_000_000_000_004, 2)}, extraLatency: time.Millisecond}
	for range 40 {
		f.changes = append(f.changes, snapshot(2_000_000_000_004, 0))
	}
	var confirmed atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	w := twwatch.New(twwatch.Config{
		Feed: f, Table: "t", Recorder: log, Follower: &follower{}, Wait: 100 * time.Millisecond,
		OnConfirmed: func(twboottime.Instant) { confirmed.Add(1) },
	})
	go func() { done <- w.Run(ctx) }()
	defer func() { stop(); <-done }()
	g.Consistently(confirmed.Load, "1800ms").Should(BeZero())
	g.Eventually(confirmed.Load, "1s").Should(BeNumerically(">", 0))
}
