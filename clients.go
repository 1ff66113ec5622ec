package turmericwall

// ClientAccount is one client account of a route plan.
type ClientAccount struct {
	// Name identifies the account; upstreams receive it with each call.
	Name string `json:"name"`
	// KeyDigests are the SHA-256 digests of the account's keys in hexadecimal digits. The keys themselves are not
	// stored.
	KeyDigests []string `json:"keyDigests"`
	// Priority replaces the priority of a call's route; nil leaves it unchanged.
	Priority *int  `json:"priority,omitempty"`
	Quota    Quota `json:"quota"`
}

// Quota limits the use of one account over all daemons together. The zero value sets no limit.
type Quota struct {
	// PerSecond is the rate in units per second, and Burst the units that may be used at once. A unit is a call, or a
	// token if CountsTokens is set.
	PerSecond float64 `json:"perSecond,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// CountsTokens is set if a call is charged by its tokens.
	CountsTokens bool `json:"countsTokens,omitempty"`
	// DefaultTokens is the charge, in tokens, for a call that does not state how many tokens it uses.
	DefaultTokens int `json:"plainTokens,omitempty"`
}

// IsLimited reports whether the quota sets a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// UnitsFor returns the charge for one call. A charge in tokens includes the largest length of the answer.
func (q Quota) UnitsFor(work ModelWork) float64 {
	if !q.CountsTokens {
		return 1
	}
	if work.PromptTokens == 0 && work.MaxTokens == 0 {
		return float64(q.DefaultTokens)
	}
	return float64(work.PromptTokens) + float64(work.MaxTokens)
}

// QuotaMeter charges calls to the quotas of client accounts and refuses calls over the quota.
type QuotaMeter interface {
	// Charge charges units to the account's quota. The error is a *Problem with a retry time.
	Charge(account string, units float64) error
	// ChargeLocally charges units for a call that is placed without the leader.
	ChargeLocally(account string, units float64) error
	// Refund returns the units that were charged for a call that did not run.
	Refund(account string, units float64)
}

// AccountUse is what one daemon itself has charged to an account since the daemon's start.
type AccountUse struct {
	Account string `json:"account"`
	Units   int64  `json:"units"`
	// RefilledUnits are the units by which the daemon's share of the quota was refilled without a leader since its start.
	RefilledUnits int64 `json:"refilled,omitempty"`
	// UncountedUnits are those of the units that the previous leader can't have counted, less what the daemon's share of the quota was
	// refilled by without a leader.
	UncountedUnits int64 `json:"alone,omitempty"`
}

// AccountLevel is the rest of an account's quota by the leader's count.
type AccountLevel struct {
	Account string `json:"account"`
	// Units may be negative, since the leader counts the use at other daemons only after they report it.
	Units int64 `json:"units"`
}

// AccountShare is the share of one account in the engines of a service among the calls of one priority, and what its calls
// use of them.
type AccountShare struct {
	Account  string `json:"account"`
	Priority int    `json:"priority"`
	// Share is the account's part of the weights of the accounts with calls, and Usage its part of the memory that calls
	// are expected to need, both from 0 to 1.
	Share float64 `json:"share"`
	Usage float64 `json:"usage"`
	// Waiting and Placed are the numbers of the account's calls.
	Waiting int `json:"waiting"`
	Placed  int `json:"placed"`
	// MemoryTokens and PrefillTokens are what the placed calls need of the memory, and of the prefill engines.
	MemoryTokens  int64 `json:"memoryTokens"`
	PrefillTokens int64 `json:"prefillTokens"`
	// LeadTokens is how far the account's virtual counter is above the lowest one; waiting calls of accounts with a smaller
	// lead go first.
	LeadTokens int64 `json:"leadTokens"`
}
