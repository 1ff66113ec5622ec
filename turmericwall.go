// Package turmericwall holds the interfaces, messages and errors that the router's other packages share. A request
// passes through them in this order: authentication and quota, placement on engines or choice of an upstream, sending,
// and delivery of the answer. The package has no logic beyond small methods on the messages, and depends on no other
// package of the router.
package turmericwall

import (
	"context"
	"net/http"
	"time"
)

// Table is the platform's transactional table service.
// Every method returns a *Problem of kind KindStoreUnavailable if the service can't be reached.
type Table interface {
	// Get returns the row; ok is false if there is none.
	Get(ctx context.Context, key string) (row Row, ok bool, err error)
	// List returns at most limit rows whose key starts with prefix and sorts after the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It returns a *ConflictError if a write's condition fails. If the answer is
	// lost, the rows are read back and their tokens compared with the transaction's, so that writes that took effect
	// are not reported as failed.
	Commit(ctx context.Context, transaction Transaction) error
}

// ObjectStore is the platform's store of immutable objects.
type ObjectStore interface {
	// Put stores the object unless the name exists; an existing object with the same bytes is no error.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the object's bytes; ok is false if there is none.
	Get(ctx context.Context, name string) (content []byte, ok bool, err error)
}

// VMLister reads the platform's list of live and leaving VMs, which lags behind the actual state.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// Writer commits small sets of writes. It may combine the sets of concurrent callers into one transaction.
type Writer interface {
	// Write returns nil only if all writes are durable; they take effect together or not at all. Each write increments
	// its row's version by one.
	Write(ctx context.Context, writes ...Write) error
}

// Engine is the client of one model engine, which does prefill, decode or both.
type Engine interface {
	// Prefill computes the prompt's KV cache and exports it. The engine evicts the export within a second.
	Prefill(ctx context.Context, call EngineCall) (Export, error)
	// Decode imports the export and passes each chunk of the answer to sink in the order of arrival.
	Decode(ctx context.Context, call EngineCall, export Export, sink func(Chunk) error) error
	// Cancel frees the memory and slot that the engine holds for the attempt; an unknown attempt is no error.
	Cancel(ctx context.Context, attempt string) error
	// Report returns the engine's last load report, over a new connection if fresh is set.
	Report(ctx context.Context, fresh bool) (Report, error)
	// Events returns the prefix-cache events after the sequence number.
	Events(ctx context.Context, after uint64) (CacheEvents, error)
}

// Engines returns the client of an engine by the engine's address (host:port).
type Engines interface {
	Engine(address string) Engine
}

// Placer decides on which engines an attempt's prefill and decode run.
type Placer interface {
	// Place blocks until the attempt is granted a prefill and a decode engine, or refused with a *Problem.
	Place(ctx context.Context, arrival Arrival) (Grant, error)
	// Finish reports how an attempt ended, which releases its reservation.
	Finish(ending Ending)
}

// AttemptOwner tracks the state of this daemon's own attempts of non-idempotent calls.
type AttemptOwner interface {
	// State returns how far the attempt got. An attempt that is not sent yet counts as running unless it is sealed,
	// because it may be sent at any time.
	State(attempt string) AttemptState
}

// AttemptHolder tracks for which attempts this daemon still needs engine memory.
type AttemptHolder interface {
	// FilterWanted returns those of the attempts that a request on this daemon still waits for.
	FilterWanted(attempts []string) []string
}

// Policy decides on placements as a deterministic state machine: equal events give equal actions. It has no clock,
// socket or goroutine of its own, and the size of its state is bounded.
type Policy interface {
	// Step applies one event and returns the resulting actions, which are valid until the next call.
	Step(now time.Time, event Event) []Action
}

// Canceller frees engine memory that no request needs any more.
type Canceller interface {
	// Cancel returns without waiting. The cancel is repeated until the engine has answered it and its load report no
	// longer lists the attempt, because a cancel can be lost or overtake the start of the attempt.
	Cancel(vm VM, attempt string)
}

// Sink receives the tokens of one request's answer, each exactly once and in order.
type Sink interface {
	Token(text string) error
}

// Deliverer runs one request through prefill, transfer and decode until its answer is complete, and retries failed
// attempts.
type Deliverer interface {
	// Deliver returns nil only if the sink received the complete answer.
	Deliver(ctx context.Context, request Request, sink Sink) (Usage, error)
	// EndsUnder returns the ends of engines under the request that are known here.
	EndsUnder(request Request) []UpstreamEnd
}

// Forwarder sends a call to an upstream of a plain service.
type Forwarder interface {
	// Forward calls beforeSend when the connection is established and before the first byte is written. If beforeSend
	// fails, nothing is sent.
	Forward(ctx context.Context, call ServiceCall, beforeSend func() error) (*http.Response, error)
}

// Peers sends requests to the other daemons and tracks which of them are live.
type Peers interface {
	// QueryAttempt queries how far the attempt got from the daemon that owns it.
	QueryAttempt(ctx context.Context, owner, attempt string) (AttemptState, error)
	// WantedAttempts queries which of its attempts the daemon still needs engine memory for.
	WantedAttempts(ctx context.Context, owner string, attempts []string) (wanted []string, err error)
	// Place requests a placement from the leader.
	Place(ctx context.Context, leader string, arrival Arrival) (Grant, error)
	// Finish reports to the leader how attempts ended.
	Finish(ctx context.Context, leader string, endings []Ending) error
	// IsLive reports whether this daemon counts the incarnation as live.
	IsLive(incarnation string) bool
	// IsPartitioned reports whether fewer than half of the listed daemons are reachable, so that this daemon is
	// probably the partitioned one.
	IsPartitioned() bool
	// EligibleLeaders returns the incarnations of the live daemons that may lead services, sorted, this one included
	// unless it is draining.
	EligibleLeaders() []string
	// Self returns this daemon's incarnation.
	Self() string
}

// Fleet is this daemon's view of the upstreams' VMs.
type Fleet interface {
	// Upstreams returns the service's VMs, including leaving ones, whose State is VMLeaving.
	Upstreams(service string) []VM
}

// Documents provides the configuration in force.
type Documents interface {
	// Current returns the document in force; ok is false while no revision is known.
	Current() (document *Document, ok bool)
}

// Recorder writes numbered log events.
type Recorder interface {
	// Record returns a new entry for the event; nothing is written before its Send.
	Record(event EventID) LogEntry
}

// LogEntry collects the fields of one log event.
type LogEntry interface {
	Str(key, value string) LogEntry
	Int(key string, value int64) LogEntry
	Float(key string, value float64) LogEntry
	Err(err error) LogEntry
	// Send writes the entry.
	Send()
}
