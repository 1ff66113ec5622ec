package twsite

import (
	"context"
	"fmt"
	"net/http"

	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcaller"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
)

// KillEngine stops the engine with the index as a crash would: its streams are cut short and its port is closed.
func (s *Site) KillEngine(i int) { s.stopEngine[i]() }

// SetPlatformFaults replaces the faults that the platform injects.
func (s *Site) SetPlatformFaults(faults twplatformstand.Faults) { s.platform.SetFaults(faults) }

// KillLeader stops the leader of the engines' service without a drain.
func (s *Site) KillLeader() {
	for i, address := range s.OperatorAddresses() {
		var status twoperations.Status
		if operatorsClient().ReadJSON(context.Background(), "http://"+address+"/status", &status) == nil &&
			len(status.LedServices) > 0 {
			s.daemons[i].Kill()
			return
		}
	}
}

// prefillMetrics are a daemon's counters of prompt tokens that were computed, and of those whose prefill was wasted.
type prefillMetrics struct {
	Computed counter `json:"prefill.computedTokens"`
	Wasted   counter `json:"prefill.wastedTokens"`
}

type counter struct {
	Count int64 `json:"count"`
}

// PrefillTokens returns the computed and the wasted prompt tokens, summed over all daemons that answer. It returns an
// error if no daemon counted any.
func (s *Site) PrefillTokens(ctx context.Context) (computed, wasted int64, err error) {
	for _, address := range s.OperatorAddresses() {
		var m prefillMetrics
		if readErr := operatorsClient().ReadJSON(ctx, "http://"+address+"/metrics", &m); readErr != nil {
			continue
		}
		computed += m.Computed.Count
		wasted += m.Wasted.Count
	}
	if computed == 0 {
		return 0, 0, fmt.Errorf("no daemon counted any prefill tokens, check the daemons' logs")
	}
	return computed, wasted, nil
}

// operatorsClient returns a client of the operators' listeners, which require no key.
func operatorsClient() *twcaller.Caller { return twcaller.New(http.DefaultClient, "") }
