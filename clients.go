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
