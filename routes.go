package turmericwall

import "time"

// CallKind says what may be repeated of a call.
type CallKind string

// The kinds of calls.
const (
	// CallIdempotent may run more than once.
	CallIdempotent CallKind = "idempotent"
	// CallNonIdempotent runs at most once.
	CallNonIdempotent CallKind = "nonIdempotent"
	// CallStream answers with a series of events and runs at most once, unless its route may be resumed.
	CallStream CallKind = "stream"
)

// WeightedService is one of the services that share a route's calls.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is this service's part of the sum of the route's weights.
	Weight int `json:"weight"`
}

// Route tells how the calls under one host and path prefix are handled.
// Spans are in milliseconds, as the operator writes them.
type Route struct {
	Name     string            `json:"name"`
	Host     string            `json:"host"`
	Prefix   string            `json:"prefix"`
	Kind     CallKind          `json:"kind"`
	Services []WeightedService `json:"services"`
	// MaxUpstreams is the largest number of upstreams that one call may be sent to.
	MaxUpstreams int `json:"maxUpstreams"`
	// TimeoutMillis ends a call that has no final answer yet.
	TimeoutMillis int64 `json:"timeoutMillis"`
	// TargetMillis is the time within which the answer, or a stream's first event, is worth most.
	TargetMillis int64 `json:"targetMillis"`
	// Priority is the route's rank; 0 goes first.
	Priority int `json:"priority"`
	// Model marks calls that carry a prompt for a model engine.
	Model bool `json:"model"`
	// Resumable streams may go on at another upstream after the last delivered event.
	Resumable bool `json:"resumable"`
	// EventGapMillis is the longest pause between two events of a stream that is still on time.
	EventGapMillis int64 `json:"eventGapMillis"`
	// Anonymous calls need no key.
	Anonymous bool `json:"anonymous,omitempty"`
}

// ServicePlan is what the operator declares of one service.
type ServicePlan struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections is what one upstream accepts from all daemons together.
	MaxConnections int `json:"maxConnections"`
	// Engine is nil for a plain service.
	Engine *EnginePlan `json:"engine,omitempty"`
}

// EnginePlan is what the model engines of one service have in common.
type EnginePlan struct {
	Slots int `json:"slots"`
	// MemoryTokens is the KV cache that running requests and reservations share, in tokens.
	MemoryTokens int `json:"memoryTokens"`
	// TokensPerEvent is how many tokens one event of a stream stands for, at most.
	TokensPerEvent int `json:"tokensPerEvent"`
	// ExportMillis is how long an engine keeps a finished prefill for another engine.
	ExportMillis int64 `json:"exportMillis"`
	// RoleChangeMillis is how long an engine is away while it changes its role.
	RoleChangeMillis int64 `json:"roleChangeMillis"`
	// MaxReservationMillis is the longest reservation that an engine grants.
	MaxReservationMillis int64 `json:"maxReservationMillis"`
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	IdleMillis   int64 `json:"idleMillis"`
}

// RoutePlan is one version of the operator's whole configuration of routes and services.
// It is immutable once published.
type RoutePlan struct {
	// Version grows with every change, in uneven steps.
	Version  int64         `json:"version"`
	Routes   []Route       `json:"routes"`
	Services []ServicePlan `json:"services"`
	Limits   CallerLimits  `json:"limits"`
	// Accounts are the client accounts; when there are none, no call needs a key.
	Accounts []ClientAccount `json:"accounts,omitempty"`
}

// Upstream is one running incarnation of a service's process.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving"`
	// Role is empty for a plain service.
	Role Role `json:"role,omitempty"`
	// StartedMillis tells two incarnations under one id apart; Unix milliseconds by the upstream's clock.
	StartedMillis int64 `json:"startedMillis,omitempty"`
}

// UpstreamKey names one incarnation of an upstream.
type UpstreamKey struct {
	ID            string `json:"id"`
	StartedMillis int64  `json:"startedMillis,omitempty"`
}

// Key names the upstream's incarnation.
func (u Upstream) Key() UpstreamKey {
	return UpstreamKey{ID: u.ID, StartedMillis: u.StartedMillis}
}

// ModelWork is what a call for a model engine says of its size.
type ModelWork struct {
	PromptTokens int `json:"promptTokens"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"maxTokens"`
	// HintTokens is the caller's estimate of the answer's length; right in the median only. 0 says nothing.
	HintTokens int `json:"hintTokens"`
	// Subject names the last part of the prompt, which belongs to the call itself or to its session.
	Subject string `json:"subject,omitempty"`
}

// RoutedCall is one attempt of a caller, read whole.
type RoutedCall struct {
	// ID is unique to the attempt.
	ID     string
	Host   string
	Method string
	// Target is the path and query exactly as sent.
	Target string
	// Path is the part of the target that selects the route.
	Path string
	// Header holds what is passed on; what concerns one connection or is the router's to set is left out.
	Header [][2]string
	Body   []byte
	Work   ModelWork
	// Account is the client account whose key the call carried; empty when there was none.
	Account string
	// LastEvent is the event after which a resumed stream goes on; 0 from the start.
	LastEvent int64
	// ReceivedAt is when the call was read.
	ReceivedAt time.Time
	// Deadline is when the caller leaves.
	Deadline time.Time
}
