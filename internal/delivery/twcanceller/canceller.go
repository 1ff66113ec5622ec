// Package twcanceller repeats cancels until the engines confirm them.
package twcanceller

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

const (
	interval = 200 * time.Millisecond
	// settleFor is above the reports' lag plus the longest time a start may be overtaken by its cancel.
	settleFor  = 2 * time.Second
	giveUpTime = 2 * time.Minute
	maxPending = 1 << 14
)

// Canceller implements turmericwall.Canceller.
//
// A cancel can be lost, or overtake the start that it is meant for: the engine would then hold memory
// for a request that is gone. So a cancel is sent until it was answered and, after a time above the
// lag of the reports, a report does not list the attempt.
type Canceller struct {
	engines  turmericwall.Engines
	clock    clockwork.Clock
	recorder turmericwall.Recorder
	added    chan struct{}

	mu      sync.Mutex
	pending map[target]*progress
}

type target struct {
	address string
	attempt string
}

type progress struct {
	vm             turmericwall.VM
	giveUpDeadline time.Time
	// settledAt is when a report may confirm the cancel; zero while it was not answered.
	settledAt time.Time
}

// Config names what the canceller calls.
type Config struct {
	Engines  turmericwall.Engines
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
}

// New returns a canceller; it works while Run runs.
func New(config Config) *Canceller {
	return &Canceller{
		engines:  config.Engines,
		clock:    config.Clock,
		recorder: config.Recorder,
		added:    make(chan struct{}, 1),
		pending:  make(map[target]*progress),
	}
}

// Cancel notes the attempt. When too many are pending the leader's sweep takes over.
func (c *Canceller) Cancel(vm turmericwall.VM, attempt string) {
	if vm.Address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := target{address: vm.Address, attempt: attempt}
	if _, ok := c.pending[t]; ok || len(c.pending) >= maxPending {
		return
	}
	c.pending[t] = &progress{vm: vm, giveUpDeadline: c.clock.Now().Add(giveUpTime)}
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// Pending counts the cancels that are not confirmed.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Run sends cancels until ctx ends.
func (c *Canceller) Run(ctx context.Context) error {
	ticker := c.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		c.round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-c.added:
		case <-ticker.Chan():
		}
	}
}

// round works on each engine in a goroutine of its own, so that a dead one does not hold up the rest.
func (c *Canceller) round(ctx context.Context) {
	byEngine := c.due()
	ends := make(chan struct{})
	for address, targets := range byEngine {
		go func() {
			c.work(ctx, address, targets)
			ends <- struct{}{}
		}()
	}
	for range byEngine {
		<-ends
	}
}

func (c *Canceller) due() map[string][]target {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	byEngine := make(map[string][]target)
	for t, p := range c.pending {
		if now.After(p.giveUpDeadline) {
			delete(c.pending, t)
			continue
		}
		if p.settledAt.IsZero() || !now.Before(p.settledAt) {
			byEngine[t.address] = append(byEngine[t.address], t)
		}
	}
	return byEngine
}

func (c *Canceller) work(ctx context.Context, address string, targets []target) {
	engine := c.engines.Engine(address)
	var listed map[string]bool
	for _, t := range targets {
		if c.settled(t) {
			if listed == nil {
				listed = c.list(ctx, engine)
			}
			if listed != nil && !listed[t.attempt] {
				c.confirm(t)
				continue
			}
		}
		if engine.Cancel(ctx, t.attempt) == nil {
			c.answered(t)
		}
	}
}

// list returns nil when the engine gives no report.
func (c *Canceller) list(ctx context.Context, engine turmericwall.Engine) map[string]bool {
	report, err := engine.Report(ctx, true)
	if err != nil {
		return nil
	}
	listed := make(map[string]bool, len(report.Attempts))
	for _, attempt := range report.Attempts {
		listed[attempt] = true
	}
	return listed
}

func (c *Canceller) settled(t target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[t]
	return ok && !p.settledAt.IsZero()
}

func (c *Canceller) answered(t target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[t]; ok {
		p.settledAt = c.clock.Now().Add(settleFor)
		c.recorder.Record(turmericwall.EventCancelSent).Str("engine", p.vm.Name).Str("attempt", t.attempt).Send()
	}
}

func (c *Canceller) confirm(t target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[t]; ok {
		c.recorder.Record(turmericwall.EventCancelConfirmed).Str("engine", p.vm.Name).Str("attempt", t.attempt).Send()
		delete(c.pending, t)
	}
}
