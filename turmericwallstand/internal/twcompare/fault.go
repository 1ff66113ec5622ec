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

// Faults that can be injected in the middle of a run.
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
	zones          = 3
	cancelEveryNth = 3
	slowLinkFactor = 0.1
)

// injectFault injects the fault in the middle of the run. The store recovers when the arrivals end; killed engines and
// daemons and slow links do not recover.
func (c *Compare) injectFault(ctx context.Context, site *twsite.Site, load *twload.Load) error {
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
		site.KillEngine(prefillEngines)
	case FaultZoneCut:
		for i := 0; i < prefillEngines+decodeEngines; i += zones {
			site.KillEngine(i)
		}
	case FaultStoreDown:
		site.SetPlatformFaults(twplatformstand.Faults{Outage: true})
		time.AfterFunc(c.config.Length/2, func() { site.SetPlatformFaults(twplatformstand.Faults{}) })
	case FaultCancels:
		load.CancelEveryNth(cancelEveryNth)
	case FaultSlowLinks:
		for _, e := range site.Engines()[:prefillEngines] {
			e.SetFaults(twenginestand.Faults{LinkFactor: slowLinkFactor})
		}
	case FaultDaemonKilled:
		site.KillLeader()
	default:
		return fmt.Errorf("unknown fault %q", c.config.Fault)
	}
	return nil
}
