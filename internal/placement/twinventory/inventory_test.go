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

// engines keep a prompt each, but for those that don't answer.
type engines struct {
	turmericwall.Upstreams
	mu     sync.Mutex
	silent map[string]bool
	kept   map[string][]turmericwall.KeptPrompt
	// asked are the asks under way, most the most of them so far.
	asked, most int
}

func (e *engines) begin(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked += n
	e.most = max(e.most, e.asked)
}

func (e *engines) Kept(ctx context.Context, to turmericwall.Upstream) ([]turmericwall.KeptPrompt, error) {
	e.begin(1)
	defer e.begin(-1)
	if e.silent[to.ID] {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	return []turmericwall.KeptPrompt{{Subject: "of " + to.ID, Tokens: 5000}}, nil
}

func (e *engines) keeps(_ string, engine turmericwall.UpstreamKey, prompts []turmericwall.KeptPrompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept[engine.ID] = prompts
}

func (e *engines) told() map[string][]turmericwall.KeptPrompt {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := make(map[string][]turmericwall.KeptPrompt)
	for id, prompts := range e.kept {
		kept[id] = prompts
	}
	return kept
}

// A daemon becomes the leader after all lost power. One engine is dark; what the others keep is known at once all the
// same. Engines that read prompts, or leave, are not asked.
func TestADarkEngineDoesNotHoldTheOthersUp(t *testing.T) {
	g := NewWithT(t)
	e := &engines{silent: map[string]bool{"dark": true}, kept: make(map[string][]turmericwall.KeptPrompt)}
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
		Upstreams: e, Keeps: e.keeps, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	g.Consistently(e.told, "50ms").Should(BeEmpty())
	i.Want()
	g.Eventually(e.told, "200ms").Should(Equal(map[string][]turmericwall.KeptPrompt{"a": {{Subject: "of a", Tokens: 5000}}}))
	time.Sleep(300 * time.Millisecond)
	stop()
	g.Eventually(ended, "1s").Should(Receive())
}

// There are thousands of engines. Asked all at once, they would take a connection each from a daemon with a few thousand
// descriptors.
func TestManyEnginesAreAskedSomeAtATime(t *testing.T) {
	g := NewWithT(t)
	e := &engines{kept: make(map[string][]turmericwall.KeptPrompt)}
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
		Upstreams: e, Keeps: e.keeps, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	i.Want()
	g.Eventually(func() int { return len(e.told()) }, "5s").Should(Equal(1000))
	stop()
	g.Eventually(ended, "1s").Should(Receive())
	g.Expect(e.most).To(BeNumerically("<=", 64))
}
