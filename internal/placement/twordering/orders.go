// Package twordering gives engines the orders that the leader's plan of roles asks for.
package twordering

import (
	"context"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twroles"
)

const (
	// planEvery is the pause between two looks at the roles.
	planEvery = 500 * time.Millisecond
	// orderLimit ends one order. It is well below a term, so that an order is answered or given up within it.
	orderLimit = 600 * time.Millisecond
)

// Config says what the orders work with.
type Config struct {
	Services  func() []turmericwall.ServicePlan
	Engines   func(service string) []turmericwall.Upstream
	Upstreams turmericwall.Upstreams
	// Fence returns the fencing number while this daemon may give orders.
	Fence func() (int64, bool)
	Need  func(service string) turmericwall.EngineNeed
	// Changed is called for an engine that accepted an order; by the time until its change is over.
	Changed  func(id string, role turmericwall.Role, until time.Time)
	Holder   string
	Tuning   twroles.Tuning
	Recorder turmericwall.Recorder
}

// Orders carries out the plans of roles of all services.
type Orders struct {
	config Config
	// mu guards the roles: calls are placed while orders are given.
	mu    sync.Mutex
	roles map[string]*twroles.Planner
}

// New returns orders; none is given before Run.
func New(config Config) *Orders {
	return &Orders{config: config, roles: make(map[string]*twroles.Planner)}
}

// Run gives the orders that are due until ctx ends.
func (o *Orders) Run(ctx context.Context) error {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if _, ok := o.config.Fence(); !ok {
			o.mu.Lock()
			clear(o.roles)
			o.mu.Unlock()
			continue
		}
		for _, service := range o.config.Services() {
			if service.Engine != nil {
				o.service(ctx, service)
			}
		}
	}
}

func (o *Orders) service(ctx context.Context, service turmericwall.ServicePlan) {
	for _, change := range o.plan(service) {
		accepted, err := o.order(ctx, change)
		o.settle(service.Name, change, accepted, err)
		entry := o.config.Recorder.Record(turmericwall.EventRoleOrdered).Str("upstream", change.Upstream.ID).
			Str("role", string(change.Role)).Int("prefills", int64(change.Prefills)).Int("decodes", int64(change.Decodes)).
			Int("readMicros", int64(change.Cost.ReadMillis*1000)).Int("answerMicros", int64(change.Cost.AnswerMillis*1000))
		if err != nil {
			entry = entry.Err(err)
		}
		if accepted {
			entry = entry.Str("accepted", "yes")
		}
		entry.Send()
	}
}

// plan asks for what it needs before it takes the lock: who places calls asks here which engines change, and holds the
// lock that Need waits for.
func (o *Orders) plan(service turmericwall.ServicePlan) []twroles.Change {
	engines, need := o.config.Engines(service.Name), o.config.Need(service.Name)
	o.mu.Lock()
	defer o.mu.Unlock()
	roles, ok := o.roles[service.Name]
	if !ok {
		roles = twroles.New(o.config.Tuning)
		o.roles[service.Name] = roles
	}
	return roles.Plan(time.Now(), *service.Engine, engines, need)
}

// settle notes how an order went. One without an answer may be carried out seconds later; the engine counts as
// changing for the roles, and goes on taking work.
func (o *Orders) settle(service string, change twroles.Change, accepted bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	roles, ok := o.roles[service]
	switch {
	case !ok || err != nil:
	case accepted:
		o.config.Changed(change.Upstream.ID, change.Role, change.Until)
	default:
		roles.DiscardChange(change.Upstream.ID)
	}
}

// order sends one order. The number of orders that the engine took so far is read first: an order that is carried
// out late, after another one, is then declined by the engine.
func (o *Orders) order(ctx context.Context, change twroles.Change) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	load, err := o.config.Upstreams.Load(ctx, change.Upstream)
	if err != nil {
		return false, err
	}
	if load.Changing || load.Role == change.Role {
		return false, nil
	}
	fence, ok := o.config.Fence()
	if !ok {
		return false, nil
	}
	return o.config.Upstreams.ChangeRole(ctx, change.Upstream, turmericwall.RoleOrder{
		Role: change.Role, Holder: o.config.Holder, Fence: fence, OrderCount: load.OrderCount,
	})
}
