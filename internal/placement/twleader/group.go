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
	// idleTimeout is how long the engines of a service are polled after its last arrival here.
	idleTimeout = 10 * time.Second
	// readyTimeout limits how long an arrival waits for the first reports.
	readyTimeout = time.Second
)

// decider runs the placement policy of one service and polls its engines.
type decider struct {
	service string
	config  Config
	cost    metrics.Timer

	mu     sync.Mutex
	policy turmericwall.Policy
	// pendingDecisions are the channels of the attempts that wait for a decision.
	pendingDecisions map[string]chan turmericwall.Action
	idleDeadline     time.Time
	// ready is closed once the first round of polls has finished.
	ready   chan struct{}
	isReady bool
	polls   map[string]*poll
}

// poll is the state of polling one engine.
type poll struct {
	running      bool
	failed       bool
	lastSequence uint64
}

func newDecider(service string, config Config) *decider {
	return &decider{
		service:          service,
		config:           config,
		cost:             metrics.GetOrRegisterTimer("control.placement", config.Registry),
		policy:           config.NewPolicy(),
		pendingDecisions: make(map[string]chan turmericwall.Action),
		ready:            make(chan struct{}),
		polls:            make(map[string]*poll),
	}
}

// place passes the arrival to the policy and waits for its decision.
func (d *decider) place(ctx context.Context, arrival turmericwall.Arrival) (turmericwall.Grant, error) {
	d.awaitReady(ctx)
	decision := make(chan turmericwall.Action, 1)
	d.registerDecision(arrival.Attempt, decision)
	d.step(arrival)
	select {
	case action := <-decision:
		return grantOrError(action)
	case <-ctx.Done():
		d.withdraw(arrival.Attempt, decision)
		return turmericwall.Grant{}, ctx.Err()
	}
}

func (d *decider) awaitReady(ctx context.Context) {
	ready := d.keepActive()
	timer := d.config.Clock.NewTimer(readyTimeout)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// keepActive extends the polling of the engines. It returns the channel that is closed once they have been polled.
func (d *decider) keepActive() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idleDeadline = d.config.Clock.Now().Add(idleTimeout)
	return d.ready
}

func (d *decider) registerDecision(attempt string, decision chan turmericwall.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingDecisions[attempt] = decision
}

// withdraw removes an arrival whose caller has left. A grant made at the same time is released; its slot would
// otherwise stay reserved until the reservation expires.
func (d *decider) withdraw(attempt string, decision chan turmericwall.Action) {
	d.step(turmericwall.ArrivalWithdrawn{Attempt: attempt})
	d.mu.Lock()
	delete(d.pendingDecisions, attempt)
	d.mu.Unlock()
	select {
	case action := <-decision:
		if _, granted := action.(turmericwall.Grant); granted {
			d.step(turmericwall.AttemptEnded{Ending: turmericwall.Ending{Service: d.service, Attempt: attempt}})
		}
	default:
	}
}

func grantOrError(action turmericwall.Action) (turmericwall.Grant, error) {
	switch a := action.(type) {
	case turmericwall.Grant:
		return a, nil
	case turmericwall.Refusal:
		return turmericwall.Grant{}, turmericwall.NewRefusalProblem(a)
	default:
		return turmericwall.Grant{}, turmericwall.NewProblem(turmericwall.KindOverloaded, "no decision", "try again")
	}
}

// step passes the event to the policy and carries out the resulting actions.
func (d *decider) step(event turmericwall.Event) {
	var sweeps []turmericwall.Sweep
	d.mu.Lock()
	start := d.config.Clock.Now()
	for _, action := range d.policy.Step(d.config.Clock.Now(), event) {
		switch a := action.(type) {
		case turmericwall.Grant:
			d.deliver(a.Attempt, a)
		case turmericwall.Refusal:
			d.deliver(a.Attempt, a)
		case turmericwall.Sweep:
			sweeps = append(sweeps, a)
		}
	}
	d.cost.Update(d.config.Clock.Since(start))
	d.mu.Unlock()
	if len(sweeps) > 0 {
		d.sweep(sweeps)
	}
}

func (d *decider) deliver(attempt string, action turmericwall.Action) {
	decision, ok := d.pendingDecisions[attempt]
	if !ok {
		return
	}
	delete(d.pendingDecisions, attempt)
	decision <- action
}

// run ticks the policy and polls the engines until ctx is done.
func (d *decider) run(ctx context.Context) error {
	ticker := d.config.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	pollTicker := d.config.Clock.NewTicker(pollInterval)
	defer pollTicker.Stop()
	finished := make(chan string)
	running := d.startPolls(ctx, finished)
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-finished
			}
			return nil
		case name := <-finished:
			running--
			d.finishPoll(name, running)
		case <-ticker.Chan():
			d.step(turmericwall.Tick{})
		case <-pollTicker.Chan():
			running += d.startPolls(ctx, finished)
		}
	}
}
