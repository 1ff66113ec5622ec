package twsite

import (
	"context"
	"fmt"
	"net/http"

	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcaller"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
)

// KillEngine ends an engine as a crash would: its streams break off and its port is closed.
func (s *Site) KillEngine(i int) { s.endEngine[i]() }

// SetPlatformFaults switches the platform's faults.
func (s *Site) SetPlatformFaults(faults twplatformstand.Faults) { s.platform.SetFaults(faults) }

// KillLeader ends the daemon that decides on the engines' service, without a drain.
func (s *Site) KillLeader() {
	for i, address := range s.Operations() {
		var status twoperations.Status
		if reader().Read(context.Background(), "http://"+address+"/status", &status) == nil && len(status.Keeps) > 0 {
			s.daemons[i].Kill()
			return
		}
	}
}

// prefillMetrics are the daemons' counters of computed and wasted prompt tokens.
type prefillMetrics struct {
	Computed counter `json:"prefill.computedTokens"`
	Wasted   counter `json:"prefill.wastedTokens"`
}

type counter struct {
	Count int64 `json:"count"`
}

// PrefillTokens adds up what the daemons counted.
func (s *Site) PrefillTokens(ctx context.Context) (computed, wasted int64, err error) {
	for _, address := range s.Operations() {
		var m prefillMetrics
		if readErr := reader().Read(ctx, "http://"+address+"/metrics", &m); readErr != nil {
			continue
		}
		computed += m.Computed.Count
		wasted += m.Wasted.Count
	}
	if computed == 0 {
		return 0, 0, fmt.Errorf("no daemon counted any prefill")
	}
	return computed, wasted, nil
}

// reader reads the operators' listeners, which ask for no key.
func reader() *twcaller.Caller { return twcaller.New(http.DefaultClient, "") }
