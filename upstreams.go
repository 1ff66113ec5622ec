package turmericwall

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Step is the part of a model call that is requested from a decode engine.
type Step string

// The steps of a model call.
const (
	// StepLocalPrefill requests a local prefill and the answer.
	StepLocalPrefill Step = ""
	// StepImport requests the answer after the import of a prefill that another engine exported.
	StepImport Step = "import"
)

// OutgoingCall is one send of a call to one upstream.
type OutgoingCall struct {
	Call RoutedCall
	// Deadline is when the upstream may stop working on the call.
	Deadline time.Time
	Step     Step
	// Export identifies the prefill to import.
	Export EngineExport
	// Reservation is the ID that Reserve returned; empty if there is none.
	Reservation string
	// ResumeAfter is the number of the last event of the stream that the caller has already; 0 if there is none.
	ResumeAfter int64
	// Priority orders the engine's queue, 0 to 9; lower numbers go first.
	Priority int
	// Repeated is set if the upstream was sent a request with the call's id before. It is for peers of an earlier version, through
	// which the call may go: the transport itself sends no id twice over a connection.
	Repeated bool
}

// EngineExport identifies a finished prefill that can be imported.
type EngineExport struct {
	// Address is the host:port of the engine that holds it, and Handle its ID there.
	Address string `json:"address"`
	Handle  string `json:"handle"`
	Tokens  int    `json:"tokens"`
}

// Framing is what marks the end of an answer's body.
type Framing string

// The framings of bodies.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	// FramingConnection is that of a body with neither a length nor chunks, which ends with its connection.
	FramingConnection Framing = "connection"
)

// Answer is an upstream's answer, of which the status and the header have been received.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; -1 if it is unknown.
	Length int64
	// Body returns io.EOF at the end that its framing marks. Closing it earlier stops the upstream's work.
	Body io.ReadCloser
	// Framing is what ends the body; empty if it is unknown.
	Framing Framing
	// Peer is the address of the daemon through which the answer came; empty if it came directly.
	Peer string
	// NotRun is set if the upstream states that it did not run the call and never will.
	NotRun bool
	// Reused is set if the connection had carried an earlier request.
	Reused bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// UpstreamRequest is one encoded request to an upstream.
type UpstreamRequest struct {
	// Head is the request line with the headers and the empty line after them.
	Head []byte
	Body []byte
	// Method is that of the request line; the body of the answer depends on it.
	Method string
	// CallID is the id of the caller's call that the request belongs to. It is empty for control requests.
	CallID string
	// ControlID is the id of a control request, which an upstream may repeat in its answer; empty for calls.
	ControlID string
	// OwnConnection is set if the request must be the first one on its connection. No connection carries an id twice without it;
	// it is for peers of an earlier version, and for requests to which an answer without an id may be a copy of an earlier one.
	OwnConnection bool
	// IsOrder is set if the request orders an upstream to stop a run. Where a new connection is refused, it is sent on a kept one that tells
	// its answer from others by the id, and through any peer that has a connection.
	IsOrder bool
}

// UpstreamTransport exchanges requests with upstreams. It never resends a request.
type UpstreamTransport interface {
	// Exchange sends a request and returns as soon as the head of its answer was received. The error is a *SendError.
	Exchange(ctx context.Context, to Upstream, request UpstreamRequest) (*Answer, error)
}

// UpstreamConnections are a daemon's own connections to upstreams.
type UpstreamConnections interface {
	UpstreamTransport
	// Connect opens a connection and keeps it for the next request. The error is a *SendError.
	Connect(ctx context.Context, to Upstream) error
	// CloseIdle closes the connections that no request uses.
	CloseIdle(to Upstream)
	// LastReceivedAt returns when anything was last received from the upstream; zero if that was never.
	LastReceivedAt(to Upstream) time.Time
	// States returns the states of the connections to the upstream, without those of one call, which ended at the time.
	States(to Upstream, callID string, endedAt time.Time) ConnectionStates
}

// ConnectionStates counts a daemon's connections to one upstream by their states.
type ConnectionStates struct {
	// Open are established. Heard is set if the upstream's system acknowledged something on one of them lately, which a machine
	// does whose process stands still.
	Open  int
	Heard bool
	// Broken are those that the upstream ended inside an answer at about the time, and Closed idle ones that it has closed.
	Broken, Closed int
}

// UpstreamStatement is what one answer of an upstream states about the upstream itself.
type UpstreamStatement struct {
	// SentAt is when the call was sent, and ReceivedAt when the head of its answer was received.
	SentAt, ReceivedAt time.Time
	// PerSecond is the rate in requests per second that the upstream accepts from all daemons together, if RateStated
	// is set. RateLifted is set if the answer states no rate and is of the kind that would state one. Neither is set
	// for refusals and for answers to the router's own calls.
	PerSecond  float64
	RateStated bool
	RateLifted bool
	// Leaving is set if the upstream announces that it leaves.
	Leaving bool
	// BackOffUntil is the end of the back-off that the upstream asks this daemon for; zero if it asks for none.
	BackOffUntil time.Time
}

// UpstreamRate is the newest statement of an upstream's rate, as one daemon sends it to another.
type UpstreamRate struct {
	ID            string `json:"id"`
	StartedMillis int64  `json:"startedMillis,omitempty"`
	// PerSecond is the rate in requests per second.
	PerSecond float64 `json:"perSecond,omitempty"`
	// Lifted is set if the upstream no longer states a rate.
	Lifted bool `json:"lifted,omitempty"`
	// AgeMillis is the age of the statement.
	AgeMillis int64 `json:"ageMillis"`
}

// Key identifies the upstream's incarnation.
func (r UpstreamRate) Key() UpstreamKey { return UpstreamKey{ID: r.ID, StartedMillis: r.StartedMillis} }

// CachedPrompt is the part of a prompt that is in an engine's prompt cache.
type CachedPrompt struct {
	// Subject is the name of the part, as in ModelWork.
	Subject string
	Tokens  int
}

// EngineLoad is a model engine's state as of some hundred milliseconds ago.
type EngineLoad struct {
	// StartedMillis is the start that the engine states, in Unix milliseconds; 0 if it states none.
	StartedMillis int64
	Role          Role
	// ChangingRole is set while the engine carries out a role order.
	ChangingRole bool
	// OrderCount is the number of role orders that the incarnation has accepted.
	OrderCount int64
	// Waiting and Running are numbers of calls.
	Waiting int
	Running int
	// UsedTokens is the memory that can't be reclaimed, in tokens.
	UsedTokens int
	// TotalTokens is the engine's total memory, in tokens.
	TotalTokens int
}

// RoleOrder orders an engine to change its role.
type RoleOrder struct {
	Role Role
	// Holder is the daemon that holds the leader's lease.
	Holder string
	// Fence is the fencing token of the lease; it increases with each new holder.
	Fence int64
	// OrderCount is the engine's OrderCount on which the order is based. The engine refuses the order if it accepted
	// another one since.
	OrderCount int64
}

// UpstreamClient is the client of all upstreams. It never resends anything: only its caller knows whether a call may
// run twice.
type UpstreamClient interface {
	// Send sends one call and returns as soon as the head of the answer was received. The error is a *SendError.
	Send(ctx context.Context, to Upstream, call OutgoingCall) (*Answer, error)
	// Prefill has an engine prefill the prompt and export the result. The error is a *SendError.
	Prefill(ctx context.Context, to Upstream, call OutgoingCall) (EngineExport, error)
	// DropExport frees an export that no engine will import.
	DropExport(ctx context.Context, to Upstream, export EngineExport) error
	// Reserve reserves a slot and memory for the number of tokens until the deadline; ok is false if the engine has
	// none left.
	Reserve(ctx context.Context, to Upstream, tokens int, deadline time.Time) (reservation string, ok bool, err error)
	// DropReservation releases an unused reservation.
	DropReservation(ctx context.Context, to Upstream, reservation string) error
	// CopyRun copies a call's memory to another engine while the run continues, so that MoveRun copies only what is new.
	CopyRun(ctx context.Context, from, to Upstream, callID string) (EngineExport, error)
	// MoveRun stops a call's run and copies its memory to another engine, where the run can continue from the export.
	// If the copy fails, copied is false and the export can be imported by the engine from; the run has stopped there
	// too.
	MoveRun(ctx context.Context, from, to Upstream, callID string) (export EngineExport, copied bool, err error)
	// CachedPrompts queries which prompts are in an engine's prompt cache.
	CachedPrompts(ctx context.Context, to Upstream) ([]CachedPrompt, error)
	// FetchLoad queries an engine's state.
	FetchLoad(ctx context.Context, to Upstream) (EngineLoad, error)
	// ChangeRole sends a role order; accepted is false if the engine refused it.
	ChangeRole(ctx context.Context, to Upstream, order RoleOrder) (accepted bool, err error)
}

// UpstreamThrottle keeps sends within the rates that upstreams state, and out of the back-off that upstreams ask for.
type UpstreamThrottle interface {
	// Admit admits one send to the upstream. The error is a *Problem with a retry time.
	Admit(ctx context.Context, upstream UpstreamKey) error
	// ReturnSend returns an admitted send that was not made.
	ReturnSend(upstream UpstreamKey)
	// BackoffUntil returns the end of the back-off that the upstream asked this daemon for; zero if there is none.
	BackoffUntil(upstream UpstreamKey) time.Time
}

// SendError is the error of a failed send. It states how far the send got.
type SendError struct {
	// Sent is set if a byte of the call may have reached the upstream.
	Sent bool
	// NotRun is set if the upstream states that it did not run the call.
	NotRun bool
	// IncarnationReplaced is set if another incarnation answers at the address, so that the one that the call was for
	// has terminated.
	IncarnationReplaced bool
	// Status is the HTTP status of the upstream's refusal; 0 if there was no answer.
	Status int
	// Reused is set if the refusal came on a connection that had carried an earlier request.
	Reused bool
	// ConnectFailed is set if no connection to the upstream could be established.
	ConnectFailed bool
	// RefusedAt is set beside ConnectFailed if no process listened at the upstream's address at that time, which may be before the
	// request. Zero means that the connection was not established in time, which a lost packet or a process that stands still gives
	// too.
	RefusedAt time.Time
	// PathLost is set if the cause is this daemon's network path and not the upstream.
	PathLost bool
	// ShareUsed is set if this daemon's share of the upstream's connections is in use.
	ShareUsed bool
	Err       error
}

// Error returns the text of the cause.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ShowsEndAfter reports whether no process listened at the upstream's address after the time, so that one which worked then has
// ended.
func (e *SendError) ShowsEndAfter(at time.Time) bool {
	return !e.PathLost && !e.RefusedAt.IsZero() && !e.RefusedAt.Before(at)
}

// IsSafeToResend reports whether the call has certainly not run at this upstream, so that it may be sent to another
// one.
func (e *SendError) IsSafeToResend() bool { return !e.Sent || e.NotRun }
