package twclaim

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

const (
	recorders = 8
	// lifetime is how long a claim keeps its key from running again.
	lifetime = 24 * time.Hour
)

// recordSoon records an answer and waits a little for it, so that a caller that comes back with the key
// finds the answer at any daemon.
func (c *Claims) recordSoon(ctx context.Context, m *claim) {
	m.done = make(chan error, 1)
	if !c.queue(m) {
		return
	}
	timer := c.config.Clock.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-m.done:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// queue hands the claim to a recorder. When too many wait, the row stays as it is: it says running, its
// owner knows better, and without the owner the outcome counts as unknown.
func (c *Claims) queue(m *claim) bool {
	select {
	case c.recording <- m:
		return true
	default:
		return false
	}
}

// Unrecorded counts the answers that wait for their record.
func (c *Claims) Unrecorded() int { return len(c.recording) }

// Run records answers and clears old claims away until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	ends := make(chan struct{})
	for range recorders {
		go func() {
			c.recordAll(ctx)
			ends <- struct{}{}
		}()
	}
	err := c.clearer.Run(ctx)
	for range recorders {
		<-ends
	}
	return err
}

func (c *Claims) recordAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.recording:
			c.recordOne(ctx, m)
		}
	}
}

// recordOne writes until the row says what happened, or another's row is there.
func (c *Claims) recordOne(ctx context.Context, m *claim) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := c.write(ctx, m)
		if err == nil || turmericwall.IsConflict(err) {
			break
		}
		pause(ctx, c.config.Clock, recordAgain)
	}
	if m.done != nil {
		m.done <- ctx.Err()
	}
}

func pause(ctx context.Context, clock clockwork.Clock, span time.Duration) {
	timer := clock.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// expired tells whether a claim is past its lifetime.
func expired(value []byte, now time.Time) bool {
	r, err := decode(value)
	return err == nil && now.After(r.At.Add(lifetime))
}
