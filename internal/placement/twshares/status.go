package twshares

import "github.com/turmericwall/turmericwall"

// status returns the share and the use of each account with calls.
func (s *class) status() []turmericwall.AccountShare {
	var list []turmericwall.AccountShare
	for _, a := range s.list {
		if !a.isActive() {
			continue
		}
		status := turmericwall.AccountShare{
			Account: a.name, Priority: s.priority, Waiting: a.waiting, Placed: a.runs,
			MemoryTokens: int64(a.used[Memory]), PrefillTokens: int64(a.used[Prefill]), LeadTokens: int64(a.counter - s.floor),
		}
		status.Share, status.Usage = s.partsOf(a.name, Memory)
		list = append(list, status)
	}
	return list
}

// partsOf returns the account's share, its part of the weights of the accounts with calls, and its part of their use of a
// resource, both from 0 to 1.
func (s *class) partsOf(account string, r Resource) (share, usage float64) {
	a, ok := s.find(account)
	if !ok || !a.isActive() {
		return 0, 0
	}
	if s.used[r] > 0 {
		usage = a.used[r] / s.used[r]
	}
	return a.weight / s.activeWeight, usage
}

// Weights returns the weights of accounts: the stated ones, which are 1 for an account that is not listed; without any, the
// accounts' limits if all have one in the same unit, relative to their mean; otherwise none, so that all are equal.
func Weights(accounts []turmericwall.ClientAccount, stated map[string]float64) map[string]float64 {
	if len(stated) > 0 {
		return stated
	}
	weights := make(map[string]float64, len(accounts))
	sum := 0.0
	for _, a := range accounts {
		if !a.Quota.IsLimited() || a.Quota.CountsTokens != accounts[0].Quota.CountsTokens {
			return nil
		}
		weights[a.Name] = a.Quota.PerSecond
		sum += a.Quota.PerSecond
	}
	for name := range weights {
		weights[name] *= float64(len(accounts)) / sum
	}
	return weights
}
