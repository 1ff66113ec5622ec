package twsite

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
)

// KillEngine ends an engine as a crash would: its streams break off and its port is closed.
func (s *Site) KillEngine(i int) { s.endEngine[i]() }

// SetPlatformFaults switches the platform's faults.
func (s *Site) SetPlatformFaults(faults twplatformstand.Faults) { s.platform.SetFaults(faults) }

// KillKeeper ends the daemon that decides on the engines' service, without a drain.
func (s *Site) KillKeeper() {
	for i, address := range s.Operations() {
		var status twoperations.Status
		if read(context.Background(), "http://"+address+"/status", &status) == nil && len(status.Keeps) > 0 {
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
		if readErr := read(ctx, "http://"+address+"/metrics", &m); readErr != nil {
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

func read(ctx context.Context, address string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(target)
}
