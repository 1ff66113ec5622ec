// Package twretries bounds the repeated sends of all daemons to a share of the calls.
package twretries

import (
	"sync"
	"time"
)

// margin is the part of the allowed repeats that is used. The daemons count their calls apart and windows
// slide, so that the sum over all daemons may be off by what arrives within one bucket.
const margin = 0.8

// buckets is how many parts a window is counted in.
const buckets = 20

// Config bounds the repeats.
type Config struct {
	// Ratio is how many repeats each call allows.
	Ratio float64
	// Slack is what all daemons together may repeat beyond that in one window.
	Slack float64
	// WindowMillis is the length of the sliding window.
	WindowMillis int64
}

// Budget counts the calls and repeats of one daemon for each service.
//
// Without it each failure at the peak adds load that makes more fail: the symptom is a goodput that does not
// come back after the fault is over. A share of fresh traffic can't feed itself.
type Budget struct {
	mu       sync.Mutex
	config   Config
	services map[string]*window
	// began is the first time that the budget saw. Windows are counted from it by the steady clock: a jump of the time
	// of day over a window would empty it, and the daemons would repeat twice what is allowed.
	began time.Time
}

type window struct {
	calls, repeats [buckets]int
	// at is the number of the newest bucket.
	at int64
}

// New returns a budget with nothing spent.
func New(config Config) *Budget {
	return &Budget{config: config, services: make(map[string]*window)}
}

// Earn counts a fresh call.
func (b *Budget) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(now, service)
	w.calls[w.at%buckets]++
}

// Spend takes one repeat; daemons is the number of daemons that share the slack. It returns false when this
// daemon's part of the window is used up.
func (b *Budget) Spend(now time.Time, service string, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(now, service)
	allowed := margin * (b.config.Ratio*float64(sum(w.calls)) + b.config.Slack/float64(max(daemons, 1)))
	if float64(sum(w.repeats)+1) > allowed {
		return false
	}
	w.repeats[w.at%buckets]++
	return true
}

// Charge counts a repeat that was already made.
func (b *Budget) Charge(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(now, service)
	w.repeats[w.at%buckets]++
}

func (b *Budget) advance(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	if b.began.IsZero() {
		b.began = now
	}
	at := now.Sub(b.began).Milliseconds() / max(b.config.WindowMillis/buckets, 1)
	for steps := 0; w.at < at && steps < buckets; steps++ {
		w.at++
		w.calls[w.at%buckets] = 0
		w.repeats[w.at%buckets] = 0
	}
	w.at = max(w.at, at)
	return w
}

func sum(counts [buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
