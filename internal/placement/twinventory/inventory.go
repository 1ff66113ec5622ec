// Package twinventory queries which prompts the decode engines have cached. A daemon does so when it becomes the
// leader, so that calls are placed where their prompts are cached.
package twinventory

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// queryTimeout limits one query. A new leader starts to decide 200 ms after it has taken the lease.
	queryTimeout = 250 * time.Millisecond
	// maxConcurrentQueries bounds the engines queried at the same time, because each query opens a connection.
	maxConcurrentQueries = 64
	// maxQueriedEngines bounds the engines that are queried, because a new leader needs its processor time for calls.
	// Engines are used in the order of their ids in each zone, so that the first ones hold the cached prompts.
	maxQueriedEngines = 1024
)

// Config holds the dependencies of an inventory.
type Config struct {
	Services  func() []turmericwall.ServicePlan
	Engines   func(service string) []turmericwall.Upstream
	Upstreams turmericwall.UpstreamClient
	// RecordCachedPrompts records the prompts that an engine has cached.
	RecordCachedPrompts func(service string, engine turmericwall.UpstreamKey, prompts []turmericwall.CachedPrompt)
	Recorder            turmericwall.Recorder
}

// Inventory queries the cached prompts of the decode engines.
type Inventory struct {
	config    Config
	requested chan struct{}
}

// New returns an inventory. Nothing is queried before Run and RequestRefresh.
func New(config Config) *Inventory {
	return &Inventory{config: config, requested: make(chan struct{}, 1)}
}

// RequestRefresh starts one query of all engines; it never blocks.
//
// A new leader does not know the callers that its predecessor served. After a power failure they all retry at once.
// Their prompts are still cached, but a leader that does not know this has them prefilled again, ahead of those of new
// calls.
func (i *Inventory) RequestRefresh() {
	select {
	case i.requested <- struct{}{}:
	default:
	}
}

// Run queries the engines whenever RequestRefresh was called, until ctx is done.
func (i *Inventory) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-i.requested:
		}
		i.queryAll(ctx)
	}
}

// queryAll queries the decode engines, at most maxConcurrentQueries at a time, and returns when each has answered or
// timed out.
func (i *Inventory) queryAll(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, engine := range firstOfEachZone(i.decodeEngines(), maxQueriedEngines) {
		slots <- struct{}{}
		go func() {
			i.query(ctx, engine)
			<-slots
		}()
	}
	for range maxConcurrentQueries {
		slots <- struct{}{}
	}
}

// firstOfEachZone returns up to limit engines, the same number of the first ones of each zone as far as there are that
// many.
func firstOfEachZone(engines []turmericwall.Upstream, limit int) []turmericwall.Upstream {
	if len(engines) <= limit {
		return engines
	}
	position := make(map[string]int)
	rounds := make([][]turmericwall.Upstream, limit)
	for _, e := range engines {
		if n := position[e.Zone]; n < limit {
			rounds[n] = append(rounds[n], e)
		}
		position[e.Zone]++
	}
	first := make([]turmericwall.Upstream, 0, limit)
	for _, round := range rounds {
		first = append(first, round[:min(len(round), limit-len(first))]...)
	}
	return first
}

// decodeEngines returns the decode engines of all services except those that are leaving.
func (i *Inventory) decodeEngines() []turmericwall.Upstream {
	var list []turmericwall.Upstream
	for _, service := range i.config.Services() {
		if service.Engine == nil {
			continue
		}
		for _, u := range i.config.Engines(service.Name) {
			if u.Role == turmericwall.RoleDecode && !u.Leaving {
				list = append(list, u)
			}
		}
	}
	return list
}

func (i *Inventory) query(ctx context.Context, engine turmericwall.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	prompts, err := i.config.Upstreams.CachedPrompts(ctx, engine)
	if err != nil {
		i.config.Recorder.Record(turmericwall.EventEngineUnreachable).Str("upstream", engine.ID).Err(err).Send()
		return
	}
	i.config.RecordCachedPrompts(engine.Service, engine.Key(), prompts)
}
