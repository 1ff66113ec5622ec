package turmericwall

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Step is the part of a model call that one engine is asked for.
type Step string

// The steps of a model call.
const (
	// StepWhole asks for the answer, the prompt being read by the same engine.
	StepWhole Step = ""
	// StepImport asks for the answer from a prefill that another engine exported.
	StepImport Step = "import"
)

// Outgoing is one send of a call to one upstream.
type Outgoing struct {
	Call RoutedCall
	// Deadline is when the upstream may stop working.
	Deadline time.Time
	Step     Step
	// Export names the prefill to import.
	Export EngineExport
	// Reservation is what Reserve gave, or empty.
	Reservation string
	// ResumeAfter is the last event that the caller already has; 0 for none.
	ResumeAfter int64
	// Priority orders the engine's queue, 0 to 9; lower goes first.
	Priority int
}

// EngineExport names a finished prefill.
type EngineExport struct {
	// Address is the engine that holds it.
	Address string `json:"address"`
	Handle  string `json:"handle"`
	Tokens  int    `json:"tokens"`
}

// Answer is an upstream's answer from its head on.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 when only its end tells.
	Length int64
	// Body gives io.EOF only at the body's true end; closing it early ends the work upstream.
	Body io.ReadCloser
	// NotRun is the upstream's word that it did not run the call and never will.
	NotRun bool
}

// UpstreamStatement is what one answer of an upstream says of the upstream itself.
type UpstreamStatement struct {
	// SentAt is when the call was sent, and ReceivedAt when the head of its answer was received.
	SentAt, ReceivedAt time.Time
	// PerSecond is the rate of requests that the upstream takes from all daemons together, if RateStated. RateLifted tells
	// that the answer would state a rate and states none; refusals and answers to calls of the router's own say neither.
	PerSecond  float64
	RateStated bool
	RateLifted bool
	// Leaving tells that the upstream announces its end.
	Leaving bool
	// BackOffUntil is when the upstream takes calls of this daemon again; zero when it said nothing of it.
	BackOffUntil time.Time
}

// UpstreamRate is the newest statement on an upstream's rate that one daemon tells another.
type UpstreamRate struct {
	ID            string `json:"id"`
	StartedMillis int64  `json:"startedMillis,omitempty"`
	// PerSecond is in requests a second.
	PerSecond float64 `json:"perSecond,omitempty"`
	// Lifted tells that the upstream no longer states a rate.
	Lifted bool `json:"lifted,omitempty"`
	// AgeMillis is how long ago the upstream said so.
	AgeMillis int64 `json:"ageMillis"`
}

// Key names the upstream's incarnation.
func (r UpstreamRate) Key() UpstreamKey { return UpstreamKey{ID: r.ID, StartedMillis: r.StartedMillis} }

// KeptPrompt is the part of a prompt that an engine still holds.
type KeptPrompt struct {
	// Subject is the part's name, as in ModelWork.
	Subject string
	Tokens  int
}

// EngineLoad is a model engine's state some hundred milliseconds ago.
type EngineLoad struct {
	Role Role
	// Changing tells that an order is being carried out.
	Changing bool
	// OrderCount counts the orders that the incarnation accepted.
	OrderCount int64
	Waiting    int
	Running    int
	// UsedTokens is the memory that can't be reclaimed.
	UsedTokens int
	// TotalTokens is the engine's whole memory.
	TotalTokens int
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Role Role
	// Holder is the daemon that may order.
	Holder string
	// Fence grows with each new holder.
	Fence int64
	// OrderCount must still hold when the order is carried out.
	OrderCount int64
}

// Upstreams sends to upstreams. Nothing is ever sent twice by itself.
type Upstreams interface {
	// Send sends one call and returns the answer's head; the error is a *SendError.
	Send(ctx context.Context, to Upstream, call Outgoing) (*Answer, error)
	// Prefill has the prompt read and exported; the error is a *SendError.
	Prefill(ctx context.Context, to Upstream, call Outgoing) (EngineExport, error)
	// DropExport frees an export that nobody will import.
	DropExport(ctx context.Context, to Upstream, export EngineExport) error
	// Reserve takes a slot and memory for tokens; ok is false when the engine has none left.
	Reserve(ctx context.Context, to Upstream, tokens int, deadline time.Time) (reservation string, ok bool, err error)
	// DropReservation gives an unused reservation back.
	DropReservation(ctx context.Context, to Upstream, reservation string) error
	// MoveRun stops a call's run and copies its memory to another engine, where it can go on by the export. When the
	// copy fails, copied is false and the export can be imported by the engine itself, which has stopped all the same.
	MoveRun(ctx context.Context, from, to Upstream, callID string) (export EngineExport, copied bool, err error)
	// Kept asks an engine which prompts its memory still holds.
	Kept(ctx context.Context, to Upstream) ([]KeptPrompt, error)
	// Load asks an engine for its state.
	Load(ctx context.Context, to Upstream) (EngineLoad, error)
	// ChangeRole sends an order; accepted is false when the engine declined it.
	ChangeRole(ctx context.Context, to Upstream, order RoleOrder) (accepted bool, err error)
}

// UpstreamThrottle keeps sends within what upstreams say that they take.
type UpstreamThrottle interface {
	// Admit takes one send to the upstream. The error is a *Problem that says when to come back.
	Admit(ctx context.Context, upstream UpstreamKey) error
	// Return gives back a send that was not made.
	Return(upstream UpstreamKey)
	// ClosedUntil is when an upstream that wants no call from this daemon takes one again; zero when it takes one now.
	ClosedUntil(upstream UpstreamKey) time.Time
}

// SendError tells how far a failed send got.
type SendError struct {
	// Sent tells that a byte of the call may have reached the upstream.
	Sent bool
	// NotRun is the upstream's own word that it did not run the call.
	NotRun bool
	// Gone tells that another incarnation answers at the address.
	Gone bool
	// Status is the upstream's refusal, or 0.
	Status int
	Err    error
}

// Error says what failed.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Safe tells that the call has certainly not run at this upstream.
func (e *SendError) Safe() bool { return !e.Sent || e.NotRun }
