// Package twgroup groups small sets of writes into transactions of the table service.
package twgroup

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/turmericwall/turmericwall"
)

const (
	maxGroup  = 64
	queueSize = 1024
	// parallel commits keep one slow transaction from holding up the rest.
	parallel = 4
	// transactionsPerSecond is what all daemons together make at the most.
	transactionsPerSecond = 300
	// burst is how many transactions a quiet daemon may make without waiting.
	burst = 8
)

// Committer implements turmericwall.Writer.
//
// The platform takes several hundred writes a second in all. Each daemon makes at most its share of
// transactions; writes that arrive meanwhile wait and go together in the next one. While few come, none
// waits. Without the share a fair day's bookings would each be two transactions, and the platform would
// refuse some of them.
type Committer struct {
	table        turmericwall.Table
	recorder     turmericwall.Recorder
	daemons      func() int
	limiter      *rate.Limiter
	waiting      chan *pending
	writes       metrics.Counter
	transactions metrics.Counter
}

// Config names what the committer writes to.
type Config struct {
	Table    turmericwall.Table
	Registry metrics.Registry
	Recorder turmericwall.Recorder
	// Daemons counts the daemons that share the platform; nil counts one.
	Daemons func() int
}

// pending is one caller's set of writes.
type pending struct {
	writes []turmericwall.Write
	done   chan error
}

// New returns a committer; it writes while Run runs.
func New(config Config) *Committer {
	return &Committer{
		table:        config.Table,
		recorder:     config.Recorder,
		daemons:      config.Daemons,
		limiter:      rate.NewLimiter(transactionsPerSecond, burst),
		waiting:      make(chan *pending, queueSize),
		writes:       metrics.GetOrRegisterCounter("platform.writes", config.Registry),
		transactions: metrics.GetOrRegisterCounter("platform.transactions", config.Registry),
	}
}

// Write waits until the writes are durable, or failed.
func (c *Committer) Write(ctx context.Context, writes ...turmericwall.Write) error {
	p := &pending{writes: writes, done: make(chan error, 1)}
	select {
	case c.waiting <- p:
	case <-ctx.Done():
		return unavailable(ctx.Err())
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return unavailable(ctx.Err())
	}
}

// Run commits groups until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	ends := make(chan struct{})
	for range parallel {
		go func() {
			c.work(ctx)
			ends <- struct{}{}
		}()
	}
	for range parallel {
		<-ends
	}
	return nil
}

func (c *Committer) work(ctx context.Context) {
	var next *pending
	for {
		first, ok := c.first(ctx, next)
		if !ok {
			return
		}
		if c.awaitShare(ctx) != nil {
			return
		}
		var group []*pending
		group, next = c.gather(first)
		c.commit(ctx, group)
	}
}

// awaitShare waits until this daemon's share allows another transaction.
func (c *Committer) awaitShare(ctx context.Context) error {
	if c.daemons != nil {
		c.limiter.SetLimit(rate.Limit(transactionsPerSecond / float64(max(1, c.daemons()))))
	}
	return c.limiter.Wait(ctx)
}

func (c *Committer) first(ctx context.Context, held *pending) (*pending, bool) {
	if held != nil {
		return held, true
	}
	select {
	case p := <-c.waiting:
		return p, true
	case <-ctx.Done():
		return nil, false
	}
}

// gather takes what waits, up to a group. A second write of the same row goes in the next group:
// its condition speaks of the first one's result.
func (c *Committer) gather(first *pending) (group []*pending, next *pending) {
	group = []*pending{first}
	keys := make(map[string]bool)
	first.noteKeys(keys)
	for len(group) < maxGroup {
		select {
		case p := <-c.waiting:
			if p.touches(keys) {
				return group, p
			}
			p.noteKeys(keys)
			group = append(group, p)
		default:
			return group, nil
		}
	}
	return group, nil
}

// commit writes the group; a write whose condition fails is answered and taken out, and the rest
// goes on without it.
func (c *Committer) commit(ctx context.Context, group []*pending) {
	for len(group) > 0 {
		err := c.table.Commit(ctx, transactionOf(group))
		c.transactions.Inc(1)
		c.writes.Inc(int64(countWrites(group)))
		key, conflicting := conflictKey(err)
		if turmericwall.IsKind(err, turmericwall.KindStoreUnavailable) {
			c.recorder.Record(turmericwall.EventStoreUnavailable).Int("writes", int64(countWrites(group))).Err(err).Send()
		}
		if !conflicting {
			answer(group, err)
			return
		}
		group = without(group, key, err)
	}
}

func transactionOf(group []*pending) turmericwall.Transaction {
	transaction := turmericwall.Transaction{Token: uuid.NewString()}
	for _, p := range group {
		transaction.Writes = append(transaction.Writes, p.writes...)
	}
	return transaction
}

func countWrites(group []*pending) int {
	count := 0
	for _, p := range group {
		count += len(p.writes)
	}
	return count
}

func (p *pending) noteKeys(keys map[string]bool) {
	for _, w := range p.writes {
		keys[w.Key] = true
	}
}

func (p *pending) touches(keys map[string]bool) bool {
	for _, w := range p.writes {
		if keys[w.Key] {
			return true
		}
	}
	return false
}

func conflictKey(err error) (string, bool) {
	var conflict *turmericwall.ConflictError
	if !errors.As(err, &conflict) {
		return "", false
	}
	return conflict.Key(), true
}

func without(group []*pending, key string, err error) []*pending {
	rest := group[:0:0]
	for _, p := range group {
		if p.touches(map[string]bool{key: true}) {
			p.done <- err
			continue
		}
		rest = append(rest, p)
	}
	if len(rest) == len(group) {
		answer(group, err)
		return nil
	}
	return rest
}

func answer(group []*pending, err error) {
	for _, p := range group {
		p.done <- err
	}
}

func unavailable(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindStoreUnavailable,
		"the write was not confirmed in time", "try again later").WithOutcome(turmericwall.OutcomeUnknown).WithCause(cause)
}
