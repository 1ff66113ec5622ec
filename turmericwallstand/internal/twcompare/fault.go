package twcompare

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twload"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twsite"
)

// Faults that can be put in the middle of a run.
const (
	FaultNone         = ""
	FaultEngineKilled = "engineKilled"
	FaultZoneCut      = "zoneCut"
	FaultStoreDown    = "storeDown"
	FaultCancels      = "cancels"
	FaultSlowLinks    = "slowLinks"
	FaultDaemonKilled = "daemonKilled"
)

const (
	zones       = 3
	cancelEvery = 3
	slowLink    = 0.1
)

// disturb puts the fault in the middle of the run.
func (c *Compare) disturb(ctx context.Context, site *twsite.Site, load *twload.Load) error {
	if c.config.Fault == FaultNone {
		return nil
	}
	timer := time.NewTimer(c.config.Length / 2)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	switch c.config.Fault {
	case FaultEngineKilled:
		site.KillEngine(prefill)
	case FaultZoneCut:
		for i := 0; i < prefill+decode; i += zones {
			site.KillEngine(i)
		}
	case FaultStoreDown:
		site.SetPlatformFaults(twplatformstand.Faults{Outage: true})
		time.AfterFunc(c.config.Length/2, func() { site.SetPlatformFaults(twplatformstand.Faults{}) })
	case FaultCancels:
		load.CancelEveryNth(cancelEvery)
	case FaultSlowLinks:
		for _, e := range site.Engines()[:prefill] {
			e.SetFaults(twenginestand.Faults{LinkFactor: slowLink})
		}
	case FaultDaemonKilled:
		site.KillLeader()
	default:
		return fmt.Errorf("no fault %q", c.config.Fault)
	}
	return nil
}
