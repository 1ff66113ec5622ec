// Package twretries bounds the retries of all daemons together to a share of the calls. The relay and the delivery take
// a retry from the budget before each further send of a call.
package twretries

import (
	"sync"
	"time"
)

// usedShare is the share of the allowed retries that is used. Each daemon counts its own calls and its windows slide,
// so that the sum over all daemons may be off by what arrives within one bucket.
const usedShare = 0.8

// A window is counted in bucketCount-spareBucketCount buckets. The spare ones are needed because the newest bucket is
// incomplete, and because a retry may arrive at the upstream one window later than it was counted here: without them,
// two retries 9.6 s apart fell into different windows of 10 s here and into the same one at the upstream.
const (
	bucketCount      = 20
	spareBucketCount = 2
)

// Config sets the bounds of a Budget.
type Config struct {
	// Ratio is the number of retries that each call earns.
	Ratio float64
	// Slack is the number of retries beyond those earned that all daemons together may make in one window.
	Slack float64
	// WindowMillis is the length of the sliding window.
	WindowMillis int64
	// Restarted is set when an earlier incarnation of this daemon may have spent its part of the slack within the window.
	Restarted bool
}

// Budget counts the calls and retries of one daemon for each service.
//
// Without a budget, failures at peak load cause retries that make more calls fail, and the goodput does not recover
// when the fault ends. Retries bounded to a share of the new calls can't amplify themselves.
type Budget struct {
	mu       sync.Mutex
	config   Config
	services map[string]*window
	// startedAt is the first time passed to the budget. Buckets are counted from it by the monotonic clock: a jump of the
	// wall clock by more than a window would empty the window, and the daemons would retry twice as much as allowed.
	startedAt time.Time
}

// window is the ring of buckets of one service.
type window struct {
	calls, retries [bucketCount]int
	// daemonCounts holds, for each bucket, the largest number of daemons that shared the slack.
	daemonCounts [bucketCount]int
	// newest is the number of the newest bucket; its index in the ring is newest modulo bucketCount.
	newest int64
}

// New returns a budget with nothing spent.
func New(config Config) *Budget {
	return &Budget{config: config, services: make(map[string]*window)}
}

// Earn counts a new call.
func (b *Budget) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	w.calls[w.newest%bucketCount]++
}

// Spend takes one retry from the budget. daemons is the number of daemons that share the slack, 0 while it is unknown.
// It returns false when this daemon's part of the window is used up.
func (b *Budget) Spend(now time.Time, service string, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	if !b.allows(now, w, daemons, 1) {
		return false
	}
	w.retries[w.newest%bucketCount]++
	return true
}

// Allows reports whether the number of retries could be taken from the budget now.
func (b *Budget) Allows(now time.Time, service string, daemons, retries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, b.windowAt(now, service), daemons, retries)
}

func (b *Budget) allows(now time.Time, w *window, daemons, retries int) bool {
	w.daemonCounts[w.newest%bucketCount] = max(w.daemonCounts[w.newest%bucketCount], daemons)
	allowed := usedShare * (b.config.Ratio*float64(sum(w.calls)) + b.slack(now, w))
	return float64(sum(w.retries)+retries) <= allowed
}

// slack returns this daemon's part of the slack.
//
// What a terminated daemon has spent still counts in the window. Its part is therefore shared by the other daemons only
// after the window, and the daemon started in its place begins with no slack: otherwise restarted and lost daemons let
// all together spend up to a seventh more than allowed. While the number of daemons is unknown there is no slack.
func (b *Budget) slack(now time.Time, w *window) float64 {
	if b.config.Restarted && now.Sub(b.startedAt).Milliseconds() < b.config.WindowMillis {
		return 0
	}
	maxDaemons := 0
	for _, n := range w.daemonCounts {
		maxDaemons = max(maxDaemons, n)
	}
	if maxDaemons == 0 {
		return 0
	}
	return b.config.Slack / float64(maxDaemons)
}

// Return returns a retry that was taken and not made.
func (b *Budget) Return(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	for n := w.newest; n > w.newest-bucketCount && n >= 0; n-- {
		if w.retries[n%bucketCount] > 0 {
			w.retries[n%bucketCount]--
			return
		}
	}
}

// windowAt returns the service's window, advanced to the time.
func (b *Budget) windowAt(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	newest := now.Sub(b.startedAt).Milliseconds() / max(b.config.WindowMillis/(bucketCount-spareBucketCount), 1)
	for steps := 0; w.newest < newest && steps < bucketCount; steps++ {
		w.newest++
		w.calls[w.newest%bucketCount] = 0
		w.retries[w.newest%bucketCount] = 0
		w.daemonCounts[w.newest%bucketCount] = 0
	}
	w.newest = max(w.newest, newest)
	return w
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
