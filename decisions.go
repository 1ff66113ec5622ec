package turmericwall

import "time"

// Event is an input of a Policy: Arrival, AttemptEnded, EngineReported, CacheChanged, EnginesListed, OwnerLost,
// ArrivalWithdrawn or Tick.
type Event interface{ isEvent() }

// Action is an output of a Policy: Grant, Refusal or Sweep.
type Action interface{ isAction() }

// Arrival requests a placement for one attempt.
type Arrival struct {
	// Attempt is the attempt's unique ID. Its part before the first slash is the incarnation of the owner, the daemon
	// that serves the caller.
	Attempt string
	Service string
	Model   string
	Account string
	// Work is the name of the kind of work. Arrivals of one kind share a queue.
	Work   string
	Urgent bool
	// Worth is the value of one finished request of this kind relative to other kinds.
	Worth float64
	// TokenGapMillis is the target for the mean time between tokens; zero means none.
	TokenGapMillis float64
	PromptTokens   int
	MaxTokens      int
	// BlockHashes are the chained hashes of the prompt's blocks.
	BlockHashes []uint64
	// FirstTokenDeadline is the target time of the first token; zero means that the request is deferrable.
	FirstTokenDeadline time.Time
	// GiveUpDeadline limits the wait of a deferrable request; zero means no limit.
	GiveUpDeadline time.Time
	// Resumed is set for an attempt that continues a partial answer. Such attempts go first.
	Resumed bool
	// ExportEngine is the engine that still holds the attempt's export, so that only a decode engine is requested;
	// empty if there is none.
	ExportEngine string
	// Avoid are the engines that failed this request.
	Avoid []string
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct{ Ending Ending }

// Ending states how an attempt ended.
type Ending struct {
	Service string
	Attempt string
	// FailedEngine is the engine that failed the attempt; empty if none did.
	FailedEngine string
}

// EngineReported carries an engine's load report.
type EngineReported struct {
	VM     VM
	Report Report
}

// CacheChanged carries an engine's prefix-cache events.
type CacheChanged struct {
	Engine string
	Events CacheEvents
}

// EnginesListed carries the current lists of the service's engines and of the links between data centres.
type EnginesListed struct {
	VMs   []VM
	Links []Link
}

// OwnerLost reports that a daemon's incarnation has terminated.
type OwnerLost struct{ Incarnation string }

// ArrivalWithdrawn removes a waiting arrival.
type ArrivalWithdrawn struct{ Attempt string }

// Tick reports that time has passed and carries nothing else.
type Tick struct{}

func (Arrival) isEvent()          {}
func (AttemptEnded) isEvent()     {}
func (EngineReported) isEvent()   {}
func (CacheChanged) isEvent()     {}
func (EnginesListed) isEvent()    {}
func (OwnerLost) isEvent()        {}
func (ArrivalWithdrawn) isEvent() {}
func (Tick) isEvent()             {}

// Grant places one attempt on a prefill and a decode engine.
type Grant struct {
	Attempt string
	Prefill VM
	Decode  VM
	// ReservedUntil is when the decode reservation expires unless the engine's report lists the attempt by then.
	ReservedUntil time.Time
	// CachedTokens is the estimated number of prompt tokens in the prefill engine's cache.
	CachedTokens int
	// FirstTokenAt is the expected time of the first token.
	FirstTokenAt time.Time
	// Reason states in a few words what decided the choice of engines.
	Reason string
	// EnginesConsidered is the number of engines that were compared.
	EnginesConsidered int
}

// RefusalCause is what was short when a call was refused.
type RefusalCause string

// The causes of refusals.
const (
	// RefusedForMemory means that no decode engine had memory in time, RefusedForPrefill that no engine could have prefilled
	// the prompt in time.
	RefusedForMemory  RefusalCause = "memory"
	RefusedForPrefill RefusalCause = "prefill"
	// RefusedAsLate means that a retry was late already, and that calls that can be on time need what becomes free.
	RefusedAsLate RefusalCause = "late"
	// RefusedForShare means that the call's client account used more than its share while others needed the rest.
	RefusedForShare RefusalCause = "share"
)

// Refusal refuses one attempt.
type Refusal struct {
	Attempt string
	Reason  string
	// RetryAt is when the backlog is expected to be short enough to accept the attempt.
	RetryAt time.Time
	// Permanent is set if the attempt exceeds every engine, so that a retry can't succeed.
	Permanent bool
	// VersionGone is set if no engine of the software version that the call requires is listed.
	VersionGone bool
	// Quarantined is set if the call's input ends engines.
	Quarantined bool
	// Cause is what was short; empty for other refusals.
	Cause RefusalCause
}

// Sweep requests that the attempt be cancelled at the engine unless its owner still needs it. The caller of Step
// queries the owner.
type Sweep struct {
	VM      VM
	Attempt string
}

func (Grant) isAction()   {}
func (Refusal) isAction() {}
func (Sweep) isAction()   {}
