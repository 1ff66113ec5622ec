package twclaim

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

const (
	recorders = 8
	// claimLifetime is how long a claim keeps its key from running again.
	claimLifetime = 24 * time.Hour
)

// recordAnswer enqueues the claim's answer and waits up to recordWait until it is stored, so that a caller that
// retries with the key gets the answer from any daemon.
func (c *Claims) recordAnswer(ctx context.Context, held *claim) {
	held.done = make(chan error, 1)
	if !c.enqueue(held) {
		return
	}
	timer := c.config.Clock.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-held.done:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// enqueue hands the claim to a recorder. When the queue is full, the row keeps the state running: its owner can
// still report the actual state, and without the owner the outcome is unknown.
func (c *Claims) enqueue(held *claim) bool {
	select {
	case c.recording <- held:
		return true
	default:
		return false
	}
}

// UnrecordedCount returns the number of claims in the queue of the recorders.
func (c *Claims) UnrecordedCount() int { return len(c.recording) }

// Run records claims that have ended and deletes expired ones until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	ends := make(chan struct{})
	for range recorders {
		go func() {
			c.recordQueued(ctx)
			ends <- struct{}{}
		}()
	}
	err := c.sweeper.Run(ctx)
	for range recorders {
		<-ends
	}
	return err
}

func (c *Claims) recordQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case held := <-c.recording:
			c.recordOne(ctx, held)
		}
	}
}

// recordOne retries the write of the claim's row until it succeeds, or until another daemon has written the row.
func (c *Claims) recordOne(ctx context.Context, held *claim) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := c.write(ctx, held)
		if err == nil || turmericwall.IsConflict(err) {
			break
		}
		sleep(ctx, c.config.Clock, recordRetryInterval)
	}
	if held.done != nil {
		held.done <- ctx.Err()
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, duration time.Duration) {
	timer := clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// expired reports whether the claim in a row's value is past its lifetime.
func expired(value []byte, now time.Time) bool {
	r, err := decode(value)
	return err == nil && now.After(r.At.Add(claimLifetime))
}
