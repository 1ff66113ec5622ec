// Package twcompare compares placement policies under the same load. Each run starts a site, sends a generated mix of
// work to its daemons, may inject a fault, and measures the goodput, the requests served within their targets.
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

// Run is the result of one policy at one level of load with one seed.
type Run struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Level      float64 `json:"level"`
	Fault      string  `json:"fault,omitempty"`
	Seed       uint64  `json:"seed"`
	// Rate is the offered load, in requests per second.
	Rate    float64        `json:"rate"`
	Summary twload.Summary `json:"summary"`
	// ComputedTokens are the prompt tokens that were computed, WastedTokens those of them that led to no answer.
	ComputedTokens int64 `json:"computedTokens"`
	WastedTokens   int64 `json:"wastedTokens"`
	// RecoverySeconds is the time from the fault until the goodput has recovered for the rest of the run; -1 if it
	// has not.
	RecoverySeconds int `json:"recoverySeconds"`
}

// The measured site: 20 engines and 6 daemons.
const (
	daemons           = 6
	prefillEngines    = 6
	decodeEngines     = 14
	plainServices     = 3
	slots             = 20
	pieces            = 48
	prefillRate       = 20_000
	stepMillis        = 25
	stepPerSlotMillis = 1.2
	eventLoss         = 0.05
	fetchLimit        = 20 * time.Second
)

// Capacity returns the rate, in requests per second, at which the scarcer of the prefill and decode engine pools of
// the site is just fully used.
func Capacity(deployment string) (float64, error) {
	prompt, answer, err := twmix.MeanTokens(deployment)
	if err != nil {
		return 0, err
	}
	decodeRate := decodeEngines * slots / (answer * (stepMillis + stepPerSlotMillis*slots) / 1000)
	computeRate := prefillEngines * prefillRate / prompt
	return min(decodeRate, computeRate), nil
}

func (c *Compare) run(ctx context.Context, policy string, level float64, seed uint64) (Run, error) {
	example, ok := twexample.ByName(c.config.Deployment)
	if !ok {
		return Run{}, fmt.Errorf("unknown deployment %q; use arriola or sonnenmatt", c.config.Deployment)
	}
	capacity, err := Capacity(c.config.Deployment)
	if err != nil {
		return Run{}, err
	}
	site, err := twsite.New(ctx, twsite.Config{
		Example: example, Daemons: daemons, Prefill: prefillEngines, Decode: decodeEngines,
		Services: plainServices, Policy: policy, Log: c.config.Log,
		Engine: twenginestand.Config{
			Slots: slots, Pieces: pieces, PrefillRate: prefillRate, StepMillis: stepMillis,
			StepPerSlotMillis: stepPerSlotMillis, EventLoss: eventLoss,
		},
	})
	if err != nil {
		return Run{}, err
	}
	r := Run{Deployment: c.config.Deployment, Policy: policy, Level: level, Fault: c.config.Fault, Seed: seed, Rate: level * capacity}
	err = c.measureRun(ctx, site, example, &r)
	if closeErr := site.Close(); err == nil {
		err = closeErr
	}
	return r, err
}

func (c *Compare) measureRun(ctx context.Context, site *twsite.Site, example twexample.Example, r *Run) error {
	mix, err := twmix.New(r.Deployment, r.Seed)
	if err != nil {
		return err
	}
	load := twload.New(twload.Config{
		Example: example, Callers: site.CallerAddresses(), Requests: mix.Arrivals(r.Rate, c.config.Length),
		FetchFor: fetchLimit, RetryRefused: c.config.RetryRefused,
	})
	faultErr := make(chan error, 1)
	go func() { faultErr <- c.injectFault(ctx, site, load) }()
	r.Summary = twload.Summarize(load.Run(ctx))
	if err := <-faultErr; err != nil {
		return err
	}
	r.ComputedTokens, r.WastedTokens, err = site.PrefillTokens(ctx)
	c.setRecovery(r)
	return err
}

func (c *Compare) setRecovery(r *Run) {
	seconds := int(c.config.Length / time.Second)
	r.RecoverySeconds = recoverySeconds(r.Summary.GoodBySecond, seconds/2, seconds)
}

// recoverySeconds returns the number of seconds after the fault until the goodput last was below recoveredShare of
// its mean in the three seconds before the fault; -1 if it still was at the end. Each second is averaged with the one
// before it.
func recoverySeconds(good []int, fault, end int) int {
	if fault < 3 || len(good) < end {
		return -1
	}
	before := float64(good[fault-1]+good[fault-2]+good[fault-3]) / 3
	lastShort := fault - 1
	for second := fault; second < end; second++ {
		if float64(good[second]+good[second-1])/2 < recoveredShare*before {
			lastShort = second
		}
	}
	if lastShort == end-1 {
		return -1
	}
	return lastShort + 1 - fault
}

// recoveredShare is the share of the goodput before the fault from which on it counts as recovered.
const recoveredShare = 0.8
