// Package twbackoff keeps for how long upstreams want no call from this daemon.
package twbackoff

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
)

// maxSpan bounds what an upstream may ask for: it may have mistaken the unit.
const maxSpan = time.Hour

// maxRetrySeconds keeps a time to come back from overflowing.
const maxRetrySeconds = 1e6

// RetryAt is when an answer says that the call may be made again; zero when it says nothing that can be read. The header holds
// seconds, which may have fractions, or a date.
func RetryAt(now time.Time, header http.Header) time.Time {
	value := strings.TrimSpace(header.Get("Retry-After"))
	if at, err := http.ParseTime(value); err == nil {
		return at
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(seconds, maxRetrySeconds) * float64(time.Second)))
}

// Backoffs hold the latest time that each upstream asked for. They have no clock.
type Backoffs struct {
	mu    sync.Mutex
	until map[turmericwall.UpstreamKey]time.Time
	// any tells that there are backoffs: usually there are none, and they are asked for each engine at each call.
	any atomic.Bool
}

// New returns backoffs of no upstream.
func New() *Backoffs { return &Backoffs{until: make(map[turmericwall.UpstreamKey]time.Time)} }

// Take notes that the upstream wants no call before the time until.
func (b *Backoffs) Take(now time.Time, upstream turmericwall.UpstreamKey, until time.Time) {
	if latest := now.Add(maxSpan); until.After(latest) {
		until = latest
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.until[upstream]) {
		b.until[upstream] = until
		b.any.Store(true)
	}
}

// Until is when the upstream takes calls again; it is zero when it takes them now.
func (b *Backoffs) Until(now time.Time, upstream turmericwall.UpstreamKey) time.Time {
	if !b.any.Load() {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := b.until[upstream]; until.After(now) {
		return until
	}
	return time.Time{}
}

// Forget drops what is over.
func (b *Backoffs) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, until := range b.until {
		if !until.After(now) {
			delete(b.until, key)
		}
	}
	b.any.Store(len(b.until) > 0)
}
