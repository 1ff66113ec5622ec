package twwatch_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twwatch"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

type feed struct {
	mu      sync.Mutex
	lists   []turmericwall.Snapshot
	changes []any
	afters  []int64
	waits   []time.Duration
	// slow is how much longer than its wait a read of changes takes.
	slow time.Duration
}

func (f *feed) Rows(context.Context, string) (turmericwall.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lists) == 0 {
		return turmericwall.Snapshot{}, errors.New("away")
	}
	next := f.lists[0]
	f.lists = f.lists[1:]
	return next, nil
}

func (f *feed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (turmericwall.Snapshot, error) {
	f.mu.Lock()
	f.afters = append(f.afters, after)
	f.waits = append(f.waits, wait)
	if f.slow > 0 {
		f.mu.Unlock()
		time.Sleep(wait + f.slow)
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

type follower struct {
	mu    sync.Mutex
	heard []string
	since time.Time
}

func (f *follower) note(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = append(f.heard, what)
}

func (f *follower) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.heard...)
}

func (f *follower) Reset(time.Time, turmericwall.Snapshot)  { f.note("reset") }
func (f *follower) Change(time.Time, turmericwall.Snapshot) { f.note("change") }
func (f *follower) Lost(error)                              { f.note("lost") }

func (f *follower) Regained(_, since time.Time) {
	f.note("regained")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.since = since
}

func (f *follower) lastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since
}

func run(t *testing.T, f *feed) *follower {
	t.Helper()
	follow := &follower{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- twwatch.New(twwatch.Config{Feed: f, Table: "t", Follower: follow, Wait: time.Second}).Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	return follow
}

func at(version int64, rows int) turmericwall.Snapshot {
	return turmericwall.Snapshot{Version: version, Rows: make([]turmericwall.FeedRow, rows)}
}

func TestChangesFollowTheList(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{at(5, 2)}, changes: []any{at(6, 0), at(8, 1)}}
	follow := run(t, f)
	g.Eventually(follow.all).Should(Equal([]string{"reset", "change"}))
	g.Eventually(func() []int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.afters }).Should(Equal([]int64{5, 6, 8}))
}

// The store dropped its history while an upstream left: the change itself will never come. All rows must be read again
// at once, or calls go on being sent to the upstream that left.
func TestLostHistoryIsReadAnew(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{at(5, 2), at(9, 1)}, changes: []any{turmericwall.ErrHistoryLost}}
	follow := run(t, f)
	g.Eventually(follow.all).Should(Equal([]string{"reset", "reset"}))
}

// Guards against an answer that history was dropped which passes for a read of the table.
func TestAnAnswerWithoutRowsConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{at(5, 2)}, changes: []any{turmericwall.ErrHistoryLost, errors.New("reset")}}
	var confirmed atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	w := twwatch.New(twwatch.Config{
		Feed: f, Table: "t", Follower: &follower{}, Wait: time.Second,
		Confirmed: func(twboottime.Moment) { confirmed.Add(1) },
	})
	go func() { done <- w.Run(ctx) }()
	defer func() { stop(); <-done }()
	g.Eventually(w.Failing, "2s").Should(BeTrue())
	g.Expect(confirmed.Load()).To(BeEquivalentTo(1), "only the list told the whole table")
}

// The store goes away and comes back. What changed meanwhile may be in no feed, so all rows are read again. A lagging
// replica then answers with an older version; the position must not go back to it.
func TestAnOutageEndsWithAllRows(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{at(5, 2)}, changes: []any{errors.New("reset")}}
	follow := run(t, f)
	g.Eventually(follow.all).Should(Equal([]string{"reset", "lost"}))
	f.mu.Lock()
	f.lists = append(f.lists, at(3, 2))
	f.mu.Unlock()
	g.Eventually(follow.all, 3*time.Second).Should(Equal([]string{"reset", "lost", "regained", "reset"}))
	g.Eventually(func() []int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.afters }).Should(Equal([]int64{5, 5}))
}

// A daemon meets an outage of the store, and then its leader reads the store for it. Seconds later the leader falls
// silent and the daemon reads for itself again. It must not take the whole time between for an outage: entries that were
// removed meanwhile would be kept as if they had lapsed, and their upstreams would get calls after they left.
func TestAnOutageIsOverWhenAnotherDaemonReads(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{at(5, 2)}, changes: []any{errors.New("reset")}}
	var paused atomic.Bool
	readElsewhere := time.Now()
	follow := &follower{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- twwatch.New(twwatch.Config{
			Feed: f, Table: "t", Follower: follow, Wait: time.Second, Paused: paused.Load,
			ReadElsewhere: func() time.Time { return readElsewhere.Add(time.Minute) },
		}).Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	g.Eventually(follow.all).Should(Equal([]string{"reset", "lost"}))
	paused.Store(true)
	g.Eventually(follow.all, 3*time.Second).Should(Equal([]string{"reset", "lost", "regained"}))
	g.Expect(follow.lastRead()).To(Equal(readElsewhere.Add(time.Minute)))
}

// The store takes longer than usual for each answer. The next read waits less for changes, so that what is known of the
// store grows no older: beyond a bound all daemons read the store themselves, which is slow enough already.
func TestASlowStoreIsReadWithShorterWaits(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{at(5, 2)}, changes: []any{at(5, 0), at(5, 0)}, slow: 950 * time.Millisecond}
	run(t, f)
	waits := func() []time.Duration { f.mu.Lock(); defer f.mu.Unlock(); return f.waits }
	g.Eventually(func() int { return len(waits()) }, 5*time.Second).Should(BeNumerically(">=", 2))
	g.Expect(waits()[:2]).To(Equal([]time.Duration{time.Second, 100 * time.Millisecond}))
}

// A daemon that others read for lists the whole table whenever it begins to read by itself.
func TestReadingGoesOnAtTheVersionThatOthersTold(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{at(9, 3)}, changes: []any{at(8, 1)}}
	follow := &follower{}
	var reads atomic.Bool
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	noted := make(chan error, 100)
	w := twwatch.New(twwatch.Config{
		Feed: f, Table: "t", Follower: follow, Wait: time.Second, Known: func() int64 { return 7 },
		Paused: func() bool { return !reads.Load() }, Noted: func(err error) { noted <- err },
	})
	go func() { done <- w.Run(ctx) }()
	defer func() { stop(); <-done }()
	g.Consistently(follow.all, "300ms").Should(BeEmpty())
	reads.Store(true)
	g.Eventually(follow.all).Should(Equal([]string{"change"}))
	g.Eventually(noted).Should(Receive(BeNil()))
	g.Eventually(func() []int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.afters }).Should(Equal([]int64{7, 8}))
}

// A standby that takes the lease keeps upstreams whose drops its former leader had still to judge.
func TestRelistReadsAllRows(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{at(5, 2), at(6, 1)}, changes: []any{at(6, 0)}, slow: 10 * time.Millisecond}
	follow := &follower{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	w := twwatch.New(twwatch.Config{Feed: f, Table: "t", Follower: follow, Wait: 100 * time.Millisecond})
	go func() { done <- w.Run(ctx) }()
	defer func() { stop(); <-done }()
	g.Eventually(follow.all).Should(Equal([]string{"reset"}))
	w.Relist()
	g.Eventually(follow.all).Should(Equal([]string{"reset", "reset"}))
}
