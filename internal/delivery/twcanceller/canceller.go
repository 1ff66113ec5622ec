// Package twcanceller frees the engine memory of attempts that ended early. Deliveries hand it their cancels, and it
// repeats each one until the engine's load report confirms it.
package twcanceller

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

const (
	retryInterval = 200 * time.Millisecond
	// confirmDelay exceeds the lag of the engines' reports plus the longest time by which a cancel may overtake its
	// attempt.
	confirmDelay = 2 * time.Second
	// cancelTimeout is how long an unconfirmed cancel is repeated.
	cancelTimeout = 2 * time.Minute
	// maxPending bounds the unconfirmed cancels.
	maxPending = 1 << 14
)

// Canceller implements turmericwall.Canceller.
//
// A cancel can be lost, or overtake the attempt that it is meant for: the engine would then hold memory for a request
// that has ended. So a cancel is repeated until the engine answered it and a report from at least confirmDelay later
// does not list the attempt.
type Canceller struct {
	engines  turmericwall.Engines
	clock    clockwork.Clock
	recorder turmericwall.Recorder
	added    chan struct{}

	mu      sync.Mutex
	pending map[target]*pendingCancel
}

type target struct {
	address string
	attempt string
}

type pendingCancel struct {
	vm             turmericwall.VM
	giveUpDeadline time.Time
	// confirmableAt is when a report may confirm the cancel; zero until the engine has answered the cancel.
	confirmableAt time.Time
}

// Config holds the canceller's dependencies.
type Config struct {
	Engines  turmericwall.Engines
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
}

// New returns a canceller that sends nothing until Run is called.
func New(config Config) *Canceller {
	return &Canceller{
		engines:  config.Engines,
		clock:    config.Clock,
		recorder: config.Recorder,
		added:    make(chan struct{}, 1),
		pending:  make(map[target]*pendingCancel),
	}
}

// Cancel queues a cancel of the attempt. When too many are pending it is dropped, and the leader's sweep frees the
// memory.
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
	c.pending[t] = &pendingCancel{vm: vm, giveUpDeadline: c.clock.Now().Add(cancelTimeout)}
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// Pending returns the number of cancels that are not confirmed.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Run sends and confirms cancels until ctx ends.
func (c *Canceller) Run(ctx context.Context) error {
	ticker := c.clock.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		c.processDue(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-c.added:
		case <-ticker.Chan():
		}
	}
}

// processDue sends and confirms the due cancels of each engine in its own goroutine, so that within a round an
// unreachable engine does not delay the others.
func (c *Canceller) processDue(ctx context.Context) {
	byEngine := c.dueByEngine()
	done := make(chan struct{})
	for address, targets := range byEngine {
		go func() {
			c.processEngine(ctx, address, targets)
			done <- struct{}{}
		}()
	}
	for range byEngine {
		<-done
	}
}

// dueByEngine returns the cancels to send or confirm now by engine address, and drops those past their deadline.
func (c *Canceller) dueByEngine() map[string][]target {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	byEngine := make(map[string][]target)
	for t, p := range c.pending {
		if now.After(p.giveUpDeadline) {
			delete(c.pending, t)
			continue
		}
		if p.confirmableAt.IsZero() || !now.Before(p.confirmableAt) {
			byEngine[t.address] = append(byEngine[t.address], t)
		}
	}
	return byEngine
}

func (c *Canceller) processEngine(ctx context.Context, address string, targets []target) {
	engine := c.engines.Engine(address)
	var listed map[string]bool
	for _, t := range targets {
		if c.isAnswered(t) {
			if listed == nil {
				listed = c.listAttempts(ctx, engine)
			}
			if listed != nil && !listed[t.attempt] {
				c.confirm(t)
				continue
			}
		}
		if engine.Cancel(ctx, t.attempt) == nil {
			c.recordAnswer(t)
		}
	}
}

// listAttempts returns the attempts in the engine's report, or nil when the engine gives no report.
func (c *Canceller) listAttempts(ctx context.Context, engine turmericwall.Engine) map[string]bool {
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

func (c *Canceller) isAnswered(t target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[t]
	return ok && !p.confirmableAt.IsZero()
}

func (c *Canceller) recordAnswer(t target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[t]; ok {
		p.confirmableAt = c.clock.Now().Add(confirmDelay)
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
