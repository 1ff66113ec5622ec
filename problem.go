package turmericwall

import (
	"errors"
	"fmt"
	"time"
)

// Kind is a machine-readable kind of problem.
type Kind string

// The kinds of problem that callers and operators see.
const (
	KindBadRequest       Kind = "badRequest"
	KindUnauthorized     Kind = "unauthorized"
	KindForbidden        Kind = "forbidden"
	KindNotFound         Kind = "notFound"
	KindTooLarge         Kind = "tooLarge"
	KindKeyReused        Kind = "idempotencyKeyReused"
	KindStillRunning     Kind = "stillRunning"
	KindOverLimit        Kind = "overLimit"
	KindOverloaded       Kind = "overloaded"
	KindUpstreamFailed   Kind = "upstreamFailed"
	KindNoUpstream       Kind = "noUpstream"
	KindStoreUnavailable Kind = "storeUnavailable"
	KindOutcomeUnknown   Kind = "outcomeUnknown"
	KindNotReady         Kind = "notReady"
	KindCancelled        Kind = "cancelled"
	KindInvalidDocument  Kind = "invalidDocument"
	KindInvalidSettings  Kind = "invalidSettings"
	KindConflict         Kind = "conflict"
)

// Outcome tells a caller whether its request had an effect.
type Outcome string

// The outcomes of a request that has no answer.
const (
	// OutcomeNotRun is final: the request did not run and never will.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Problem is an error with a remedy.
type Problem struct {
	kind    Kind
	detail  string
	remedy  string
	outcome Outcome
	retryAt time.Time
	cause   error
}

// NewProblem returns a problem whose request did not run.
func NewProblem(kind Kind, detail, remedy string) *Problem {
	return &Problem{kind: kind, detail: detail, remedy: remedy, outcome: OutcomeNotRun}
}

// Refused returns the problem of an attempt that a leader turned away.
func Refused(r Refusal) *Problem {
	if r.Never {
		return NewProblem(KindTooLarge, r.Reason, "shorten the prompt or ask for fewer tokens")
	}
	return NewProblem(KindOverloaded, r.Reason, "come back at the time given").WithRetryAt(r.RetryAt)
}

// WithOutcome returns a copy with the outcome.
func (p *Problem) WithOutcome(outcome Outcome) *Problem {
	c := *p
	c.outcome = outcome
	return &c
}

// WithRetryAt returns a copy that tells the caller when to come back.
func (p *Problem) WithRetryAt(at time.Time) *Problem {
	c := *p
	c.retryAt = at
	return &c
}

// WithCause returns a copy that wraps the cause.
func (p *Problem) WithCause(err error) *Problem {
	c := *p
	c.cause = err
	return &c
}

// Kind returns the machine-readable kind.
func (p *Problem) Kind() Kind { return p.kind }

// Detail says what went wrong.
func (p *Problem) Detail() string { return p.detail }

// Remedy says what to do about it.
func (p *Problem) Remedy() string { return p.remedy }

// Outcome tells whether the request may have run.
func (p *Problem) Outcome() Outcome { return p.outcome }

// RetryAt returns when to come back; zero when coming back does not help.
func (p *Problem) RetryAt() time.Time { return p.retryAt }

// Error names the detail and the remedy.
func (p *Problem) Error() string {
	if p.cause != nil {
		return fmt.Sprintf("%s: %s; %s: %v", p.kind, p.detail, p.remedy, p.cause)
	}
	return fmt.Sprintf("%s: %s; %s", p.kind, p.detail, p.remedy)
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.cause }

// IsKind tells whether the error is a problem of the kind.
func IsKind(err error, kind Kind) bool {
	var p *Problem
	return errors.As(err, &p) && p.kind == kind
}

// ConflictError tells that a conditional write found another version.
type ConflictError struct {
	key string
}

// NewConflictError returns the conflict on the row with the key.
func NewConflictError(key string) *ConflictError { return &ConflictError{key: key} }

// Key returns the row's key.
func (e *ConflictError) Key() string { return e.key }

// Error names the row and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has another version; read it again and decide anew", e.key)
}

// IsConflict tells whether the error is a conditional write that found another version.
func IsConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}

// EngineError is a failed call to an engine.
type EngineError struct {
	engine string
	reason EngineReason
	cause  error
}

// EngineReason says why a call to an engine failed.
type EngineReason string

// The reasons of a failed call to an engine.
const (
	// EngineFull refused the attempt: no slot or memory.
	EngineFull EngineReason = "full"
	// EngineExportGone could not import: the export was evicted.
	EngineExportGone EngineReason = "exportGone"
	// EngineTransferFailed could not import, while the export may still be there.
	EngineTransferFailed EngineReason = "transferFailed"
	// EngineUnreachable gave no answer, or broke it off.
	EngineUnreachable EngineReason = "unreachable"
	// EngineRefused answered that the call is wrong.
	EngineRefused EngineReason = "refused"
)

// NewEngineError returns the failure of a call to the engine.
func NewEngineError(engine string, reason EngineReason, cause error) *EngineError {
	return &EngineError{engine: engine, reason: reason, cause: cause}
}

// Reason says why the call failed.
func (e *EngineError) Reason() EngineReason { return e.reason }

// Error names the engine and the reason.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine %s: %s: %v", e.engine, e.reason, e.cause)
}

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error { return e.cause }
