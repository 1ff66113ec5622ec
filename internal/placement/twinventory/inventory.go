// Package twinventory asks engines which prompts they keep when this daemon becomes the leader.
package twinventory

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// askLimit ends one ask: a leader decides from 200 ms after it has taken the lease on.
	askLimit = 250 * time.Millisecond
	// mostAsked is how many engines are asked at the same time: each ask opens a connection.
	mostAsked = 64
)

// Config says whom to ask and whom to tell.
type Config struct {
	Services  func() []turmericwall.ServicePlan
	Engines   func(service string) []turmericwall.Upstream
	Upstreams turmericwall.Upstreams
	// Keeps takes what an engine keeps.
	Keeps    func(service string, engine turmericwall.UpstreamKey, prompts []turmericwall.KeptPrompt)
	Recorder turmericwall.Recorder
}

// Inventory asks the engines.
type Inventory struct {
	config Config
	wanted chan struct{}
}

// New returns an inventory; nothing is asked before Run and Want.
func New(config Config) *Inventory { return &Inventory{config: config, wanted: make(chan struct{}, 1)} }

// Want has the engines asked once.
//
// A new leader knows nothing of the callers that its predecessor served. After a loss of power they all come back at once;
// their prompts are still kept, and would be read again before those of fresh calls.
func (i *Inventory) Want() {
	select {
	case i.wanted <- struct{}{}:
	default:
	}
}

// Run asks whenever that is wanted until ctx ends.
func (i *Inventory) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-i.wanted:
		}
		i.askAll(ctx)
	}
}

// askAll asks all engines that answer, some at a time, and returns when all have answered or their time is over.
func (i *Inventory) askAll(ctx context.Context) {
	free := make(chan struct{}, mostAsked)
	for _, engine := range i.answerers() {
		free <- struct{}{}
		go func() {
			i.ask(ctx, engine)
			<-free
		}()
	}
	for range mostAsked {
		free <- struct{}{}
	}
}

// answerers are the decode engines of all services that stay.
func (i *Inventory) answerers() []turmericwall.Upstream {
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

func (i *Inventory) ask(ctx context.Context, engine turmericwall.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	prompts, err := i.config.Upstreams.Kept(ctx, engine)
	if err != nil {
		i.config.Recorder.Record(turmericwall.EventEngineUnreachable).Str("upstream", engine.ID).Err(err).Send()
		return
	}
	i.config.Keeps(engine.Service, engine.Key(), prompts)
}
