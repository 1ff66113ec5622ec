// Package twcoordinator places the model calls of all services: on the leader the calls of all daemons, on any other
// daemon its own calls while no leader answers. It gives each service's allocator the time, the plan and the list of
// engines, and passes its decisions to the waiting calls.
package twcoordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
	"github.com/turmericwall/turmericwall/internal/quarantine/twrunregistry"
	"github.com/turmericwall/turmericwall/internal/quarantine/twturns"
)

// Config holds the inputs of a coordinator.
type Config struct {
	// Tuning is passed to the allocator of each service.
	Tuning twallocator.Tuning
	// Upstreams returns the known upstreams of a service, ordered by id. A list is replaced and never changed.
	Upstreams func(service string) []turmericwall.Upstream
	// ChangingRole returns the ids of the engines that are changing their role and take no calls.
	ChangingRole func(now time.Time) []string
	// RefusingCalls returns the upstreams that accept no calls now.
	RefusingCalls func() []turmericwall.UpstreamKey
	// IsLeader reports whether this daemon is the leader, which places the calls of all daemons.
	IsLeader func() bool
	// Service returns the operator's plan of a service.
	Service func(service string) (turmericwall.ServicePlan, bool)
	// Quotas is charged for each call that is placed here.
	Quotas turmericwall.QuotaMeter
	// Quarantine judges the input of calls; it may be nil.
	Quarantine turmericwall.CallQuarantine
	// RefreshEvidence learns what other daemons and the store know of input that ends upstreams; it may be nil.
	RefreshEvidence func(ctx context.Context)
	// Weights returns the weights of client accounts in the shares of engines, and the version of the plan that they are for;
	// accounts that are not listed have weight 1. The map is replaced and never changed. Weights may be nil, so that all are
	// equal.
	Weights func() (planVersion int64, weights map[string]float64)
	// FindVersion returns the software version that began a stream of the service, which is taken up at the instant; ok is false if it isn't
	// known.
	FindVersion func(service, stream string, takenUpAt twboottime.Instant) (version turmericwall.SoftwareVersion, ok bool)
}

// Coordinator places calls with one allocator per service. It is safe for concurrent use.
type Coordinator struct {
	config   Config
	mu       sync.Mutex
	services map[string]*serviceState
	// charges are the units that were taken from quotas, by the id of the placed call.
	charges map[string]charge
	// wasLeader is set when this daemon was the leader at the last refresh. decideFrom is when a new leader begins to
	// place calls.
	wasLeader  bool
	decideFrom time.Time
	// turns let calls with suspected input run one at a time.
	turns *twturns.Turns
	// runs are the runs under way, each of which may end its upstreams.
	runs *twrunregistry.Registry
}

// serviceState is one service's allocator and the calls that wait for a decision.
type serviceState struct {
	allocator *twallocator.Allocator
	// engines is the list of engines that the allocator has.
	engines []turmericwall.Upstream
	pending map[string]chan decision
	// weightsVersion is the version of the plan that the allocator has the accounts' weights of.
	weightsVersion int64
	timer          *time.Timer
	// lastDecisionAt is when the allocator last decided.
	lastDecisionAt time.Time
}

// charge is what was taken from an account's quota for a placed call.
type charge struct {
	account   string
	units     float64
	chargedAt time.Time
}

// refundWindow is how long a charge can be refunded.
const refundWindow = 30 * time.Second

// decision is the outcome for one call; refusal is nil when the call was placed.
type decision struct {
	placement turmericwall.Placement
	refusal   *twallocator.Refusal
}

// New returns a coordinator without allocators. A service's allocator is created with its first call.
func New(config Config) *Coordinator {
	return &Coordinator{
		config: config, services: make(map[string]*serviceState), charges: make(map[string]charge), turns: twturns.New(),
		runs: twrunregistry.New(),
	}
}

// Place charges the call to its account's quota and blocks until the call is placed or refused, or ctx ends. The error
// is a *Problem. The units of a call that was not placed are refunded.
func (c *Coordinator) Place(ctx context.Context, request turmericwall.PlaceRequest) (turmericwall.Placement, error) {
	request, err := c.requireVersion(ctx, request)
	if err != nil {
		return turmericwall.Placement{}, err
	}
	if err := c.beginRun(ctx, request); err != nil {
		return turmericwall.Placement{}, err
	}
	if request.Turn {
		c.runs.Place(time.Now(), request.ID, request.Target)
		return turmericwall.Placement{ID: request.ID}, nil
	}
	placement, err := c.placeCharged(ctx, request)
	if err != nil {
		c.endRun(turmericwall.PlacementUpdate{ID: request.ID})
		return placement, err
	}
	c.recordPlaced(request.ID, placement)
	return placement, nil
}

// placeCharged is Place for a call that may run.
func (c *Coordinator) placeCharged(
	ctx context.Context, request turmericwall.PlaceRequest,
) (turmericwall.Placement, error) {
	if err := c.charge(request); err != nil {
		return turmericwall.Placement{}, err
	}
	placement, err := c.awaitDecision(ctx, request)
	if request.Units > 0 {
		c.settleCharge(request, err)
	}
	return placement, err
}

// charge takes the call's units from its account's quota. Without a leader this daemon takes them from its own share.
func (c *Coordinator) charge(request turmericwall.PlaceRequest) error {
	switch {
	case request.Units <= 0:
		return nil
	case c.config.IsLeader():
		return c.config.Quotas.Charge(request.Account, request.Units)
	default:
		return c.config.Quotas.ChargeLocally(request.Account, request.Units)
	}
}

// settleCharge refunds the units of a call that was not placed, and records those of a placed one.
func (c *Coordinator) settleCharge(request turmericwall.PlaceRequest, err error) {
	if err != nil {
		c.config.Quotas.Refund(request.Account, request.Units)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charges[request.ID] = charge{account: request.Account, units: request.Units, chargedAt: time.Now()}
}

// refund refunds the units of a placed call that no engine ran.
func (c *Coordinator) refund(update turmericwall.PlacementUpdate) {
	if update.Running {
		return
	}
	c.mu.Lock()
	entry, ok := c.charges[update.ID]
	delete(c.charges, update.ID)
	c.mu.Unlock()
	if ok && update.NotRun {
		c.config.Quotas.Refund(entry.account, entry.units)
	}
}

func (c *Coordinator) awaitDecision(
	ctx context.Context, request turmericwall.PlaceRequest,
) (turmericwall.Placement, error) {
	reply := c.enqueue(request)
	select {
	case result := <-reply:
		return result.placement, refusalProblem(result.refusal)
	case <-ctx.Done():
		c.withdraw(request)
		return turmericwall.Placement{}, turmericwall.NewProblem(turmericwall.KindCancelled,
			"the caller left or its time is over", "call again")
	}
}

// ApplyUpdate applies a report on a placed call and makes the decisions that it allows.
func (c *Coordinator) ApplyUpdate(update turmericwall.PlacementUpdate) {
	c.refund(update)
	if !update.Running {
		c.endRun(update)
	}
	if plan, ok := c.config.Service(update.Service); ok && plan.Engine == nil {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(update.Service)
	c.refreshInputs(now, update.Service, s)
	s.allocator.ApplyUpdate(now, update)
	c.decide(now, update.Service, s)
}

// ReleaseOwner releases the calls of a daemon that has terminated.
func (c *Coordinator) ReleaseOwner(owner string) {
	c.endRunsOf(owner)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		s.allocator.ReleaseOwner(owner)
	}
}

// Adopt adds a call that was placed by another daemon.
func (c *Coordinator) Adopt(placed turmericwall.PlacedCall) {
	now := time.Now()
	c.adoptRun(now, placed)
	if placed.Request.Turn {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(placed.Request.Service)
	c.refreshInputs(now, placed.Request.Service, s)
	s.allocator.Adopt(now, placed)
}

// RecordCachedPrompts records the cached prompts that an engine reports.
func (c *Coordinator) RecordCachedPrompts(
	service string, engine turmericwall.UpstreamKey, prompts []turmericwall.CachedPrompt,
) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	c.refreshInputs(now, service, s)
	s.allocator.RecordCachedPrompts(now, engine, prompts)
}

// ReleaseOtherOwners releases the calls of all daemons but this one, when it is no longer the leader.
func (c *Coordinator) ReleaseOtherOwners(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		s.allocator.ReleaseOtherOwners(owner)
	}
}

// Sweep releases calls that must have ended but whose end was not reported, and expires old charges.
func (c *Coordinator) Sweep(now time.Time) {
	c.turns.Expire(now)
	c.runs.Expire(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		s.allocator.Sweep(now)
	}
	for id, entry := range c.charges {
		if now.Sub(entry.chargedAt) > refundWindow {
			delete(c.charges, id)
		}
	}
}

// Waiting returns the number of waiting calls of the service.
func (c *Coordinator) Waiting(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(service).allocator.Waiting()
}

// Shares returns the share and the use of each client account with calls of the service here.
func (c *Coordinator) Shares(service string) []turmericwall.AccountShare {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(service).allocator.Shares()
}

// EngineDemand returns the shortage and surplus of engines of each role for the service's calls.
func (c *Coordinator) EngineDemand(service string) turmericwall.EngineDemand {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(service).allocator.EngineDemand(now)
}

// Paces returns the estimated pace of the service's engines, in ascending order of their ids.
func (c *Coordinator) Paces(service string) []turmericwall.EnginePace {
	now := time.Now()
	c.mu.Lock()
	list := c.service(service).allocator.Paces(now)
	c.mu.Unlock()
	slices.SortFunc(list, func(x, y turmericwall.EnginePace) int { return strings.Compare(x.Engine, y.Engine) })
	return list
}

// PrefillErrors returns by how many milliseconds the prefills of the service's engines end after their predictions.
func (c *Coordinator) PrefillErrors(service string) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(service).allocator.PrefillErrors(time.Now())
}

// PaceDecisions returns how many placements the pace of engines decided, over all services.
func (c *Coordinator) PaceDecisions() turmericwall.PaceDecisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	var total turmericwall.PaceDecisions
	for _, s := range c.services {
		d := s.allocator.PaceDecisions()
		total.Avoided += d.Avoided
		total.Shortest += d.Shortest
		total.Moves += d.Moves
		total.RefusedMoves += d.RefusedMoves
	}
	return total
}

func (c *Coordinator) enqueue(request turmericwall.PlaceRequest) <-chan decision {
	now := time.Now()
	reply := make(chan decision, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(request.Service)
	s.pending[request.ID] = reply
	s.allocator.Enqueue(now, request)
	c.decide(now, request.Service, s)
	return reply
}

func (c *Coordinator) withdraw(request turmericwall.PlaceRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(request.Service)
	delete(s.pending, request.ID)
	s.allocator.Withdraw(request.ID)
}

// decide makes the decisions of one service and delivers them to the waiting calls; the lock is held.
func (c *Coordinator) decide(now time.Time, service string, s *serviceState) {
	if s.allocator.Waiting() > throttleThreshold && now.Sub(s.lastDecisionAt) < minDecisionInterval {
		c.scheduleDecision(minDecisionInterval, service, s)
		return
	}
	c.refreshInputs(now, service, s)
	if now.Before(c.decideFrom) {
		c.scheduleDecision(c.decideFrom.Sub(now), service, s)
		return
	}
	s.lastDecisionAt = now
	decisions := s.allocator.Decide(now)
	for _, p := range decisions.Placed {
		s.deliver(p.ID, decision{placement: p})
	}
	for i := range decisions.Refused {
		s.deliver(decisions.Refused[i].ID, decision{refusal: &decisions.Refused[i]})
	}
	if !decisions.NextAt.IsZero() {
		c.scheduleDecision(decisions.NextAt.Sub(now), service, s)
	}
}

// scheduleDecision schedules the next decision after the span, unless one is scheduled already; the lock is held.
func (c *Coordinator) scheduleDecision(span time.Duration, service string, s *serviceState) {
	if s.timer == nil {
		s.timer = time.AfterFunc(span, func() { c.runScheduledDecision(service) })
	}
}

// While more than throttleThreshold calls wait, decisions are made once per minDecisionInterval instead of at each call
// and each end. A decision evaluates all waiting calls, and without this limit a leader with a fifth of a core had no
// processor time left for its heartbeats.
const (
	throttleThreshold   = 12
	minDecisionInterval = 8 * time.Millisecond
)

// takeoverDelay is how long a new leader waits before it places calls. The other daemons notice the new leader and
// report their placed calls within 150 ms; until then busy engines would look idle.
const takeoverDelay = 200 * time.Millisecond

// refreshInputs passes the current plan, leadership and list of engines to the allocator; the lock is held.
func (c *Coordinator) refreshInputs(now time.Time, service string, s *serviceState) {
	if plan, ok := c.config.Service(service); ok && plan.Engine != nil {
		s.allocator.SetPlan(*plan.Engine)
	}
	if c.config.Weights != nil {
		if version, weights := c.config.Weights(); version != s.weightsVersion {
			s.weightsVersion = version
			s.allocator.SetWeights(weights)
		}
	}
	leading := c.config.IsLeader()
	if leading && !c.wasLeader {
		c.decideFrom = now.Add(takeoverDelay)
	}
	c.wasLeader = leading
	s.allocator.SetPartial(!leading)
	if list := c.config.Upstreams(service); !isSameList(list, s.engines) {
		s.engines = list
		s.allocator.SetEngines(now, list)
	}
	s.allocator.SetUnavailable(now, c.config.ChangingRole(now), c.config.RefusingCalls())
}

// isSameList reports whether two lists of upstreams are one. Lists are replaced and never changed, so their elements
// need no comparison, which would take longer than a decision.
func isSameList(x, y []turmericwall.Upstream) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

// runScheduledDecision makes the decisions that scheduleDecision has scheduled.
func (c *Coordinator) runScheduledDecision(service string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	s.timer = nil
	c.decide(now, service, s)
}

func (c *Coordinator) service(name string) *serviceState {
	s, ok := c.services[name]
	if !ok {
		s = &serviceState{allocator: twallocator.New(c.config.Tuning), pending: make(map[string]chan decision)}
		c.services[name] = s
	}
	return s
}

// deliver passes the decision to the call that waits for it, if it still does.
func (s *serviceState) deliver(id string, result decision) {
	reply, ok := s.pending[id]
	if !ok {
		return
	}
	delete(s.pending, id)
	reply <- result
}

func refusalProblem(r *twallocator.Refusal) error {
	if r == nil {
		return nil
	}
	return turmericwall.NewRefusalProblem(turmericwall.Refusal{
		Attempt: r.ID, Reason: r.Reason, RetryAt: r.RetryAt, Permanent: r.Permanent,
		VersionGone: r.VersionGone, Cause: r.Cause,
	})
}
