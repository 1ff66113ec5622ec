// Package twprogress remembers which requests were answered lately, and on which parts of prompts engines have written.
package twprogress

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
)

// maxParts and maxRequests bound the memory: about 100 bytes each. Those that were used longest ago go first.
const (
	maxParts    = 2048
	maxRequests = 1024
)

// Progress holds when each request and part last ran well. It is safe for concurrent use.
type Progress struct {
	mu              sync.Mutex
	parts, requests *simplelru.LRU[name, time.Time]
}

type name struct{ service, kind, text string }

// New returns an empty memory.
func New() *Progress {
	parts, _ := simplelru.NewLRU[name, time.Time](maxParts, nil)
	requests, _ := simplelru.NewLRU[name, time.Time](maxRequests, nil)
	return &Progress{parts: parts, requests: requests}
}

// Record records that an engine wrote on the input's parts.
func (p *Progress) Record(at time.Time, input turmericwall.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range input.Parts {
		p.parts.Add(name{service: input.Service, kind: twevidence.KindPart, text: part}, at)
	}
}

// RecordAnswer records that an upstream completed the answer to the input's request.
func (p *Progress) RecordAnswer(at time.Time, input turmericwall.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests.Add(name{service: input.Service, kind: twevidence.KindRequest, text: input.Request}, at)
}

// Last returns when a request or part last ran well; ok is false if that isn't known.
func (p *Progress) Last(service, kind, text string) (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := name{service: service, kind: kind, text: text}
	if kind == twevidence.KindPart {
		return p.parts.Peek(n)
	}
	return p.requests.Peek(n)
}
