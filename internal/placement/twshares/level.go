package twshares

import "math"

// maxLevelRounds bounds the steps in which a level is found. Each of them settles at least one account; a level that needs
// more is slightly too low.
const maxLevelRounds = 16

// farDeviations is by how many standard deviations of the use an account must exceed its share to be far above it, so that
// accounts which all send alike are hardly ever refused by chance.
const farDeviations = 2

// reserve returns the rate at which accounts send, each up to its part of what all send, in tokens per millisecond, but for
// the account.
func (s *class) reserve(account string, r Resource) float64 {
	if s.reservesRound != s.round {
		s.measureReserves()
	}
	rate := s.reserves[r]
	if a, ok := s.find(account); ok {
		rate -= math.Min(a.rates[r], s.meanRates[r]*a.weight)
	}
	return math.Max(rate, 0)
}

func (s *class) measureReserves() {
	s.reservesRound = s.round
	s.reserves, s.meanRates = [resources]float64{}, [resources]float64{}
	weights := 0.0
	for _, a := range s.list {
		weights += a.weight
		for r := range resources {
			s.meanRates[r] += a.rates[r]
		}
	}
	for r := range resources {
		s.meanRates[r] /= math.Max(weights, math.SmallestNonzeroFloat64)
	}
	for _, a := range s.list {
		for r := range resources {
			s.reserves[r] += math.Min(a.rates[r], s.meanRates[r]*a.weight)
		}
	}
}

// mustYield reports whether a call of the account has to leave the resource to others: shortfall tokens are missing, and
// the account uses far more than its share. The share is the max-min fair one by weight: what accounts below theirs don't
// use is divided among the others.
func (s *class) mustYield(account string, r Resource, shortfall float64) bool {
	if shortfall <= 0 || !s.isCompeting() {
		return false
	}
	a, ok := s.find(account)
	if !ok || a.used[r] == 0 {
		return false
	}
	if s.levels[r] == 0 {
		s.levels[r] = s.level(r, math.Max(s.used[r]-shortfall, 0))
	}
	share := s.levels[r] * a.weight
	return s.isFarAbove(a, r, share)
}

// isAccountFarAbove reports whether the account uses far more of the resource than its part of what all accounts use.
func (s *class) isAccountFarAbove(account string, r Resource) bool {
	a, ok := s.find(account)
	return ok && s.isCompeting() && s.isFarAbove(a, r, s.used[r]/s.activeWeight*a.weight)
}

// isFarAbove reports whether the account uses more of the resource than the share by more than the use varies by chance,
// when calls arrive independently of each other.
func (s *class) isFarAbove(a *account, r Resource, share float64) bool {
	meanNeed := s.used[r] / float64(max(s.runCount[r], 1))
	return a.used[r] > share+farDeviations*math.Sqrt(math.Max(share, meanNeed)*meanNeed)
}

// level returns the use per weight up to which all accounts together use the capacity: accounts that use or want less keep
// what they have, and the others are cut to the level.
func (s *class) level(r Resource, capacity float64) float64 {
	level := 0.0
	for range maxLevelRounds {
		below, weights := 0.0, 0.0
		for _, a := range s.list {
			demand := a.used[r] + a.wanted[r]
			if demand <= level*a.weight {
				below += demand
				continue
			}
			weights += a.weight
		}
		if weights == 0 {
			return math.Inf(1)
		}
		next := (capacity - below) / weights
		if next <= level {
			break
		}
		level = next
	}
	return math.Max(level, math.SmallestNonzeroFloat64)
}

// mustYieldTo reports whether a call of the account has to leave the resource to a call of the other account, which waits
// for it: the account uses far more of it than its share, and than the other one uses, both by weight.
func (s *class) mustYieldTo(account, other string, r Resource) bool {
	a, ok := s.find(account)
	b, found := s.find(other)
	if !ok || !found || a == b {
		return false
	}
	share := math.Max(b.used[r]/b.weight, s.used[r]/s.activeWeight) * a.weight
	return s.isFarAbove(a, r, share)
}
