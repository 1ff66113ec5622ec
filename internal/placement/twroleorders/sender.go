// Package twroleorders sends role orders to engines. While this daemon is the leader, it plans the roles of each
// service's engines at short intervals and orders the engines that are due to change; no request waits for it.
package twroleorders

import (
	"context"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twroles"
)

const (
	// planInterval is the time between two plans of the roles.
	planInterval = 500 * time.Millisecond
	// orderTimeout limits one order. It is well below a term, so that an order is answered or abandoned within the
	// term.
	orderTimeout = 600 * time.Millisecond
)

// Config holds the dependencies of a Sender.
type Config struct {
	Services  func() []turmericwall.ServicePlan
	Engines   func(service string) []turmericwall.Upstream
	Upstreams turmericwall.UpstreamClient
	// Fence returns the fencing token; ok is false while this daemon does not hold the lease and must not order.
	Fence        func() (int64, bool)
	EngineDemand func(service string) turmericwall.EngineDemand
	// OnAccepted is called for an engine that accepted an order; until is when its change has finished at the latest.
	OnAccepted func(id string, role turmericwall.Role, until time.Time)
	// Holder is the name of this daemon, which each order carries with the fencing token.
	Holder   string
	Tuning   twroles.Tuning
	Recorder turmericwall.Recorder
}

// Sender plans and orders the role changes of all services.
type Sender struct {
	config Config
	// mu guards planners: calls are placed while orders are sent.
	mu       sync.Mutex
	planners map[string]*twroles.Planner
}

// New returns a Sender; no order is sent before Run.
func New(config Config) *Sender {
	return &Sender{config: config, planners: make(map[string]*twroles.Planner)}
}

// Run sends the orders that are due until ctx is done. Without the lease it discards its plans.
func (s *Sender) Run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if _, ok := s.config.Fence(); !ok {
			s.mu.Lock()
			clear(s.planners)
			s.mu.Unlock()
			continue
		}
		for _, service := range s.config.Services() {
			if service.Engine != nil {
				s.orderChanges(ctx, service)
			}
		}
	}
}

func (s *Sender) orderChanges(ctx context.Context, service turmericwall.ServicePlan) {
	for _, change := range s.planChanges(service) {
		accepted, err := s.sendOrder(ctx, change)
		s.recordOutcome(service.Name, change, accepted, err)
		entry := s.config.Recorder.Record(turmericwall.EventRoleOrdered).
			Str("upstream", change.Upstream.ID).Str("role", string(change.Role)).
			Int("prefills", int64(change.Prefills)).Int("decodes", int64(change.Decodes)).
			Int("readMicros", int64(change.Cost.PrefillMillis*1000)).
			Int("answerMicros", int64(change.Cost.DecodeMillis*1000))
		if err != nil {
			entry = entry.Err(err)
		}
		if accepted {
			entry = entry.Str("accepted", "yes")
		}
		entry.Send()
	}
}

// planChanges reads the engines and the demand before it locks mu. Placement holds a lock that EngineDemand waits for
// while it checks which engines are changing their role.
func (s *Sender) planChanges(service turmericwall.ServicePlan) []twroles.Change {
	engines, demand := s.config.Engines(service.Name), s.config.EngineDemand(service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	planner, ok := s.planners[service.Name]
	if !ok {
		planner = twroles.New(s.config.Tuning)
		s.planners[service.Name] = planner
	}
	return planner.Plan(time.Now(), *service.Engine, engines, demand)
}

// recordOutcome records whether the engine accepted the order. An order without a reply may still be carried out
// seconds later: the planner keeps counting the engine as changing, but the engine continues to get calls.
func (s *Sender) recordOutcome(service string, change twroles.Change, accepted bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	planner, ok := s.planners[service]
	switch {
	case !ok || err != nil:
	case accepted:
		s.config.OnAccepted(change.Upstream.ID, change.Role, change.Until)
	default:
		planner.DiscardChange(change.Upstream.ID)
	}
}

// sendOrder sends one order. It first reads how many orders the engine has accepted and sends that number along, so
// that the engine refuses an order that arrives late, after another one.
func (s *Sender) sendOrder(ctx context.Context, change twroles.Change) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	load, err := s.config.Upstreams.FetchLoad(ctx, change.Upstream)
	if err != nil {
		return false, err
	}
	if load.ChangingRole || load.Role == change.Role {
		return false, nil
	}
	fence, ok := s.config.Fence()
	if !ok {
		return false, nil
	}
	return s.config.Upstreams.ChangeRole(ctx, change.Upstream, turmericwall.RoleOrder{
		Role: change.Role, Holder: s.config.Holder, Fence: fence, OrderCount: load.OrderCount,
	})
}
