package twordering_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/placement/twaway"
	"github.com/turmericwall/turmericwall/internal/placement/twordering"
	"github.com/turmericwall/turmericwall/internal/placement/twroles"
)

// engines takes orders and refuses all else.
type engines struct {
	turmericwall.Upstreams
	orders chan turmericwall.RoleOrder
	away   *twaway.Away
	// fails is what each order gets in place of an answer.
	fails error
}

func (e *engines) Load(context.Context, turmericwall.Upstream) (turmericwall.EngineLoad, error) {
	return turmericwall.EngineLoad{Role: turmericwall.RolePrefill, OrderCount: 3}, nil
}

func (e *engines) ChangeRole(_ context.Context, _ turmericwall.Upstream, order turmericwall.RoleOrder) (bool, error) {
	e.orders <- order
	return e.fails == nil, e.fails
}

func run(t *testing.T, e *engines, fence func() (int64, bool), asked func()) {
	t.Helper()
	list := []turmericwall.Upstream{
		{ID: "a", Role: turmericwall.RolePrefill}, {ID: "b", Role: turmericwall.RolePrefill}, {ID: "c", Role: turmericwall.RoleDecode},
	}
	o := twordering.New(twordering.Config{
		Services: func() []turmericwall.ServicePlan {
			return []turmericwall.ServicePlan{{Name: "s", Engine: &turmericwall.EnginePlan{RoleChangeMillis: 500}}}
		},
		Engines: func(string) []turmericwall.Upstream { return list }, Upstreams: e, Fence: fence,
		Need: func(string) turmericwall.EngineNeed {
			asked()
			return turmericwall.EngineNeed{}
		},
		Changed: e.away.Note, Holder: "me", Tuning: twroles.DefaultTuning(),
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- o.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-done:
		case <-time.After(3 * time.Second):
		}
	})
}

func newEngines() *engines {
	return &engines{orders: make(chan turmericwall.RoleOrder, 10), away: twaway.New()}
}

// isAway tells that the engine, which still shows the role that it had, is away.
func (e *engines) isAway(id string) bool {
	return e.away.Is(time.Now(), turmericwall.Upstream{ID: id, Role: turmericwall.RolePrefill})
}

// Calls are placed while the roles are planned: the books ask which engines change while they hold their own lock, and
// the plan asked the books what calls need while it held its own. Both waited for ever, and with them all callers.
func TestPlanningDoesNotWaitForPlacing(t *testing.T) {
	g := NewWithT(t)
	e := newEngines()
	run(t, e, func() (int64, bool) { return 7, true }, func() {
		answered := make(chan bool, 1)
		go func() { answered <- e.isAway("a") }()
		<-answered
	})
	var order turmericwall.RoleOrder
	g.Eventually(e.orders, "6s").Should(Receive(&order))
	g.Expect(order).To(Equal(turmericwall.RoleOrder{Role: turmericwall.RoleDecode, Holder: "me", Fence: 7, OrderCount: 3}))
	g.Eventually(func() bool { return e.isAway("b") }, "2s").Should(BeTrue())
}

// An order without an answer may be carried out seconds later, or never. The engine goes on taking work meanwhile.
func TestAnEngineThatGaveNoAnswerIsNotAway(t *testing.T) {
	g := NewWithT(t)
	e := newEngines()
	e.fails = errors.New("no answer")
	run(t, e, func() (int64, bool) { return 7, true }, func() {})
	g.Eventually(e.orders, "6s").Should(Receive())
	g.Consistently(func() bool { return e.isAway("b") }, "1s").Should(BeFalse())
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	g := NewWithT(t)
	e := newEngines()
	run(t, e, func() (int64, bool) { return 0, false }, func() {})
	g.Consistently(e.orders, "3s").ShouldNot(Receive())
}
