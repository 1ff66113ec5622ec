// Package twcompare measures placement policies against each other under the same load.
package twcompare

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twload"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twmix"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twsite"
)

// Run is one policy under one load with one seed.
type Run struct {
	Deployment string         `json:"deployment"`
	Policy     string         `json:"policy"`
	Level      float64        `json:"level"`
	Fault      string         `json:"fault,omitempty"`
	Seed       uint64         `json:"seed"`
	Rate       float64        `json:"rate"`
	Summary    twload.Summary `json:"summary"`
	// ComputedTokens and WastedTokens are prompt tokens computed, and those of them that brought no answer.
	ComputedTokens int64 `json:"computedTokens"`
	WastedTokens   int64 `json:"wastedTokens"`
	// RecoverySeconds is how long after the fault the goodput was back for good; -1 is not within the run.
	RecoverySeconds int `json:"recoverySeconds"`
}

// The measured site: 20 engines and 6 daemons.
const (
	daemons     = 6
	prefill     = 6
	decode      = 14
	services    = 3
	slots       = 20
	pieces      = 48
	prefillRate = 20_000
	stepMillis  = 25
	stepPerSlot = 1.2
	eventLoss   = 0.05
	fetchFor    = 20 * time.Second
)

// Capacity is the rate, in requests a second, at which the scarcer pool of the site is just busy.
func Capacity(deployment string) (float64, error) {
	prompt, answer, err := twmix.MeanTokens(deployment)
	if err != nil {
		return 0, err
	}
	decodeRate := decode * slots / (answer * (stepMillis + stepPerSlot*slots) / 1000)
	computeRate := prefill * prefillRate / prompt
	return min(decodeRate, computeRate), nil
}

func (c *Compare) run(ctx context.Context, policy string, level float64, seed uint64) (Run, error) {
	example, ok := twexample.ByName(c.config.Deployment)
	if !ok {
		return Run{}, fmt.Errorf("no deployment %q; use arriola or sonnenmatt", c.config.Deployment)
	}
	capacity, err := Capacity(c.config.Deployment)
	if err != nil {
		return Run{}, err
	}
	site, err := twsite.New(ctx, twsite.Config{
		Example: example, Daemons: daemons, Prefill: prefill, Decode: decode, Services: services, Policy: policy, Log: c.config.Log,
		Engine: twenginestand.Config{
			Slots: slots, Pieces: pieces, PrefillRate: prefillRate, StepMillis: stepMillis, StepPerSlotMillis: stepPerSlot, EventLoss: eventLoss,
		},
	})
	if err != nil {
		return Run{}, err
	}
	r := Run{Deployment: c.config.Deployment, Policy: policy, Level: level, Fault: c.config.Fault, Seed: seed, Rate: level * capacity}
	err = c.measure(ctx, site, example, &r)
	if closeErr := site.Close(); err == nil {
		err = closeErr
	}
	return r, err
}

func (c *Compare) measure(ctx context.Context, site *twsite.Site, example twexample.Example, r *Run) error {
	mix, err := twmix.New(r.Deployment, r.Seed)
	if err != nil {
		return err
	}
	load := twload.New(twload.Config{
		Example: example, Callers: site.CallerAddresses(), Requests: mix.Arrivals(r.Rate, c.config.Length), FetchFor: fetchFor, RetryRefused: c.config.RetryRefused,
	})
	faulted := make(chan error, 1)
	go func() { faulted <- c.disturb(ctx, site, load) }()
	r.Summary = twload.Summarize(load.Run(ctx))
	if err := <-faulted; err != nil {
		return err
	}
	r.ComputedTokens, r.WastedTokens, err = site.PrefillTokens(ctx)
	c.noteRecovery(r)
	return err
}

func (c *Compare) noteRecovery(r *Run) {
	seconds := int(c.config.Length / time.Second)
	r.RecoverySeconds = recovery(r.Summary.GoodBySecond, seconds/2, seconds)
}

// recovery is how many seconds after the fault the goodput was last short of four fifths of the mean of the
// three seconds before it, each second taken with the one before; -1 says that it still was at the end.
func recovery(good []int, fault, end int) int {
	if fault < 3 || len(good) < end {
		return -1
	}
	before := float64(good[fault-1]+good[fault-2]+good[fault-3]) / 3
	short := fault - 1
	for second := fault; second < end; second++ {
		if float64(good[second]+good[second-1])/2 < recovered*before {
			short = second
		}
	}
	if short == end-1 {
		return -1
	}
	return short + 1 - fault
}

const recovered = 0.8
