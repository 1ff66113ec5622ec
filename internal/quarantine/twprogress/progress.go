// Package twprogress remembers on which parts of prompts engines have written lately.
package twprogress

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
)

// maxParts bounds the memory: about 100 bytes a part. The parts that were used longest ago go first.
const maxParts = 2048

// Progress holds when an engine last wrote on each part. It is safe for concurrent use.
type Progress struct {
	mu    sync.Mutex
	parts *simplelru.LRU[part, time.Time]
}

type part struct{ service, name string }

// New returns a memory without parts.
func New() *Progress {
	parts, _ := simplelru.NewLRU[part, time.Time](maxParts, nil)
	return &Progress{parts: parts}
}

// Record records that an engine wrote on the input's parts.
func (p *Progress) Record(at time.Time, input turmericwall.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range input.Parts {
		p.parts.Add(part{service: input.Service, name: name}, at)
	}
}

// Last returns when an engine last wrote on a part; ok is false if that isn't known.
func (p *Progress) Last(service, name string) (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts.Peek(part{service: service, name: name})
}
