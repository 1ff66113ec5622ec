// Package twendcheck tells an upstream that has ended from one that broke a single answer off: an upstream that has ended
// answers no query, neither to this daemon nor to a peer.
package twendcheck

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// checkTimeout bounds one check, as the caller of the broken answer waits for it.
	checkTimeout = 400 * time.Millisecond
	// resultValidity is how long the result of a check holds for the other answers of the upstream: they break at the same
	// time, and an upstream that ended takes longer to start again.
	resultValidity = time.Second
)

// Config configures a Checker.
type Config struct {
	// Query asks the incarnation for something cheap, through a peer if this daemon has no network path to it. The error is
	// a SendError.
	Query func(ctx context.Context, to turmericwall.Upstream) error
	// Others returns some other upstreams of the service, those first that sent something most recently. One of them must
	// answer too, on a direct path: otherwise this daemon is cut off, which it may not know yet.
	Others      func(upstream turmericwall.Upstream) []turmericwall.Upstream
	QueryDirect func(ctx context.Context, to turmericwall.Upstream) error
}

// Checker checks whether upstreams have ended. It is safe for concurrent use.
type Checker struct {
	config Config
	mu     sync.Mutex
	checks map[turmericwall.UpstreamKey]*check
}

// check is one check; ended may be read once done is closed.
type check struct {
	done      chan struct{}
	ended     bool
	expiresAt time.Time
}

// New returns a checker.
func New(config Config) *Checker {
	return &Checker{config: config, checks: make(map[turmericwall.UpstreamKey]*check)}
}

// HasEnded reports whether the upstream's process has ended, as far as this daemon can tell. Answers that break at the same
// time share one check.
func (c *Checker) HasEnded(ctx context.Context, upstream turmericwall.Upstream) bool {
	found, started := c.find(upstream.Key())
	if started {
		c.run(found, upstream)
	}
	select {
	case <-found.done:
		return found.ended
	case <-ctx.Done():
		return false
	}
}

// find returns the check of the upstream, and whether it was added now.
func (c *Checker) find(key turmericwall.UpstreamKey) (found *check, added bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, old := range c.checks {
		if now.After(old.expiresAt) {
			delete(c.checks, other)
		}
	}
	if found, ok := c.checks[key]; ok {
		return found, false
	}
	found = &check{done: make(chan struct{}), expiresAt: now.Add(resultValidity)}
	c.checks[key] = found
	return found, true
}

// run makes the check. It doesn't end with the call that started it, as other calls wait for it too. A query that breaks off
// is repeated once, since it may have been sent on a connection that broke with the answers.
func (c *Checker) run(started *check, upstream turmericwall.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	err := c.config.Query(ctx, upstream)
	if isBrokenOff(err) && ctx.Err() == nil {
		err = c.config.Query(ctx, upstream)
	}
	var sent *turmericwall.SendError
	refused := errors.As(err, &sent) && ((sent.ConnectFailed && !sent.PathLost) || sent.IncarnationReplaced)
	started.ended = ctx.Err() == nil && (refused || isBrokenOff(err)) && c.reachesOthers(ctx, upstream)
	close(started.done)
}

// reachesOthers reports whether another upstream of the service answers.
func (c *Checker) reachesOthers(ctx context.Context, upstream turmericwall.Upstream) bool {
	for _, other := range c.config.Others(upstream) {
		if c.config.QueryDirect(ctx, other) == nil {
			return true
		}
	}
	return false
}

// isBrokenOff reports whether a query was sent and its connection closed without an answer.
func isBrokenOff(err error) bool {
	var sent *turmericwall.SendError
	var timeout interface{ Timeout() bool }
	return errors.As(err, &sent) && sent.Sent && sent.Status == 0 && !sent.PathLost &&
		!(errors.As(err, &timeout) && timeout.Timeout())
}
