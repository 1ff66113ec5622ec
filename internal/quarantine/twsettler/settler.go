// Package twsettler settles open ends: it queries upstreams of which it isn't known whether they ended under a run, and compares
// them with the registry, until they are found alive or gone.
package twsettler

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
)

const (
	// interval is the time between two rounds, and maxQueries the number of upstreams that are queried in one.
	interval   = 500 * time.Millisecond
	maxQueries = 16
	// settleSpan is how long an end is queried. What is open then stays so for as long as it is kept.
	settleSpan = 30 * time.Second
	// registrySpan is how long an upstream may take to register its next incarnation: two heartbeats and the age of the view.
	registrySpan = 3 * time.Second
)

// Evidence is the evidence of this daemon.
type Evidence interface {
	OpenEnds() []twevidence.OpenEnd
	Settle(id twevidence.EndID, queriedAt time.Time, result turmericwall.EndResult)
}

// Config configures a Settler.
type Config struct {
	Evidence Evidence
	Check    func(ctx context.Context, run twendcheck.Run) twendcheck.Finding
	// Listed returns the registry's entry of an upstream; ok is false if there is none.
	Listed func(id string) (upstream turmericwall.Upstream, ok bool)
	// IsResponsible reports whether this daemon settles ends: the leader does, and all daemons without one.
	IsResponsible func() bool
}

// Settler settles the open ends of one daemon.
type Settler struct{ config Config }

// New returns a settler. Ends are settled only while Run runs.
func New(config Config) *Settler { return &Settler{config: config} }

// Run settles open ends until ctx ends, and returns its error.
func (s *Settler) Run(ctx context.Context) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		s.SettleOnce(ctx)
	}
}

// SettleOnce makes one round.
func (s *Settler) SettleOnce(ctx context.Context) {
	if !s.config.IsResponsible() {
		return
	}
	now := time.Now()
	settled := make(chan struct{})
	queries := 0
	for _, open := range s.config.Evidence.OpenEnds() {
		if now.Sub(open.OpenedAt) > settleSpan || queries == maxQueries {
			continue
		}
		queries++
		go func() {
			s.settle(ctx, open)
			settled <- struct{}{}
		}()
	}
	for range queries {
		<-settled
	}
}

// settle settles one end, if it can tell.
func (s *Settler) settle(ctx context.Context, open twevidence.OpenEnd) {
	listed, ok := s.config.Listed(open.Upstream.ID)
	if !ok {
		// Whoever left has ended with what it ran.
		s.config.Evidence.Settle(open.EndID, time.Now(), turmericwall.EndProved)
		return
	}
	asked := listed
	asked.StartedMillis = open.Upstream.StartedMillis
	queriedAt := time.Now()
	found := s.config.Check(ctx, twendcheck.Run{Upstream: asked, BrokenAt: queriedAt})
	result := found.Result
	if result == turmericwall.EndUnknown {
		result = compare(open, listed, found.Answered)
	}
	s.config.Evidence.Settle(open.EndID, queriedAt, result)
}

// compare returns what the registry says of an incarnation that gave no answer, or one that doesn't state its start.
func compare(open twevidence.OpenEnd, listed turmericwall.Upstream, answered bool) turmericwall.EndResult {
	switch {
	case listed.StartedMillis > open.Upstream.StartedMillis:
		return turmericwall.EndProved
	case answered && time.Since(open.OpenedAt) > registrySpan:
		return turmericwall.EndRefuted
	}
	return turmericwall.EndUnknown
}
