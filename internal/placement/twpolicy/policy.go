// Package twpolicy chooses the placement policy that the settings name.
package twpolicy

import (
	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twbaseline"
	"github.com/turmericwall/turmericwall/internal/placement/twblocks"
	"github.com/turmericwall/turmericwall/internal/placement/twscheduler"
)

// Names of the shipped policy, and of the same decisions made by each daemon alone, without a leader. The
// other names are those of the baselines.
const (
	Leader = "leader"
	Alone  = "alone"
)

// New returns a policy for one service.
func New(name string) turmericwall.Policy {
	if name == Leader || name == Alone {
		return twscheduler.New(twscheduler.Config{BlockTokens: twblocks.BlockBytes / twblocks.BytesPerToken})
	}
	return twbaseline.New(twbaseline.Config{Rule: name})
}
