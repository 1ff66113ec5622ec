package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// prefillEngines is a minimal model of prefill engines: each reads one prompt after another, silent ones read none.
type prefillEngines struct {
	allocator *twallocator.Allocator
	silent    map[string]bool
	readAt    map[string]time.Time
	ends      map[string]time.Time
	placed    map[string]int
}

// place places one call at the time and reports the prefills that have ended before.
func (p *prefillEngines) place(at time.Time, id string) {
	for call, end := range p.ends {
		if !end.After(at) {
			p.allocator.ApplyUpdate(end, turmericwall.PlacementUpdate{ID: call, Running: true, Prefilled: true, PrefillMillis: 100})
			delete(p.ends, call)
		}
	}
	p.allocator.Enqueue(at, placeRequest(id, at, 4000, 100))
	for _, placement := range p.allocator.Decide(at).Placed {
		engine := placement.Prefill.ID
		p.placed[engine]++
		if p.silent[engine] {
			continue
		}
		begin := at
		if busy := p.readAt[engine]; busy.After(begin) {
			begin = busy
		}
		p.readAt[engine] = begin.Add(100 * time.Millisecond)
		p.ends[placement.ID] = p.readAt[engine]
	}
}

// Guards against prompts that are lost on a silent prefill engine, which looked idle once its predicted end had passed.
func TestSilentPrefillEngineGetsNoFurtherPrompts(t *testing.T) {
	g := NewWithT(t)
	p := &prefillEngines{
		allocator: newAllocator(4, 12), silent: map[string]bool{"p01": true}, readAt: make(map[string]time.Time),
		ends: make(map[string]time.Time), placed: make(map[string]int),
	}
	for i := range 100 {
		p.place(start.Add(time.Duration(i)*30*time.Millisecond), fmt.Sprint(i))
	}
	g.Expect(p.placed["p01"]).To(BeNumerically("<=", 3), "placed: %v", p.placed)
}
