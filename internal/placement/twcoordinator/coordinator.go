// Package twcoordinator runs the books of all services for the calls of one or many daemons.
package twcoordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twbooks"
)

// Config says what a coordinator decides on.
type Config struct {
	Tuning twbooks.Tuning
	// Upstreams returns the known upstreams of a service.
	Upstreams func(service string) []turmericwall.Upstream
	// Away tells that an engine is changing its role and takes no work.
	Away func(now time.Time, engine turmericwall.Upstream) bool
	// Open tells that an engine takes a call now.
	Open func(engine turmericwall.UpstreamKey) bool
	// Keeping tells that this daemon places the calls of all.
	Keeping func() bool
	// Service returns the operator's plan of a service.
	Service func(service string) (turmericwall.ServicePlan, bool)
	// Quotas is charged for each call that is placed here.
	Quotas turmericwall.QuotaMeter
}

// Coordinator gives the books their time, their input and a lock.
type Coordinator struct {
	config   Config
	mu       sync.Mutex
	services map[string]*desk
	// charged are the placed calls that were taken from quotas.
	charged map[string]charge
	// kept tells that this daemon was the leader at the last look, and learnedAt when a new leader's books are whole.
	kept      bool
	learnedAt time.Time
}

// desk is one service's books and those who wait for a decision.
type desk struct {
	books *twbooks.Books
	waits map[string]chan decision
	timer *time.Timer
	// decidedAt is when the books last decided.
	decidedAt time.Time
}

// charge is what a placed call was taken for.
type charge struct {
	account string
	units   float64
	at      time.Time
}

// chargeLimit is how long a charge can be given back.
const chargeLimit = 30 * time.Second

type decision struct {
	placement turmericwall.Placement
	verdict   *twbooks.Refusal
}

// New returns a coordinator without books; they are begun with the first call of a service.
func New(config Config) *Coordinator {
	return &Coordinator{config: config, services: make(map[string]*desk), charged: make(map[string]charge)}
}

// Place takes one call from its account's quota and waits for the decision on it.
func (c *Coordinator) Place(ctx context.Context, ask turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	if err := c.charge(ask); err != nil {
		return turmericwall.Placement{}, err
	}
	placement, err := c.await(ctx, ask)
	if ask.Units > 0 {
		c.settle(ask, err)
	}
	return placement, err
}

// charge takes the call from its account's quota: of all daemons as the leader, else of this daemon's part, since no leader has
// answered for the call.
func (c *Coordinator) charge(ask turmericwall.PlaceAsk) error {
	switch {
	case ask.Units <= 0:
		return nil
	case c.config.Keeping():
		return c.config.Quotas.Charge(ask.Account, ask.Units)
	default:
		return c.config.Quotas.ChargeAlone(ask.Account, ask.Units)
	}
}

// settle gives the units of a refused call back, and remembers those of a placed one.
func (c *Coordinator) settle(ask turmericwall.PlaceAsk, err error) {
	if err != nil {
		c.config.Quotas.Refund(ask.Account, ask.Units)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charged[ask.ID] = charge{account: ask.Account, units: ask.Units, at: time.Now()}
}

// refund gives the units of a placed call back when it did not run.
func (c *Coordinator) refund(end turmericwall.PlacementEnd) {
	if end.Running {
		return
	}
	c.mu.Lock()
	taken, ok := c.charged[end.ID]
	delete(c.charged, end.ID)
	c.mu.Unlock()
	if ok && end.NotRun {
		c.config.Quotas.Refund(taken.account, taken.units)
	}
}

func (c *Coordinator) await(ctx context.Context, ask turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	answer := c.ask(ask)
	select {
	case d := <-answer:
		return d.placement, problemOf(d.verdict)
	case <-ctx.Done():
		c.withdraw(ask)
		return turmericwall.Placement{}, turmericwall.NewProblem(turmericwall.KindCancelled,
			"the caller left or its time is over", "call again")
	}
}

// Finish takes what happened to a placed call.
func (c *Coordinator) Finish(end turmericwall.PlacementEnd) {
	c.refund(end)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.desk(end.Service)
	c.refresh(now, end.Service, d)
	d.books.ApplyUpdate(now, end)
	c.decide(now, end.Service, d)
}

// Lost takes back what an owner holds, because the daemon is gone.
func (c *Coordinator) Lost(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.services {
		d.books.ReleaseOwner(owner)
	}
}

// Adopt takes a call that another placed.
func (c *Coordinator) Adopt(run turmericwall.PlacedRun) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.desk(run.Ask.Service)
	c.refresh(now, run.Ask.Service, d)
	d.books.Adopt(now, run)
}

// Keeps takes what an engine says that it keeps.
func (c *Coordinator) Keeps(service string, engine turmericwall.UpstreamKey, prompts []turmericwall.KeptPrompt) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.desk(service)
	c.refresh(now, service, d)
	d.books.RecordCachedPrompts(now, engine, prompts)
}

// Keep forgets the calls of all owners but one, when this daemon is no longer the leader.
func (c *Coordinator) Keep(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.services {
		d.books.ReleaseOtherOwners(owner)
	}
}

// Sweep forgets calls that must have ended long ago, because their end was never told.
func (c *Coordinator) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.services {
		d.books.Sweep(now)
	}
	for id, taken := range c.charged {
		if now.Sub(taken.at) > chargeLimit {
			delete(c.charged, id)
		}
	}
}

// Waiting is how many calls of the service wait.
func (c *Coordinator) Waiting(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.desk(service).books.Waiting()
}

// Need is what the service's calls ask of the engines.
func (c *Coordinator) Need(service string) turmericwall.EngineNeed {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.desk(service).books.Need(now)
}

func (c *Coordinator) ask(ask turmericwall.PlaceAsk) <-chan decision {
	now := time.Now()
	answer := make(chan decision, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.desk(ask.Service)
	d.waits[ask.ID] = answer
	d.books.Enqueue(now, ask)
	c.decide(now, ask.Service, d)
	return answer
}

func (c *Coordinator) withdraw(ask turmericwall.PlaceAsk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.desk(ask.Service)
	delete(d.waits, ask.ID)
	d.books.Withdraw(ask.ID)
}

// decide lets the books decide and hands the outcomes to those who wait; the lock is held.
func (c *Coordinator) decide(now time.Time, service string, d *desk) {
	if d.books.Waiting() > crowd && now.Sub(d.decidedAt) < crowdPause {
		c.later(crowdPause, service, d)
		return
	}
	c.refresh(now, service, d)
	if now.Before(c.learnedAt) {
		c.later(c.learnedAt.Sub(now), service, d)
		return
	}
	d.decidedAt = now
	outcome := d.books.Decide(now)
	for _, p := range outcome.Placed {
		d.tell(p.ID, decision{placement: p})
	}
	for i := range outcome.Refused {
		d.tell(outcome.Refused[i].ID, decision{verdict: &outcome.Refused[i]})
	}
	if !outcome.NextAt.IsZero() {
		c.later(outcome.NextAt.Sub(now), service, d)
	}
}

// later has the books decide again after the span, unless that is under way; the lock is held.
func (c *Coordinator) later(span time.Duration, service string, d *desk) {
	if d.timer == nil {
		d.timer = time.AfterFunc(span, func() { c.tick(service) })
	}
}

// When more than crowd calls wait, the books decide once in crowdPause and not at each call and each end: each decision
// weighs all that wait, and a leader with a fifth of a core had no processor left for its beats.
const (
	crowd      = 12
	crowdPause = 8 * time.Millisecond
)

// learnSpan is how long a new leader waits before it decides: the others hear of it and tell it of their calls under way
// within 150 ms. Before, it would fill engines that it takes for empty.
const learnSpan = 200 * time.Millisecond

// refresh gives the books the newest plan and list of engines.
func (c *Coordinator) refresh(now time.Time, service string, d *desk) {
	if plan, ok := c.config.Service(service); ok && plan.Engine != nil {
		d.books.SetPlan(*plan.Engine)
	}
	keeping := c.config.Keeping()
	if keeping && !c.kept {
		c.learnedAt = now.Add(learnSpan)
	}
	c.kept = keeping
	d.books.SetPartial(!keeping)
	d.books.SetEngines(now, c.engines(now, service))
}

// engines lists the service's engines as the books see them: those that change their role have none for now, and those that
// take no call now get no new work.
func (c *Coordinator) engines(now time.Time, service string) []turmericwall.Upstream {
	list := c.config.Upstreams(service)
	copied := false
	for i, u := range list {
		away, open := c.config.Away(now, u), c.config.Open(u.Key())
		if !away && open {
			continue
		}
		if !copied {
			list = slices.Clone(list)
			copied = true
		}
		if away {
			list[i].Role = ""
		}
		list[i].Leaving = u.Leaving || !open
	}
	return list
}

func (c *Coordinator) tick(service string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.desk(service)
	d.timer = nil
	c.decide(now, service, d)
}

func (c *Coordinator) desk(service string) *desk {
	d, ok := c.services[service]
	if !ok {
		d = &desk{books: twbooks.New(c.config.Tuning), waits: make(map[string]chan decision)}
		c.services[service] = d
	}
	return d
}

func (d *desk) tell(id string, outcome decision) {
	answer, ok := d.waits[id]
	if !ok {
		return
	}
	delete(d.waits, id)
	answer <- outcome
}

func problemOf(v *twbooks.Refusal) error {
	if v == nil {
		return nil
	}
	return turmericwall.Refused(turmericwall.Refusal{Attempt: v.ID, Reason: v.Reason, RetryAt: v.RetryAt, Never: v.Permanent})
}
