// Package twtrace keeps the last log lines of recent requests, for explain.
package twtrace

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxRequests = 4096
	maxLines    = 32
)

// Trace holds a bounded number of requests.
type Trace struct {
	mu       sync.Mutex
	requests *simplelru.LRU[string, []Line]
}

// Line is one log event of a request.
type Line struct {
	At     time.Time `json:"at"`
	Event  int       `json:"event"`
	Name   string    `json:"name"`
	Fields []string  `json:"fields"`
}

// New returns an empty trace.
func New() *Trace {
	requests, _ := simplelru.NewLRU[string, []Line](maxRequests, nil)
	return &Trace{requests: requests}
}

// Add keeps the line; further ones of a request with many lines are left out.
func (t *Trace) Add(request string, line Line) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines, _ := t.requests.Get(request)
	if len(lines) < maxLines {
		t.requests.Add(request, append(lines, line))
	}
}

// Lines returns what is known of the request, oldest first.
func (t *Trace) Lines(request string) []Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines, _ := t.requests.Peek(request)
	return append([]Line(nil), lines...)
}
