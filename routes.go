package turmericwall

import "time"

// CallKind states whether a call may run more than once.
type CallKind string

// The kinds of calls.
const (
	// CallIdempotent may run more than once.
	CallIdempotent CallKind = "idempotent"
	// CallNonIdempotent runs at most once.
	CallNonIdempotent CallKind = "nonIdempotent"
	// CallStream is answered with a stream of events and runs at most once, unless its route is resumable.
	CallStream CallKind = "stream"
)

// WeightedService is one of the services that share a route's calls.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is this service's share of the route's calls, relative to the sum of the route's weights.
	Weight int `json:"weight"`
}

// Route states how the calls under one host and path prefix are handled. Durations are in milliseconds, as in the
// operator's configuration.
type Route struct {
	Name     string            `json:"name"`
	Host     string            `json:"host"`
	Prefix   string            `json:"prefix"`
	Kind     CallKind          `json:"kind"`
	Services []WeightedService `json:"services"`
	// MaxUpstreams is the largest number of upstreams that one call may be sent to.
	MaxUpstreams int `json:"maxUpstreams"`
	// TimeoutMillis is the time after which a call without a complete answer is ended.
	TimeoutMillis int64 `json:"timeoutMillis"`
	// TargetMillis is the latency target for the answer, or for the first event of a stream.
	TargetMillis int64 `json:"targetMillis"`
	// Priority orders the waiting calls of all routes; 0 goes first.
	Priority int `json:"priority"`
	// ForModelEngine is set if the calls carry a prompt for a model engine.
	ForModelEngine bool `json:"model"`
	// Resumable is set if a stream may continue at another upstream after the last delivered event.
	Resumable bool `json:"resumable"`
	// EventGapMillis is the longest time between two events of a stream that is on time; 0 means no limit.
	EventGapMillis int64 `json:"eventGapMillis"`
	// Anonymous is set if the calls need no key.
	Anonymous bool `json:"anonymous,omitempty"`
}

// ServicePlan is the operator's configuration of one service.
type ServicePlan struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections is the number of connections that one upstream accepts from all daemons together.
	MaxConnections int `json:"maxConnections"`
	// Engine is nil for a plain service.
	Engine *EnginePlan `json:"engine,omitempty"`
}

// EnginePlan is the common configuration of the model engines of one service.
type EnginePlan struct {
	// Slots is the number of calls that one engine decodes at once.
	Slots int `json:"slots"`
	// MemoryTokens is the size of one engine's KV cache in tokens. Running requests and reservations share it.
	MemoryTokens int `json:"memoryTokens"`
	// TokensPerEvent is the largest number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokensPerEvent"`
	// ExportRetentionMillis is how long an engine keeps a finished prefill for another engine.
	ExportRetentionMillis int64 `json:"exportMillis"`
	// RoleChangeMillis is how long an engine accepts no calls while it changes its role.
	RoleChangeMillis int64 `json:"roleChangeMillis"`
	// MaxReservationMillis is the longest reservation that an engine grants.
	MaxReservationMillis int64 `json:"maxReservationMillis"`
}

// CallerLimits are the limits on callers' requests and connections.
type CallerLimits struct {
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// IdleTimeoutMillis is the idle timeout of a caller's connection.
	IdleTimeoutMillis int64 `json:"idleMillis"`
}

// RoutePlan is one version of the operator's complete configuration of routes, services and client accounts. It must
// not be changed once it is published.
type RoutePlan struct {
	// Version increases with every change, not always by one.
	Version int64 `json:"version"`
	// RowVersion is the store's version of the row that holds the plan; 0 if the daemon that read it is of an earlier build.
	RowVersion int64         `json:"rowVersion,omitempty"`
	Routes     []Route       `json:"routes"`
	Services   []ServicePlan `json:"services"`
	Limits     CallerLimits  `json:"limits"`
	// Accounts are the client accounts; if there are none, no call needs a key.
	Accounts []ClientAccount `json:"accounts,omitempty"`
}

// Upstream is one incarnation of a process that serves a service: a model engine or a plain server.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	// Leaving is set if the upstream is leaving and gets no new calls.
	Leaving bool `json:"leaving"`
	// Role is empty for a plain service.
	Role Role `json:"role,omitempty"`
	// StartedMillis distinguishes the incarnations under one ID: the start in Unix milliseconds by the upstream's
	// clock.
	StartedMillis int64 `json:"startedMillis,omitempty"`
	// Version is the version of the upstream's software. What two versions write doesn't fit together.
	Version SoftwareVersion `json:"version,omitempty"`
}

// SoftwareVersion is the version of an upstream's software, as its operator names it. Versions have no order.
type SoftwareVersion string

// VersionUnstated is the version of an upstream that states none. All of them count as one version.
const VersionUnstated SoftwareVersion = "unstated"

// UpstreamKey identifies one incarnation of an upstream.
type UpstreamKey struct {
	ID            string `json:"id"`
	StartedMillis int64  `json:"startedMillis,omitempty"`
}

// Key identifies the upstream's incarnation.
func (u Upstream) Key() UpstreamKey {
	return UpstreamKey{ID: u.ID, StartedMillis: u.StartedMillis}
}

// ModelWork is the size of a model call as the caller states it.
type ModelWork struct {
	PromptTokens int `json:"promptTokens"`
	// MaxTokens is the limit on the answer's length.
	MaxTokens int `json:"maxTokens"`
	// HintTokens is the caller's estimate of the answer's length; 0 if there is none. It is right in the median only:
	// single answers may be much shorter or longer.
	HintTokens int `json:"hintTokens"`
	// Subject is the name of the last part of the prompt, which belongs to the call itself or to its session.
	Subject string `json:"subject,omitempty"`
}

// RoutedCall is one call of a caller, read completely.
type RoutedCall struct {
	// ID is unique to the call; a retry by the caller has another one.
	ID     string
	Host   string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	// Path is the part of the target that selects the route.
	Path string
	// Header holds the fields that are forwarded, without those of one connection and those that the router sets
	// itself.
	Header [][2]string
	Body   []byte
	Work   ModelWork
	// PromptParts are the names of the prompt's parts in their order, without the last one, which is Work.Subject. Calls
	// share parts.
	PromptParts []string
	// Account is the client account whose key the call carries; empty if it carries none.
	Account string
	// LastEvent is the number of the event after which a resumed stream continues; 0 for the start.
	LastEvent int64
	// Resumes is the id of the call that brought the first event of the stream that this call takes up; empty if the
	// caller states none.
	Resumes string
	// Protocol is the version of HTTP that the caller speaks, such as HTTP/1.1.
	Protocol string
	// ReceivedAt is when the call was read.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}
