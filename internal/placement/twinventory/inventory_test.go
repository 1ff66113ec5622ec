package twinventory_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/placement/twinventory"
)

// engines have one cached prompt each, except for the unresponsive ones.
type engines struct {
	turmericwall.UpstreamClient
	mu              sync.Mutex
	unresponsive    map[string]bool
	recordedPrompts map[string][]turmericwall.CachedPrompt
	// active is the number of queries under way, maxActive the highest number so far.
	active, maxActive int
}

func (e *engines) addActive(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active += n
	e.maxActive = max(e.maxActive, e.active)
}

func (e *engines) CachedPrompts(ctx context.Context, to turmericwall.Upstream) ([]turmericwall.CachedPrompt, error) {
	e.addActive(1)
	defer e.addActive(-1)
	if e.unresponsive[to.ID] {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	return []turmericwall.CachedPrompt{{Subject: "of " + to.ID, Tokens: 5000}}, nil
}

func (e *engines) record(_ string, engine turmericwall.UpstreamKey, prompts []turmericwall.CachedPrompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordedPrompts[engine.ID] = prompts
}

func (e *engines) recorded() map[string][]turmericwall.CachedPrompt {
	e.mu.Lock()
	defer e.mu.Unlock()
	recorded := make(map[string][]turmericwall.CachedPrompt)
	for id, prompts := range e.recordedPrompts {
		recorded[id] = prompts
	}
	return recorded
}

// A daemon becomes the leader after a power failure and one engine does not answer. The prompts cached by the others
// must be recorded without delay. Prefill engines and leaving engines are not queried.
func TestAnUnresponsiveEngineDoesNotDelayTheOthers(t *testing.T) {
	g := NewWithT(t)
	e := &engines{
		unresponsive:    map[string]bool{"dark": true},
		recordedPrompts: make(map[string][]turmericwall.CachedPrompt),
	}
	i := twinventory.New(twinventory.Config{
		Services: func() []turmericwall.ServicePlan {
			return []turmericwall.ServicePlan{{Name: "plain"}, {Name: "s", Engine: &turmericwall.EnginePlan{}}}
		},
		Engines: func(string) []turmericwall.Upstream {
			return []turmericwall.Upstream{
				{ID: "dark", Role: turmericwall.RoleDecode},
				{ID: "a", Role: turmericwall.RoleDecode},
				{ID: "b", Role: turmericwall.RoleDecode, Leaving: true},
				{ID: "c", Role: turmericwall.RolePrefill},
			}
		},
		Upstreams: e, RecordCachedPrompts: e.record, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	g.Consistently(e.recorded, "50ms").Should(BeEmpty())
	i.RequestRefresh()
	g.Eventually(e.recorded, "200ms").Should(Equal(map[string][]turmericwall.CachedPrompt{
		"a": {{Subject: "of a", Tokens: 5000}},
	}))
	time.Sleep(300 * time.Millisecond)
	stop()
	g.Eventually(done, "1s").Should(Receive())
}

// There may be thousands of engines. Queried all at once, they would take a connection each from a daemon that is
// limited to a few thousand descriptors.
func TestQueriesStayWithinTheConcurrencyLimit(t *testing.T) {
	g := NewWithT(t)
	e := &engines{recordedPrompts: make(map[string][]turmericwall.CachedPrompt)}
	i := twinventory.New(twinventory.Config{
		Services: func() []turmericwall.ServicePlan {
			return []turmericwall.ServicePlan{{Name: "s", Engine: &turmericwall.EnginePlan{}}}
		},
		Engines: func(string) []turmericwall.Upstream {
			var list []turmericwall.Upstream
			for n := range 1000 {
				list = append(list, turmericwall.Upstream{ID: fmt.Sprint(n), Role: turmericwall.RoleDecode})
			}
			return list
		},
		Upstreams: e, RecordCachedPrompts: e.record, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	i.RequestRefresh()
	g.Eventually(func() int { return len(e.recorded()) }, "5s").Should(Equal(1000))
	stop()
	g.Eventually(done, "1s").Should(Receive())
	g.Expect(e.maxActive).To(BeNumerically("<=", 64))
}

// Guards against a new leader that queries ten thousand engines instead of placing calls. The engines that are used
// first in each zone must be among the queried ones.
func TestQueriedEnginesAreBoundedAndSpreadOverZones(t *testing.T) {
	g := NewWithT(t)
	e := &engines{recordedPrompts: make(map[string][]turmericwall.CachedPrompt)}
	i := twinventory.New(twinventory.Config{
		Services: func() []turmericwall.ServicePlan {
			return []turmericwall.ServicePlan{{Name: "s", Engine: &turmericwall.EnginePlan{}}}
		},
		Engines: func(string) []turmericwall.Upstream {
			var list []turmericwall.Upstream
			for n := range 10_000 {
				zone := "small"
				if n >= 100 {
					zone = fmt.Sprint("z", n%4)
				}
				list = append(list, turmericwall.Upstream{
					ID: fmt.Sprintf("e%05d", n), Zone: zone, Role: turmericwall.RoleDecode,
				})
			}
			return list
		},
		Upstreams: e, RecordCachedPrompts: e.record, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	i.RequestRefresh()
	g.Eventually(func() int { return len(e.recorded()) }, "5s").Should(Equal(1024))
	stop()
	g.Eventually(done, "1s").Should(Receive())
	recorded := e.recorded()
	for n := range 900 {
		g.Expect(recorded).To(HaveKey(fmt.Sprintf("e%05d", n)))
	}
}
