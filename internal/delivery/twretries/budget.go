// Package twretries bounds the repeated sends of all daemons to a share of the calls.
package twretries

import (
	"sync"
	"time"
)

// margin is the part of the allowed repeats that is used. The daemons count their calls apart and windows
// slide, so that the sum over all daemons may be off by what arrives within one bucket.
const margin = 0.8

// buckets is how many parts a window is counted in, and spareBuckets how many more are remembered: the newest one is not
// over yet, and what is sent in one window may arrive in the next. With none to spare, two repeats 9.6 s apart were
// counted in different windows of ten seconds here and in one there.
const (
	buckets      = 20
	spareBuckets = 2
)

// Config bounds the repeats.
type Config struct {
	// Ratio is how many repeats each call allows.
	Ratio float64
	// Slack is what all daemons together may repeat beyond that in one window.
	Slack float64
	// WindowMillis is the length of the sliding window.
	WindowMillis int64
	// Restarted tells that a daemon before this one may have spent its part of the slack within the window.
	Restarted bool
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
	// daemons are the most that shared the slack.
	daemons [buckets]int
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

// Spend takes one repeat; daemons is the number of daemons that share the slack, 0 while that is unknown. It returns false when this
// daemon's part of the window is used up.
func (b *Budget) Spend(now time.Time, service string, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(now, service)
	w.daemons[w.at%buckets] = max(w.daemons[w.at%buckets], daemons)
	allowed := margin * (b.config.Ratio*float64(sum(w.calls)) + b.slack(now, w))
	if float64(sum(w.repeats)+1) > allowed {
		return false
	}
	w.repeats[w.at%buckets]++
	return true
}

// slack is this daemon's part of what all may repeat beyond their calls' share.
//
// A daemon that ends leaves what it has spent in the window. Its part goes to the others only when that is over, and the
// daemon that starts in its place begins without any: with restarts and lost daemons, all together else spent up to a
// seventh more than is allowed. While nobody tells how many share the slack, there is none.
func (b *Budget) slack(now time.Time, w *window) float64 {
	if b.config.Restarted && now.Sub(b.began).Milliseconds() < b.config.WindowMillis {
		return 0
	}
	most := 0
	for _, n := range w.daemons {
		most = max(most, n)
	}
	if most == 0 {
		return 0
	}
	return b.config.Slack / float64(most)
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
	at := now.Sub(b.began).Milliseconds() / max(b.config.WindowMillis/(buckets-spareBuckets), 1)
	for steps := 0; w.at < at && steps < buckets; steps++ {
		w.at++
		w.calls[w.at%buckets] = 0
		w.repeats[w.at%buckets] = 0
		w.daemons[w.at%buckets] = 0
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
