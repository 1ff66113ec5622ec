// Package twpolicy creates the placement policy that the settings name. Package twleader creates one for each service
// and passes it the service's calls to be placed.
package twpolicy

import (
	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twbaseline"
	"github.com/turmericwall/turmericwall/internal/placement/twblockhash"
	"github.com/turmericwall/turmericwall/internal/placement/twscheduler"
)

// Names of the shipped policy: Leader places the calls of all daemons at the leader, Local makes the same decisions on
// each daemon for its own calls. The other names are those of the baselines.
const (
	Leader = "leader"
	Local  = "alone"
)

// New returns the policy of that name for one service. A name that is neither Leader nor Local is taken for a baseline.
func New(name string) turmericwall.Policy {
	if name == Leader || name == Local {
		return twscheduler.New(twscheduler.Config{BlockTokens: twblockhash.BlockBytes / twblockhash.BytesPerToken})
	}
	return twbaseline.New(twbaseline.Config{Rule: name})
}
