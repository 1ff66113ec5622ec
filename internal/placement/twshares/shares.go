// Package twshares divides the engines of one service among client accounts. It is for the load in which calls need more
// than the engines have because some accounts send several times their usual load, or because engines are missing:
// accounts that keep to their share must then be served as before. Package twallocator uses it for the order of waiting
// calls and for the calls that leave room for those of others.
//
// The order is fair queueing with virtual token counters: each account's counter rises by what its calls cost, divided by
// the account's weight, and the account with the lowest counter goes first. A counter that was idle is raised to the
// lowest active one, so that no credit accumulates, and what an account is ahead of the lowest one decays, so that the
// use of capacity that nobody else wanted is soon forgotten.
package twshares

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

// maxPriority bounds the classes; calls of a lower urgency are of the same one.
const maxPriority = 15

// Shares keeps the counters and the use of all accounts. Calls of one priority are compared with each other: less urgent
// ones go after them whatever their accounts have used, and leave room for them. It has no clock of its own and is not safe
// for concurrent use.
type Shares struct {
	weights map[string]float64
	// classes are those of the priorities that calls had, the most urgent one first.
	classes []*class
}

// New returns shares without accounts, all of which have the same weight.
func New() *Shares { return &Shares{} }

// class returns the class of the call's priority.
func (s *Shares) class(call Call) *class {
	priority := min(max(call.Priority, 0), maxPriority)
	for _, c := range s.classes {
		if c.priority == priority {
			return c
		}
	}
	c := &class{
		priority: priority, accounts: make(map[string]*account), runs: make(map[string]*run), round: 1, weights: s.weights,
	}
	s.classes = append(s.classes, c)
	slices.SortFunc(s.classes, func(x, y *class) int { return cmp.Compare(x.priority, y.priority) })
	return c
}

// SetWeights sets the weights of accounts; those that are not listed have weight 1. The map is kept, and must not be
// changed.
func (s *Shares) SetWeights(weights map[string]float64) {
	s.weights = weights
	for _, c := range s.classes {
		c.setWeights(weights)
	}
}

// Competing reports whether calls of several accounts, of one priority, are waiting or placed. Without that, no call has to
// leave room.
func (s *Shares) Competing() bool {
	for _, c := range s.classes {
		if c.isCompeting() {
			return true
		}
	}
	return false
}

// Enqueue records that a call waits. isRetry is set if the caller was refused before, so that the call adds nothing to
// what the account sends.
func (s *Shares) Enqueue(now time.Time, call Call, isRetry bool) {
	s.class(call).enqueue(now, call, isRetry)
}

// Dequeue records that a call no longer waits, because it was placed, was refused or is withdrawn.
func (s *Shares) Dequeue(call Call) { s.class(call).dequeue(call) }

// Place records that a call was placed, and charges what it is expected to cost to its account. prefilling is set until
// EndPrefill.
func (s *Shares) Place(now time.Time, call Call, prefilling bool) {
	s.class(call).recordPlaced(now, call, prefilling)
}

// Adopt records a call that another daemon placed. Unlike with Place, an account without calls here is not raised above
// those whose calls were adopted in the same span: a new leader learns the calls in any order, and the counters are to tell
// what each account uses.
func (s *Shares) Adopt(now time.Time, call Call, prefilling bool) {
	s.class(call).adopt(now, call, prefilling)
}

// EndPrefill records that the prompt of a placed call was prefilled.
func (s *Shares) EndPrefill(id string) {
	for _, c := range s.classes {
		c.endPrefill(id)
	}
}

// Settle replaces the expected cost of a call that ends by its actual one. A call that has not run costs nothing.
func (s *Shares) Settle(now time.Time, id string, answerTokens float64, notRun bool) {
	for _, c := range s.classes {
		c.settle(now, id, answerTokens, notRun)
	}
}

// End records that a placed call no longer uses anything.
func (s *Shares) End(id string) {
	for _, c := range s.classes {
		c.end(id)
	}
}

// Used returns the use of a resource by all accounts, in tokens.
func (s *Shares) Used(r Resource) float64 {
	used := 0.0
	for _, c := range s.classes {
		used += c.used[r]
	}
	return used
}

// BeginRound begins the order of the waiting calls of one decision.
func (s *Shares) BeginRound(now time.Time) {
	for _, c := range s.classes {
		c.beginRound(now)
	}
}

// Tag returns the virtual start of a waiting call: the account's counter after those of its calls that got a tag before it in
// this round. Calls of one priority go in the order of their tags.
func (s *Shares) Tag(call Call) float64 { return s.class(call).tag(call) }

// Reserve returns how much of a resource the other accounts are likely to need within the span, in tokens, for calls that
// are as urgent or more: what they send, each up to its part of what all send. An account that is far above its share leaves
// so much room when capacity is short, so that the calls of others that arrive next find it.
func (s *Shares) Reserve(call Call, r Resource, spanMillis float64) float64 {
	own, rate := s.class(call), 0.0
	for _, c := range s.classes {
		if c.priority <= own.priority {
			rate += c.reserve(call.Account, r)
		}
	}
	return rate * spanMillis
}

// MustYield reports whether a call has to leave the resource to others: shortfall tokens are missing, and the call's account
// uses far more than its share. The share is the max-min fair one by weight: what accounts below theirs don't use is divided
// among the others.
func (s *Shares) MustYield(call Call, r Resource, shortfall float64) bool {
	return s.class(call).mustYield(call.Account, r, shortfall)
}

// MustYieldTo reports whether a call has to leave the resource to another one that waits for it: that one is more urgent, or
// the call's account uses far more of the resource than its share, and than the other's account uses, both by weight.
func (s *Shares) MustYieldTo(call, other Call, r Resource) bool {
	own, others := s.class(call), s.class(other)
	if own != others {
		return others.priority < own.priority
	}
	return own.mustYieldTo(call.Account, other.Account, r)
}

// IsFarAbove reports whether the call's account uses far more of the resource than its part of what all accounts use.
func (s *Shares) IsFarAbove(call Call, r Resource) bool {
	return s.class(call).isAccountFarAbove(call.Account, r)
}

// PartsOf returns the share of the call's account, its part of the weights of the accounts with calls, and its part of their
// use of a resource, both from 0 to 1.
func (s *Shares) PartsOf(call Call, r Resource) (share, usage float64) {
	return s.class(call).partsOf(call.Account, r)
}

// Status returns the share and the use of each account with calls, ordered by name and priority; nothing if no call has an
// account.
func (s *Shares) Status() []turmericwall.AccountShare {
	var list []turmericwall.AccountShare
	named := false
	for _, c := range s.classes {
		list = append(list, c.status()...)
	}
	for _, share := range list {
		named = named || share.Account != ""
	}
	if !named {
		return nil
	}
	slices.SortStableFunc(list, func(x, y turmericwall.AccountShare) int { return cmp.Compare(x.Account, y.Account) })
	return list
}
