package twwatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twwatch"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// watchCounting runs a watch and counts what it confirms.
func watchCounting(t *testing.T, f *feed, follower twwatch.Follower) (w *twwatch.Watch, confirmed *atomic.Int64) {
	t.Helper()
	confirmed = new(atomic.Int64)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	w = twwatch.New(twwatch.Config{
		Feed: f, Table: "t", Recorder: log, Follower: follower, Wait: 100 * time.Millisecond,
		OnConfirmed: func(twboottime.Instant) { confirmed.Add(1) },
	})
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return w, confirmed
}

// Guards against a plan that is proved to be in force although its newest row could not be applied.
func TestReadIsNotConfirmedWhileTheFollowerLacksARow(t *testing.T) {
	g := NewWithT(t)
	f := &feed{lists: []turmericwall.Snapshot{snapshot(5, 1)}, changes: []any{snapshot(6, 1), snapshot(6, 0), snapshot(7, 1)}}
	lacking := &follower{}
	lacking.lacking.Store(true)
	w, confirmed := watchCounting(t, f, lacking)
	g.Eventually(lacking.allCalls).Should(HaveLen(3))
	g.Expect(confirmed.Load()).To(BeZero())
	g.Expect(w.ReadAt()).NotTo(BeZero(), "the store was read")
}

// Guards against a listing from a replica that lags, which is taken for the newest state.
func TestListingOlderThanThePositionConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	f := &feed{
		lists:   []turmericwall.Snapshot{snapshot(9, 1), snapshot(7, 1)},
		changes: []any{turmericwall.ErrHistoryLost},
	}
	recorded := &follower{}
	w, confirmed := watchCounting(t, f, recorded)
	g.Eventually(recorded.allCalls).Should(HaveLen(2))
	g.Consistently(confirmed.Load, "200ms").Should(BeEquivalentTo(1), "only the first listing")
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Expect(w.ReadAt()).To(BeTemporally("<", time.Now().Add(-200*time.Millisecond)))
}
