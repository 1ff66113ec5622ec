// Package twleader runs the placement policies of the engine services that this daemon leads. It feeds them arrivals
// from all daemons and what the engines report, and returns each decision to the daemon that asked for the placement.
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
// Each service has one leader, chosen among the live daemons. Two leaders at the same time, or a new one that does not
// know its predecessor's reservations, only cost time: the engines refuse what they have no room for.
type Leader struct {
	config Config
	// starting are new deciders, which Run runs.
	starting chan *decider

	mu       sync.Mutex
	deciders map[string]*decider
}

// Config holds the leader's dependencies.
type Config struct {
	// NewPolicy returns the policy for one service.
	NewPolicy func() turmericwall.Policy
	// LedServices returns the services that this daemon leads; it polls their engines even while no request arrives.
	LedServices func() []string
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
	keepActiveInterval = time.Second
	maxStarting        = 64
)

// New returns a leader. It polls engines only while Run runs.
func New(config Config) *Leader {
	return &Leader{config: config, starting: make(chan *decider, maxStarting), deciders: make(map[string]*decider)}
}

// Place waits for the decision on the arrival. It returns the grant, a *turmericwall.Problem for a refusal, or the
// error of ctx.
func (l *Leader) Place(ctx context.Context, arrival turmericwall.Arrival) (turmericwall.Grant, error) {
	return l.deciderFor(arrival.Service).place(ctx, arrival)
}

// Finish releases the attempt's reservation.
func (l *Leader) Finish(ending turmericwall.Ending) {
	l.deciderFor(ending.Service).step(turmericwall.AttemptEnded{Ending: ending})
}

// OwnerLost releases what the lost daemon reserved.
func (l *Leader) OwnerLost(incarnation string) {
	for _, d := range l.allDeciders() {
		d.step(turmericwall.OwnerLost{Incarnation: incarnation})
	}
}

// Run polls engines and advances the policies until ctx is done.
func (l *Leader) Run(ctx context.Context) error {
	ticker := l.config.Clock.NewTicker(keepActiveInterval)
	defer ticker.Stop()
	finished := make(chan error)
	running := 0
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-finished
			}
			return nil
		case d := <-l.starting:
			running++
			go func() { finished <- d.run(ctx) }()
		case <-ticker.Chan():
			for _, service := range l.config.LedServices() {
				l.deciderFor(service).keepActive()
			}
		}
	}
}

func (l *Leader) deciderFor(service string) *decider {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.deciders[service]
	if !ok {
		d = newDecider(service, l.config)
		l.deciders[service] = d
		l.starting <- d
	}
	return d
}

func (l *Leader) allDeciders() []*decider {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*decider, 0, len(l.deciders))
	for _, d := range l.deciders {
		all = append(all, d)
	}
	return all
}
