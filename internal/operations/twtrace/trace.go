// Package twtrace keeps the log lines of recent requests in memory. The operators' listener reads them to explain one
// request.
package twtrace

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	maxRequests        = 4096
	maxLinesPerRequest = 32
)

// Trace holds the lines of the most recent requests. Requests and lines per request are bounded.
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

// Add records a line of the request; lines beyond the bound per request are dropped.
func (t *Trace) Add(request string, line Line) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines, _ := t.requests.Get(request)
	if len(lines) < maxLinesPerRequest {
		t.requests.Add(request, append(lines, line))
	}
}

// Lines returns the recorded lines of the request, oldest first; nil if there are none.
func (t *Trace) Lines(request string) []Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines, _ := t.requests.Peek(request)
	return append([]Line(nil), lines...)
}
