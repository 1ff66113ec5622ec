// Package twdelivery runs completion requests through placement, prefill, transfer and decode. It retries failed
// attempts within a budget and resumes an answer after the tokens that the caller already has.
package twdelivery

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twretries"
)

// Delivery runs the requests of one daemon. It implements turmericwall.Deliverer and turmericwall.AttemptHolder.
type Delivery struct {
	config         Config
	sequence       atomic.Uint64
	computedTokens metrics.Counter
	wastedTokens   metrics.Counter
	retryCount     metrics.Counter

	mu             sync.Mutex
	activeAttempts map[string]bool
	retryBudget    *twretries.Budget
}

// Config holds the dependencies of a Delivery.
type Config struct {
	// Incarnation is the first part of each attempt's name, by which any daemon can find the attempt's owner.
	Incarnation string
	Placer      turmericwall.Placer
	Engines     turmericwall.Engines
	Canceller   turmericwall.Canceller
	Clock       clockwork.Clock
	Recorder    turmericwall.Recorder
	Registry    metrics.Registry
	// Quarantine has the ends of engines that this daemon noticed, and those that requests bring along.
	Quarantine turmericwall.EvidenceMerger
}

// New returns a delivery without active requests.
func New(config Config) *Delivery {
	return &Delivery{
		config:         config,
		computedTokens: metrics.GetOrRegisterCounter("prefill.computedTokens", config.Registry),
		wastedTokens:   metrics.GetOrRegisterCounter("prefill.wastedTokens", config.Registry),
		retryCount:     metrics.GetOrRegisterCounter("delivery.retries", config.Registry),
		activeAttempts: make(map[string]bool),
		retryBudget: twretries.New(twretries.Config{
			Ratio: retryRatio, Slack: retrySlack, WindowMillis: retryWindowMillis,
		}),
	}
}

// Deliver runs the request until its answer is complete; see turmericwall.Deliverer.
func (d *Delivery) Deliver(
	ctx context.Context, request turmericwall.Request, sink turmericwall.Sink,
) (turmericwall.Usage, error) {
	if len(request.Ends) > 0 {
		d.config.Quarantine.Merge(turmericwall.Evidence{Ends: request.Ends})
	}
	r := newRun(d, request, sink)
	return r.deliver(ctx)
}

// FilterWanted returns those of the attempts that are still active on this daemon.
func (d *Delivery) FilterWanted(attempts []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var wanted []string
	for _, a := range attempts {
		if d.activeAttempts[a] {
			wanted = append(wanted, a)
		}
	}
	return wanted
}

// ActiveAttempts returns the number of active attempts.
func (d *Delivery) ActiveAttempts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.activeAttempts)
}

func (d *Delivery) beginAttempt() string {
	attempt := fmt.Sprintf("%s/%d", d.config.Incarnation, d.sequence.Add(1))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeAttempts[attempt] = true
	return attempt
}

func (d *Delivery) endAttempt(attempt string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.activeAttempts, attempt)
}

// The retry budget of one service for a window: a share of its new requests, and a constant part that lets a service
// with few requests retry during a short fault. One daemon uses 0.8 of it.
const (
	retryRatio        = 0.25
	retrySlack        = 60
	retryWindowMillis = 10_000
)
