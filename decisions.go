package turmericwall

import "time"

// Event is an input of a Policy.
type Event interface{ isEvent() }

// Action is an output of a Policy.
type Action interface{ isAction() }

// Arrival asks for a place for one attempt.
type Arrival struct {
	// Attempt is unique; its part before the first slash names the owner's incarnation.
	Attempt string
	Service string
	Model   string
	Account string
	// Work names the kind of work; entries of one kind share a queue.
	Work   string
	Urgent bool
	// Worth is the value of one finished request of this kind.
	Worth float64
	// TokenGapMillis is the target for the time between tokens; zero sets none.
	TokenGapMillis float64
	PromptTokens   int
	MaxTokens      int
	// Blocks are the chained hashes of the prompt's blocks.
	Blocks []uint64
	// FirstTokenDeadline is when the first token is due; zero means that the request may wait.
	FirstTokenDeadline time.Time
	// GiveUpDeadline ends the wait of a request that may wait; zero waits without limit.
	GiveUpDeadline time.Time
	// Resumed attempts continue an answer already begun and go first.
	Resumed bool
	// Prefilled names the engine that still holds the attempt's export, so that only a decode place is wanted.
	Prefilled string
	// Avoid names engines that failed this request.
	Avoid []string
}

// Finished reports the end of an attempt.
type Finished struct{ Ending Ending }

// Ending tells how an attempt ended.
type Ending struct {
	Service string
	Attempt string
	// FailedEngine names the engine that failed the attempt, if one did.
	FailedEngine string
}

// Reported brings an engine's load report.
type Reported struct {
	VM     VM
	Report Report
}

// Cached brings an engine's cache events.
type Cached struct {
	Engine string
	Events CacheEvents
}

// Listed brings the current list of the service's engines and of the links between their zones.
type Listed struct {
	VMs   []VM
	Links []Link
}

// OwnerLost tells that a daemon's incarnation is gone.
type OwnerLost struct{ Incarnation string }

// Withdrawn takes a waiting arrival back.
type Withdrawn struct{ Attempt string }

// Tick lets time pass.
type Tick struct{}

func (Arrival) isEvent()   {}
func (Finished) isEvent()  {}
func (Reported) isEvent()  {}
func (Cached) isEvent()    {}
func (Listed) isEvent()    {}
func (OwnerLost) isEvent() {}
func (Withdrawn) isEvent() {}
func (Tick) isEvent()      {}

// Grant places one attempt on a pair of engines.
type Grant struct {
	Attempt string
	Prefill VM
	Decode  VM
	// ReservedUntil is when the decode reservation lapses unless the engine reports the attempt.
	ReservedUntil time.Time
	// CachedTokens is how much of the prompt the prefill engine is believed to hold.
	CachedTokens int
	// FirstToken is when the first token is expected.
	FirstToken time.Time
	// Reason says in a few words what decided.
	Reason string
	// Considered counts the engines weighed.
	Considered int
}

// Refusal turns one attempt away.
type Refusal struct {
	Attempt string
	Reason  string
	// RetryAt is when the backlog is expected to leave room.
	RetryAt time.Time
	// Never says that no engine could ever hold the attempt.
	Never bool
}

// Sweep asks the driver to find out whether the attempt's owner still wants it, and else to cancel it.
type Sweep struct {
	VM      VM
	Attempt string
}

func (Grant) isAction()   {}
func (Refusal) isAction() {}
func (Sweep) isAction()   {}
