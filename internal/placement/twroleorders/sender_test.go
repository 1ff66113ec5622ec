package twroleorders_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/placement/twrolechange"
	"github.com/turmericwall/turmericwall/internal/placement/twroleorders"
	"github.com/turmericwall/turmericwall/internal/placement/twroles"
)

// engines accepts role orders and implements no other call.
type engines struct {
	turmericwall.UpstreamClient
	orders      chan turmericwall.RoleOrder
	roleChanges *twrolechange.RoleChanges
	// orderErr is returned for each order.
	orderErr error
}

func (e *engines) FetchLoad(context.Context, turmericwall.Upstream) (turmericwall.EngineLoad, error) {
	return turmericwall.EngineLoad{Role: turmericwall.RolePrefill, OrderCount: 3}, nil
}

func (e *engines) ChangeRole(_ context.Context, _ turmericwall.Upstream, order turmericwall.RoleOrder) (bool, error) {
	e.orders <- order
	return e.orderErr == nil, e.orderErr
}

func startOrders(t *testing.T, e *engines, fence func() (int64, bool), onNeed func()) {
	t.Helper()
	list := []turmericwall.Upstream{
		{ID: "a", Role: turmericwall.RolePrefill},
		{ID: "b", Role: turmericwall.RolePrefill},
		{ID: "c", Role: turmericwall.RoleDecode},
	}
	s := twroleorders.New(twroleorders.Config{
		Services: func() []turmericwall.ServicePlan {
			return []turmericwall.ServicePlan{{Name: "s", Engine: &turmericwall.EnginePlan{RoleChangeMillis: 500}}}
		},
		Engines: func(string) []turmericwall.Upstream { return list }, Upstreams: e, Fence: fence,
		EngineDemand: func(string) turmericwall.EngineDemand {
			onNeed()
			return turmericwall.EngineDemand{}
		},
		OnAccepted: e.roleChanges.Add, Holder: "me", Tuning: twroles.DefaultTuning(),
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-done:
		case <-time.After(3 * time.Second):
		}
	})
}

func newEngines() *engines {
	return &engines{orders: make(chan turmericwall.RoleOrder, 10), roleChanges: twrolechange.New()}
}

// isChangingRole reports whether the engine, which still reports its old role, counts as changing it.
func (e *engines) isChangingRole(id string) bool {
	return e.roleChanges.IsChangingRole(time.Now(), turmericwall.Upstream{ID: id, Role: turmericwall.RolePrefill})
}

// Calls are placed while roles are planned. Placement holds its own lock while it checks which engines are changing.
// When planning held its lock while it queried the need from placement, both waited forever, and all callers with
// them.
func TestPlanningDoesNotDeadlockWithPlacement(t *testing.T) {
	g := NewWithT(t)
	e := newEngines()
	startOrders(t, e, func() (int64, bool) { return 7, true }, func() {
		checked := make(chan bool, 1)
		go func() { checked <- e.isChangingRole("a") }()
		<-checked
	})
	var order turmericwall.RoleOrder
	g.Eventually(e.orders, "6s").Should(Receive(&order))
	g.Expect(order).To(Equal(turmericwall.RoleOrder{
		Role: turmericwall.RoleDecode, Holder: "me", Fence: 7, OrderCount: 3,
	}))
	g.Eventually(func() bool { return e.isChangingRole("b") }, "2s").Should(BeTrue())
}

// An order without a reply may be carried out seconds later, or never. The engine must continue to get calls
// meanwhile.
func TestAnUnansweredOrderDoesNotMarkTheEngineAsChanging(t *testing.T) {
	g := NewWithT(t)
	e := newEngines()
	e.orderErr = errors.New("no answer")
	startOrders(t, e, func() (int64, bool) { return 7, true }, func() {})
	g.Eventually(e.orders, "6s").Should(Receive())
	g.Consistently(func() bool { return e.isChangingRole("b") }, "1s").Should(BeFalse())
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	g := NewWithT(t)
	e := newEngines()
	startOrders(t, e, func() (int64, bool) { return 0, false }, func() {})
	g.Consistently(e.orders, "3s").ShouldNot(Receive())
}
