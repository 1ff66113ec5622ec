// Package twsplit computes how many calls a service can serve with a given number of prefill and decode engines. The
// leader uses it to decide which engines change their role.
package twsplit

import "github.com/turmericwall/turmericwall"

// Split is the number of engines of each role.
type Split struct{ Prefills, Decodes int }

// Moved returns the split after one engine of the other role has changed to the role.
func (s Split) Moved(role turmericwall.Role) Split {
	if role == turmericwall.RolePrefill {
		return Split{Prefills: s.Prefills + 1, Decodes: s.Decodes - 1}
	}
	return Split{Prefills: s.Prefills - 1, Decodes: s.Decodes + 1}
}

// Best returns the split with the highest worth that is reached when engines change to the role one by one.
func (s Split) Best(role turmericwall.Role, cost turmericwall.CallCost) Split {
	for {
		next := s.Moved(role)
		if next.Score(cost) <= s.Score(cost) {
			return s
		}
		s = next
	}
}

// Rate returns how many calls per millisecond the split can serve; the scarcer role limits it. It is 0 without engines
// of one role.
func (s Split) Rate(cost turmericwall.CallCost) float64 {
	if s.Prefills <= 0 || s.Decodes <= 0 {
		return 0
	}
	return min(
		float64(s.Prefills)/max(cost.PrefillMillis, minCostMillis),
		float64(s.Decodes)/max(cost.DecodeMillis, minCostMillis),
	)
}

// minCostMillis is the lowest cost of a call that is computed with; it keeps rates finite.
const minCostMillis = 0.001

// Score returns the value by which splits are compared, in calls per millisecond: the mean of the rate and of the
// expected rate after the loss of one engine.
//
// The rate alone would leave one prefill engine to a small service, and the loss of that engine would stop every call.
func (s Split) Score(cost turmericwall.CallCost) float64 {
	total := float64(s.Prefills + s.Decodes)
	if total <= 0 {
		return 0
	}
	afterPrefillLoss := Split{Prefills: s.Prefills - 1, Decodes: s.Decodes}.Rate(cost) * float64(s.Prefills)
	afterDecodeLoss := Split{Prefills: s.Prefills, Decodes: s.Decodes - 1}.Rate(cost) * float64(s.Decodes)
	return (s.Rate(cost) + (afterPrefillLoss+afterDecodeLoss)/total) / 2
}
