package twleader

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
)

const (
	tickInterval = 20 * time.Millisecond
	pollInterval = 250 * time.Millisecond
	// idleAfter ends the polling of engines that this daemon no longer decides on.
	idleAfter = 10 * time.Second
	// warmTimeout bounds the wait for the first reports.
	warmTimeout = time.Second
)

// group hosts the decision machine of one service.
type group struct {
	service string
	config  Config
	cost    metrics.Timer

	mu           sync.Mutex
	policy       turmericwall.Policy
	waiting      map[string]chan turmericwall.Action
	idleDeadline time.Time
	warm         chan struct{}
	isWarm       bool
	polling      map[string]*poll
}

// poll is the state of reading one engine.
type poll struct {
	running  bool
	failed   bool
	sequence uint64
}

func newGroup(service string, config Config) *group {
	return &group{
		service: service,
		config:  config,
		cost:    metrics.GetOrRegisterTimer("control.placement", config.Registry),
		policy:  config.NewPolicy(),
		waiting: make(map[string]chan turmericwall.Action),
		warm:    make(chan struct{}),
		polling: make(map[string]*poll),
	}
}

// place hands the arrival to the machine and waits for its decision.
func (g *group) place(ctx context.Context, arrival turmericwall.Arrival) (turmericwall.Grant, error) {
	g.awaitWarm(ctx)
	decided := make(chan turmericwall.Action, 1)
	g.expect(arrival.Attempt, decided)
	g.step(arrival)
	select {
	case action := <-decided:
		return outcome(action)
	case <-ctx.Done():
		g.abandon(arrival.Attempt, decided)
		return turmericwall.Grant{}, ctx.Err()
	}
}

func (g *group) awaitWarm(ctx context.Context) {
	warm := g.touch()
	timer := g.config.Clock.NewTimer(warmTimeout)
	defer timer.Stop()
	select {
	case <-warm:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// touch keeps the group polling.
func (g *group) touch() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idleDeadline = g.config.Clock.Now().Add(idleAfter)
	return g.warm
}

func (g *group) expect(attempt string, decided chan turmericwall.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[attempt] = decided
}

// abandon takes back an arrival whose caller is gone. A grant that came at the same moment is released:
// else its place would stay reserved until it lapses.
func (g *group) abandon(attempt string, decided chan turmericwall.Action) {
	g.step(turmericwall.Withdrawn{Attempt: attempt})
	g.mu.Lock()
	delete(g.waiting, attempt)
	g.mu.Unlock()
	select {
	case action := <-decided:
		if _, granted := action.(turmericwall.Grant); granted {
			g.step(turmericwall.Finished{Ending: turmericwall.Ending{Service: g.service, Attempt: attempt}})
		}
	default:
	}
}

func outcome(action turmericwall.Action) (turmericwall.Grant, error) {
	switch a := action.(type) {
	case turmericwall.Grant:
		return a, nil
	case turmericwall.Refusal:
		return turmericwall.Grant{}, turmericwall.Refused(a)
	default:
		return turmericwall.Grant{}, turmericwall.NewProblem(turmericwall.KindOverloaded, "no decision", "try again")
	}
}

// step feeds the machine and hands its actions out.
func (g *group) step(event turmericwall.Event) {
	var sweeps []turmericwall.Sweep
	g.mu.Lock()
	start := g.config.Clock.Now()
	for _, action := range g.policy.Step(g.config.Clock.Now(), event) {
		switch a := action.(type) {
		case turmericwall.Grant:
			g.decide(a.Attempt, a)
		case turmericwall.Refusal:
			g.decide(a.Attempt, a)
		case turmericwall.Sweep:
			sweeps = append(sweeps, a)
		}
	}
	g.cost.Update(g.config.Clock.Since(start))
	g.mu.Unlock()
	if len(sweeps) > 0 {
		g.sweep(sweeps)
	}
}

func (g *group) decide(attempt string, action turmericwall.Action) {
	decided, ok := g.waiting[attempt]
	if !ok {
		return
	}
	delete(g.waiting, attempt)
	decided <- action
}

// run lets time pass for the machine and reads the engines until ctx ends.
func (g *group) run(ctx context.Context) error {
	tick := g.config.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	due := g.config.Clock.NewTicker(pollInterval)
	defer due.Stop()
	ends := make(chan string)
	running := g.pollAll(ctx, ends)
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ends
			}
			return nil
		case name := <-ends:
			running--
			g.polled(name, running)
		case <-tick.Chan():
			g.step(turmericwall.Tick{})
		case <-due.Chan():
			running += g.pollAll(ctx, ends)
		}
	}
}
