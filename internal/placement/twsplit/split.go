// Package twsplit weighs how many of a service's engines read prompts and how many answer.
package twsplit

import "github.com/turmericwall/turmericwall"

// Split is a number of engines of each role.
type Split struct{ Prefills, Decodes int }

// Moved is the split after one engine took the role.
func (s Split) Moved(role turmericwall.Role) Split {
	if role == turmericwall.RolePrefill {
		return Split{Prefills: s.Prefills + 1, Decodes: s.Decodes - 1}
	}
	return Split{Prefills: s.Prefills - 1, Decodes: s.Decodes + 1}
}

// Best is the split that is worth most when engines take the role one by one.
func (s Split) Best(role turmericwall.Role, cost turmericwall.CallCost) Split {
	for {
		next := s.Moved(role)
		if next.Worth(cost) <= s.Worth(cost) {
			return s
		}
		s = next
	}
}

// Rate is how many calls a millisecond the split can serve when each takes cost: the scarcer role decides.
func (s Split) Rate(cost turmericwall.CallCost) float64 {
	if s.Prefills <= 0 || s.Decodes <= 0 {
		return 0
	}
	return min(float64(s.Prefills)/max(cost.ReadMillis, least), float64(s.Decodes)/max(cost.AnswerMillis, least))
}

// least keeps a rate finite, in milliseconds.
const least = 0.001

// Worth is the split's rate, half of it as it is after the loss of one engine.
//
// The best rate alone leaves one engine to read for a small service: its loss stops every call.
func (s Split) Worth(cost turmericwall.CallCost) float64 {
	total := float64(s.Prefills + s.Decodes)
	if total <= 0 {
		return 0
	}
	reader := Split{Prefills: s.Prefills - 1, Decodes: s.Decodes}.Rate(cost) * float64(s.Prefills)
	answerer := Split{Prefills: s.Prefills, Decodes: s.Decodes - 1}.Rate(cost) * float64(s.Decodes)
	return (s.Rate(cost) + (reader+answerer)/total) / 2
}
