// Package twleader hosts the placement decisions of the engine services.
package twleader

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
)

// Leader implements turmericwall.Placer for arrivals that this daemon decides on.
//
// Each service has one leader, chosen among the live daemons. Two leaders at once, or a new one without
// the old one's reservations, cost speed only: the engines refuse what they can't hold.
type Leader struct {
	config   Config
	starting chan *group

	mu     sync.Mutex
	groups map[string]*group
}

// Config names what the leader works with.
type Config struct {
	// NewPolicy returns the decision machine for one service.
	NewPolicy func() turmericwall.Policy
	// Duties returns the services that this daemon keeps, also while no request comes.
	Duties func() []string
	// Links returns the declared links between zones.
	Links     func() []turmericwall.Link
	Engines   turmericwall.Engines
	Fleet     turmericwall.Fleet
	Peers     turmericwall.Peers
	Holder    turmericwall.AttemptHolder
	Canceller turmericwall.Canceller
	Clock     clockwork.Clock
	Recorder  turmericwall.Recorder
	Registry  metrics.Registry
}

const (
	dutyInterval   = time.Second
	startingBuffer = 64
)

// New returns a leader; it works while Run runs.
func New(config Config) *Leader {
	return &Leader{config: config, starting: make(chan *group, startingBuffer), groups: make(map[string]*group)}
}

// Place decides on the arrival.
func (k *Leader) Place(ctx context.Context, arrival turmericwall.Arrival) (turmericwall.Grant, error) {
	return k.group(arrival.Service).place(ctx, arrival)
}

// Finish releases the attempt's reservation.
func (k *Leader) Finish(ending turmericwall.Ending) {
	k.group(ending.Service).step(turmericwall.Finished{Ending: ending})
}

// OwnerLost frees what a lost daemon reserved.
func (k *Leader) OwnerLost(incarnation string) {
	for _, g := range k.all() {
		g.step(turmericwall.OwnerLost{Incarnation: incarnation})
	}
}

// Run reads reports and lets time pass until ctx ends.
func (k *Leader) Run(ctx context.Context) error {
	ticker := k.config.Clock.NewTicker(dutyInterval)
	defer ticker.Stop()
	ends := make(chan error)
	running := 0
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ends
			}
			return nil
		case g := <-k.starting:
			running++
			go func() { ends <- g.run(ctx) }()
		case <-ticker.Chan():
			for _, service := range k.config.Duties() {
				k.group(service).touch()
			}
		}
	}
}

func (k *Leader) group(service string) *group {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, ok := k.groups[service]
	if !ok {
		g = newGroup(service, k.config)
		k.groups[service] = g
		k.starting <- g
	}
	return g
}

func (k *Leader) all() []*group {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]*group, 0, len(k.groups))
	for _, g := range k.groups {
		all = append(all, g)
	}
	return all
}
