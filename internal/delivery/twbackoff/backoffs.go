// Package twbackoff keeps the back-offs that upstreams asked this daemon for: until when each accepts no call from it.
// The throttle consults it before each send.
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

// maxBackoff bounds the back-off that an upstream can request, because the upstream may send the wrong unit, such as
// milliseconds instead of seconds.
const maxBackoff = time.Hour

// maxRetrySeconds keeps a stated number of seconds from overflowing time.Duration.
const maxRetrySeconds = 1e6

// ParseRetryAfter parses the Retry-After header, which holds seconds, possibly with a fraction, or a date. It returns
// the zero time when the header is missing or invalid.
func ParseRetryAfter(now time.Time, header http.Header) time.Time {
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

// Backoffs holds the latest back-off of each upstream. Its callers pass the time.
type Backoffs struct {
	mu    sync.Mutex
	until map[turmericwall.UpstreamKey]time.Time
	// nonEmpty is set while there may be back-offs. Usually there are none, and each call checks every engine, so the
	// check must not need the lock.
	nonEmpty atomic.Bool
}

// New returns an empty set of back-offs.
func New() *Backoffs { return &Backoffs{until: make(map[turmericwall.UpstreamKey]time.Time)} }

// Record records that the upstream accepts no call before until. An earlier back-off that lasts longer stays.
func (b *Backoffs) Record(now time.Time, upstream turmericwall.UpstreamKey, until time.Time) {
	if latest := now.Add(maxBackoff); until.After(latest) {
		until = latest
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.until[upstream]) {
		b.until[upstream] = until
		b.nonEmpty.Store(true)
	}
}

// BackoffUntil returns when the upstream accepts calls again; zero when it is not in back-off.
func (b *Backoffs) BackoffUntil(now time.Time, upstream turmericwall.UpstreamKey) time.Time {
	if !b.nonEmpty.Load() {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if until := b.until[upstream]; until.After(now) {
		return until
	}
	return time.Time{}
}

// DiscardExpired discards expired back-offs.
func (b *Backoffs) DiscardExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, until := range b.until {
		if !until.After(now) {
			delete(b.until, key)
		}
	}
	b.nonEmpty.Store(len(b.until) > 0)
}
