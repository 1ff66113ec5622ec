// Package turmericwall holds the interfaces between the router's slices and the messages they exchange.
package turmericwall

import (
	"context"
	"net/http"
	"time"
)

// Table is the platform's transactional table service.
// Every method returns a *Problem of kind KindStoreUnavailable when the service can't be reached.
type Table interface {
	// Get returns the row, or ok=false when there is none.
	Get(ctx context.Context, key string) (row Row, ok bool, err error)
	// List returns at most limit rows whose key starts with prefix and sorts after the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. A write whose condition fails gives a *ConflictError.
	// An answer lost after the writes took effect is settled by the transaction's token.
	Commit(ctx context.Context, transaction Transaction) error
}

// ObjectStore is the platform's store of immutable objects.
type ObjectStore interface {
	// Put stores the object unless the name exists; an existing object with the same bytes is no error.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the object's bytes, or ok=false when there is none.
	Get(ctx context.Context, name string) (content []byte, ok bool, err error)
}

// VMLister reads the platform's lagging list of live and leaving VMs.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// Writer commits small sets of writes, alone or grouped with others.
type Writer interface {
	// Write returns nil only when all the writes are durable; they take effect together or not at all.
	// Each write raises its row's version by one.
	Write(ctx context.Context, writes ...Write) error
}

// Engine is one upstream model engine, in the role of prefill, decode or both.
type Engine interface {
	// Prefill computes the prompt's KV cache and exports it; the export is evicted within a second.
	Prefill(ctx context.Context, call EngineCall) (Export, error)
	// Decode imports the export and hands each chunk to the sink in the order of arrival.
	Decode(ctx context.Context, call EngineCall, export Export, sink func(Chunk) error) error
	// Cancel frees what the engine holds for the attempt; an unknown attempt is no error.
	Cancel(ctx context.Context, attempt string) error
	// Report returns the engine's last load report, on a new connection when fresh is set.
	Report(ctx context.Context, fresh bool) (Report, error)
	// Events returns the cache events after the sequence number.
	Events(ctx context.Context, after uint64) (CacheEvents, error)
}

// Engines gives the client of an engine by its address (host:port).
type Engines interface {
	Engine(address string) Engine
}

// Placer decides where a request's prefill and decode run.
type Placer interface {
	// Place blocks until the request is granted a pair, or refused with a *Problem.
	Place(ctx context.Context, arrival Arrival) (Grant, error)
	// Finish reports how an attempt ended, so that its reservation is released.
	Finish(ending Ending)
}

// AttemptOwner tells how far this daemon's own attempts of non-idempotent calls got.
type AttemptOwner interface {
	// State seals an attempt that was not sent, so that its answer stays true.
	State(attempt string) AttemptState
}

// AttemptHolder tells which attempts this daemon still wants engine memory for.
type AttemptHolder interface {
	Wanted(attempts []string) []string
}

// Policy is a placement decision machine: events in, actions out, the same for the same input.
// It has no clock, socket or goroutine of its own, and its state is bounded.
type Policy interface {
	Step(now time.Time, event Event) []Action
}

// Canceller frees engine memory that no request wants any more.
type Canceller interface {
	// Cancel returns at once; the cancel is repeated until the engine's report no longer lists the attempt.
	Cancel(vm VM, attempt string)
}

// Sink receives one request's answer, token by token, each exactly once and in order.
type Sink interface {
	Token(text string) error
}

// Deliverer runs one request through prefill, transfer and decode until its answer is whole.
type Deliverer interface {
	// Deliver returns nil only when the sink has the whole answer.
	Deliver(ctx context.Context, request Request, sink Sink) (Usage, error)
}

// Forwarder sends a call to an upstream of a plain service.
type Forwarder interface {
	// Forward calls beforeSend once the connection stands and before the first byte is written;
	// when beforeSend fails nothing is sent.
	Forward(ctx context.Context, call ServiceCall, beforeSend func() error) (*http.Response, error)
}

// Peers reaches the other daemons.
type Peers interface {
	// Inquire asks the daemon that owns the attempt how far it got.
	Inquire(ctx context.Context, owner, attempt string) (AttemptState, error)
	// Hold asks the daemon which of its attempts it still wants.
	Hold(ctx context.Context, owner string, attempts []string) (wanted []string, err error)
	// Place asks the daemon, as leader, for a place.
	Place(ctx context.Context, leader string, arrival Arrival) (Grant, error)
	// Finish tells the leader how attempts ended.
	Finish(ctx context.Context, leader string, endings []Ending) error
	// Live tells whether the daemon's incarnation counts as live here.
	Live(incarnation string) bool
	// Isolated tells that most of the listed daemons are out of this one's reach.
	Isolated() bool
	// Leaders returns the incarnations of the live daemons that take duties, this one included.
	Leaders() []string
	// Self returns this daemon's incarnation.
	Self() string
}

// Fleet is the view of the upstreams' VMs.
type Fleet interface {
	// Upstreams returns the service's VMs; leaving ones are included and marked.
	Upstreams(service string) []VM
}

// Documents gives the configuration in force.
type Documents interface {
	// Current returns ok=false while no revision is known.
	Current() (document *Document, ok bool)
}

// Recorder writes numbered log events.
type Recorder interface {
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
