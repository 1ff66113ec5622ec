// Package twpolicy chooses the placement policy that the settings name.
package twpolicy

import (
	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twbaseline"
	"github.com/turmericwall/turmericwall/internal/placement/twblocks"
	"github.com/turmericwall/turmericwall/internal/placement/twscheduler"
)

// Keeper is the name of the shipped policy; the other names are those of the baselines.
const Keeper = "keeper"

// New returns a policy for one service.
func New(name string) turmericwall.Policy {
	if name == Keeper {
		return twscheduler.New(twscheduler.Config{BlockTokens: twblocks.BlockBytes / twblocks.BytesPerToken})
	}
	return twbaseline.New(twbaseline.Config{Rule: name})
}
