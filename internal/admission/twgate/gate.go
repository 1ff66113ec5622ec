// Package twgate holds the calls that wait for what their daemon doesn't know yet after its start. Package twreadiness decides how
// long each waits.
package twgate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twreadiness"
)

// stoppingRetryAfter is short, because the caller reaches another daemon on its next connection.
const stoppingRetryAfter = 50 * time.Millisecond

// Config holds the dependencies of a Gate.
type Config struct {
	StartedAt time.Time
	// MaxWaiting is the largest number of calls that wait at the same time.
	MaxWaiting int
	Recorder   turmericwall.Recorder
	// Count counts an event, and Observe a duration, for the metrics.
	Count   func(name string, n int64)
	Observe func(name string, millis int64)
}

// Gate holds the calls. It is safe for concurrent use.
type Gate struct {
	config Config
	// open is set once all is known, so that calls needn't wait for each other.
	open      atomic.Bool
	mu        sync.Mutex
	readiness *twreadiness.Readiness
	// changed is closed and replaced with each change that calls wait for.
	changed chan struct{}
}

// New returns a gate at which nothing is known.
func New(config Config) *Gate {
	return &Gate{
		config: config, changed: make(chan struct{}),
		readiness: twreadiness.New(twreadiness.Config{StartedAt: config.StartedAt, MaxWaiting: config.MaxWaiting}),
	}
}

// IsOpen reports whether all is known, so that no call waits any more.
func (g *Gate) IsOpen() bool { return g.open.Load() }

// RecordKnown records that an item is known.
func (g *Gate) RecordKnown(item twreadiness.Item) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.readiness.RecordKnown(time.Now(), item) {
		return
	}
	after, _ := g.readiness.KnownAfter(item)
	g.config.Recorder.Record(turmericwall.EventStartKnown).Str("item", item.String()).Int("millis", after.Milliseconds()).
		Int("waiting", int64(g.readiness.Waiting())).Str("missing", g.readiness.Missing().String()).Send()
	g.open.Store(g.readiness.Missing() == twreadiness.Items)
	g.notify()
}

// RecordStalled records that an item can't become known before the time; zero means that it can come at any time.
func (g *Gate) RecordStalled(item twreadiness.Item, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readiness.RecordStalled(item, until) {
		g.notify()
	}
}

// Stop refuses all calls that wait, because the daemon stops.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readiness.Stop()
	g.notify()
}

// Missing returns the names of the items that are not known yet.
func (g *Gate) Missing() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	missing := []string{}
	for item := range twreadiness.Items {
		if _, known := g.readiness.KnownAfter(item); !known {
			missing = append(missing, item.String())
		}
	}
	return missing
}

// Waiting returns the number of calls that wait.
func (g *Gate) Waiting() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.readiness.Waiting())
}

// KnownMillis returns how many milliseconds after the start the item became known; -1 before.
func (g *Gate) KnownMillis(item twreadiness.Item) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if after, known := g.readiness.KnownAfter(item); known {
		return after.Milliseconds()
	}
	return -1
}

// Await returns once all is known, or with the refusal of the call. describe returns the call as far as it is known; its target is
// known only with the routes. The error is the context's if that ends first: the caller has left.
func (g *Gate) Await(ctx context.Context, id string, describe func() twreadiness.Call) error {
	if g.open.Load() {
		return nil
	}
	arrivedAt := time.Now()
	call := describe()
	g.mu.Lock()
	decision, changed := g.readiness.Arrive(arrivedAt, call), g.changed
	g.mu.Unlock()
	if decision.Served {
		return nil
	}
	first, waits := decision.Missing, decision.Cause == ""
	var err error
	for decision.Cause == "" && !decision.Served && err == nil {
		err = wait(ctx, decision.WaitUntil, changed)
		call = describe()
		g.mu.Lock()
		decision, changed = g.readiness.Reconsider(time.Now(), call), g.changed
		g.mu.Unlock()
	}
	if waits {
		g.mu.Lock()
		g.readiness.Leave()
		g.mu.Unlock()
	}
	result := g.record(id, first, decision, time.Since(arrivedAt), err)
	if result != "refused" {
		return err
	}
	if decision.Cause == twreadiness.CauseStopping {
		return turmericwall.NewProblem(turmericwall.KindNotReady, "this daemon is stopping", "come back on a new connection").
			WithRetryAt(time.Now().Add(stoppingRetryAfter))
	}
	return turmericwall.NewProblem(turmericwall.KindNotReady,
		"this daemon has just started and doesn't know yet: "+decision.Missing.String(), "come back at the time given").
		WithRetryAt(decision.RetryAt)
}

// wait returns at the time, after a change, or with the error of ctx when that ends.
func wait(ctx context.Context, until time.Time, changed <-chan struct{}) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-changed:
	}
	return nil
}

// record logs and counts what became of a call that couldn't be served at once, and returns that.
func (g *Gate) record(id string, first twreadiness.Item, d twreadiness.Decision, waited time.Duration, err error) string {
	result, missing := "refused", d.Missing
	switch {
	case err != nil:
		result = "left"
	case d.Served:
		result, missing = "served", first
		g.config.Observe("startWaitMillis_"+first.String(), waited.Milliseconds())
	}
	g.config.Count("start_calls_"+result+"_"+missing.String(), 1)
	g.config.Recorder.Record(turmericwall.EventCallHeld).Str("request", id).Str("missing", first.String()).
		Str("stillMissing", d.Missing.String()).Int("waitedMillis", waited.Milliseconds()).Str("result", result).
		Str("cause", d.Cause).Send()
	return result
}

// notify wakes the calls that wait; the lock is held.
func (g *Gate) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}
