package turmericwall

// ClientAccount is one client account as the operator's plan declares it.
type ClientAccount struct {
	// Name is what upstreams are told of the caller.
	Name string `json:"name"`
	// KeyDigests are the SHA-256 digests of the account's keys, in hexadecimal digits. The keys themselves are not kept.
	KeyDigests []string `json:"keyDigests"`
	// Priority replaces the rank of a call's route; nil leaves it as it is.
	Priority *int  `json:"priority,omitempty"`
	Quota    Quota `json:"quota"`
}

// Quota bounds what one account may ask of all daemons together. The zero value sets no limit.
type Quota struct {
	// PerSecond and Burst are counted in units: calls, or tokens where CountsTokens is set.
	PerSecond float64 `json:"perSecond,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// CountsTokens tells that a call counts as its tokens.
	CountsTokens bool `json:"countsTokens,omitempty"`
	// PlainTokens is what a call that states no tokens counts as.
	PlainTokens int `json:"plainTokens,omitempty"`
}

// Limits tells that the quota sets a limit.
func (q Quota) Limits() bool { return q.PerSecond > 0 }

// Units is what one call counts as.
func (q Quota) Units(work ModelWork) float64 {
	if !q.CountsTokens {
		return 1
	}
	if work.PromptTokens == 0 && work.MaxTokens == 0 {
		return float64(q.PlainTokens)
	}
	return float64(work.PromptTokens) + float64(work.MaxTokens)
}

// QuotaMeter counts what client accounts use, and refuses what is over their quotas.
type QuotaMeter interface {
	// Charge takes what a call counts as from its account's quota. The error is a *Problem that says when to come back.
	Charge(account string, units float64) error
	// ChargeAlone does so for a call that the leader gave no answer to.
	ChargeAlone(account string, units float64) error
	// Refund gives back what was taken for a call that did not run.
	Refund(account string, units float64)
}

// AccountUse is what one daemon counted of an account's calls by itself, since the daemon's start.
type AccountUse struct {
	Account string `json:"account"`
	Units   int64  `json:"units"`
	// Alone are the units that the leader before the present one can't have counted.
	Alone int64 `json:"alone,omitempty"`
}

// AccountLevel is what is left of an account's quota.
type AccountLevel struct {
	Account string `json:"account"`
	// Units may be negative: what is used at the same time at many daemons is counted after it.
	Units int64 `json:"units"`
}
