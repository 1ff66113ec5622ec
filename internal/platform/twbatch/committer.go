// Package twbatch batches small sets of writes into transactions of the platform's table service. The claims and the
// ledger of a daemon write through it, so that all daemons together stay within the platform's limit.
package twbatch

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxBatch bounds the callers whose writes one transaction contains.
	maxBatch  = 64
	queueSize = 1024
	// workers commit in parallel, so that one slow transaction does not delay the others.
	workers = 4
	// transactionsPerSecond bounds the transactions of all daemons together.
	transactionsPerSecond = 300
	// burst is the number of transactions that an idle daemon may make without waiting.
	burst = 8
)

// Committer implements turmericwall.Writer.
//
// The platform accepts several hundred writes a second in total. Each daemon makes at most its share of
// transactionsPerSecond; writes that arrive meanwhile wait and are committed together in the next transaction. At a low
// rate of writes none waits. Without this limit, each booking on the day of a fair would cost two transactions, and the
// platform would refuse some of them.
type Committer struct {
	table        turmericwall.Table
	recorder     turmericwall.Recorder
	daemons      func() int
	limiter      *rate.Limiter
	queue        chan *pending
	writes       metrics.Counter
	transactions metrics.Counter
}

// Config holds the dependencies of a Committer.
type Config struct {
	Table    turmericwall.Table
	Registry metrics.Registry
	Recorder turmericwall.Recorder
	// Daemons returns the number of daemons that share the platform; nil means one.
	Daemons func() int
}

// pending is one caller's set of writes.
type pending struct {
	writes []turmericwall.Write
	done   chan error
}

// New returns a Committer. It commits only while Run runs.
func New(config Config) *Committer {
	return &Committer{
		table:        config.Table,
		recorder:     config.Recorder,
		daemons:      config.Daemons,
		limiter:      rate.NewLimiter(transactionsPerSecond, burst),
		queue:        make(chan *pending, queueSize),
		writes:       metrics.GetOrRegisterCounter("platform.writes", config.Registry),
		transactions: metrics.GetOrRegisterCounter("platform.transactions", config.Registry),
	}
}

// Write queues the writes and waits until they are durable or have failed. It returns a *turmericwall.ConflictError
// when a condition fails, and a *turmericwall.Problem of kind KindStoreUnavailable when the writes were not confirmed
// before ctx ended; they may then still take effect.
func (c *Committer) Write(ctx context.Context, writes ...turmericwall.Write) error {
	p := &pending{writes: writes, done: make(chan error, 1)}
	select {
	case c.queue <- p:
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

// Run commits batches of queued writes until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	ends := make(chan struct{})
	for range workers {
		go func() {
			c.commitBatches(ctx)
			ends <- struct{}{}
		}()
	}
	for range workers {
		<-ends
	}
	return nil
}

// commitBatches commits one batch after the other until ctx ends.
func (c *Committer) commitBatches(ctx context.Context) {
	var next *pending
	for {
		first, ok := c.nextPending(ctx, next)
		if !ok {
			return
		}
		if c.awaitShare(ctx) != nil {
			return
		}
		var batch []*pending
		batch, next = c.collectBatch(first)
		c.commit(ctx, batch)
	}
}

// awaitShare waits until this daemon's share allows another transaction.
func (c *Committer) awaitShare(ctx context.Context) error {
	if c.daemons != nil {
		c.limiter.SetLimit(rate.Limit(transactionsPerSecond / float64(max(1, c.daemons()))))
	}
	return c.limiter.Wait(ctx)
}

// nextPending returns the pending writes that the last batch left over, or waits for queued ones.
func (c *Committer) nextPending(ctx context.Context, leftOver *pending) (*pending, bool) {
	if leftOver != nil {
		return leftOver, true
	}
	select {
	case p := <-c.queue:
		return p, true
	case <-ctx.Done():
		return nil, false
	}
}

// collectBatch adds queued writes to the first ones, up to maxBatch callers. A second write of the same row is left for
// the next batch, because its condition refers to the result of the first one.
func (c *Committer) collectBatch(first *pending) (batch []*pending, next *pending) {
	batch = []*pending{first}
	keys := make(map[string]bool)
	first.addKeys(keys)
	for len(batch) < maxBatch {
		select {
		case p := <-c.queue:
			if p.writesAny(keys) {
				return batch, p
			}
			p.addKeys(keys)
			batch = append(batch, p)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// commit commits the batch and answers its callers. A caller whose condition fails is answered with the conflict and
// removed from the batch, and the rest is committed without it.
func (c *Committer) commit(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		err := c.table.Commit(ctx, transactionOf(batch))
		c.transactions.Inc(1)
		c.writes.Inc(int64(countWrites(batch)))
		key, conflicting := conflictKey(err)
		if turmericwall.IsKind(err, turmericwall.KindStoreUnavailable) {
			c.recorder.Record(turmericwall.EventStoreUnavailable).
				Int("writes", int64(countWrites(batch))).Err(err).Send()
		}
		if !conflicting {
			answerAll(batch, err)
			return
		}
		batch = removeConflicting(batch, key, err)
	}
}

func transactionOf(batch []*pending) turmericwall.Transaction {
	transaction := turmericwall.Transaction{Token: uuid.NewString()}
	for _, p := range batch {
		transaction.Writes = append(transaction.Writes, p.writes...)
	}
	return transaction
}

func countWrites(batch []*pending) int {
	count := 0
	for _, p := range batch {
		count += len(p.writes)
	}
	return count
}

// addKeys adds the keys of the rows that p writes.
func (p *pending) addKeys(keys map[string]bool) {
	for _, w := range p.writes {
		keys[w.Key] = true
	}
}

// writesAny reports whether p writes a row with one of the keys.
func (p *pending) writesAny(keys map[string]bool) bool {
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

// removeConflicting answers the callers that write the row with the conflict, and returns the others. When no caller
// writes the row, it answers all callers with the conflict and returns none.
func removeConflicting(batch []*pending, key string, err error) []*pending {
	rest := batch[:0:0]
	for _, p := range batch {
		if p.writesAny(map[string]bool{key: true}) {
			p.done <- err
			continue
		}
		rest = append(rest, p)
	}
	if len(rest) == len(batch) {
		answerAll(batch, err)
		return nil
	}
	return rest
}

func answerAll(batch []*pending, err error) {
	for _, p := range batch {
		p.done <- err
	}
}

func unavailable(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindStoreUnavailable,
		"the write was not confirmed in time", "try again later").
		WithOutcome(turmericwall.OutcomeUnknown).WithCause(cause)
}
