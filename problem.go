package turmericwall

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the machine-readable kind of a Problem.
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
	KindQuarantined      Kind = "quarantined"
)

// Outcome states whether a failed request may have had an effect.
type Outcome string

// The outcomes of a request without an answer.
const (
	// OutcomeNotRun is final: the request did not run and never will.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Problem is an error that callers, operators and peers receive, with its kind, a remedy, the outcome of the request
// and the time for a retry. It is immutable; the With methods return copies.
type Problem struct {
	kind    Kind
	detail  string
	remedy  string
	outcome Outcome
	retryAt time.Time
	cause   error
	// refusedFor is what was short when the leader refused the call; empty for other problems.
	refusedFor RefusalCause
}

// NewProblem returns a problem with the outcome OutcomeNotRun.
func NewProblem(kind Kind, detail, remedy string) *Problem {
	return &Problem{kind: kind, detail: detail, remedy: remedy, outcome: OutcomeNotRun}
}

// NewRefusalProblem returns the problem of an attempt that a leader refused.
func NewRefusalProblem(r Refusal) *Problem {
	if r.Quarantined {
		return NewQuarantineProblem(r.Reason, r.RetryAt)
	}
	if r.Permanent {
		return NewProblem(KindTooLarge, r.Reason, "shorten the prompt or ask for fewer tokens")
	}
	p := NewProblem(KindOverloaded, r.Reason, "come back at the time given").WithRetryAt(r.RetryAt)
	p.refusedFor = r.Cause
	if r.VersionGone {
		return p.WithCause(ErrVersionGone)
	}
	return p
}

// NewQuarantineProblem returns the problem of a call whose input ends engines.
func NewQuarantineProblem(detail string, retryAt time.Time) *Problem {
	return NewProblem(KindQuarantined, detail, "ask the operator, and do not send the request again before the time given").
		WithRetryAt(retryAt).WithCause(ErrQuarantined)
}

// WithOutcome returns a copy with the outcome.
func (p *Problem) WithOutcome(outcome Outcome) *Problem {
	c := *p
	c.outcome = outcome
	return &c
}

// WithRetryAt returns a copy with the time at which the caller may retry.
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

// Detail returns what failed.
func (p *Problem) Detail() string { return p.detail }

// Remedy returns what to do about the problem.
func (p *Problem) Remedy() string { return p.remedy }

// Outcome returns whether the request may have run.
func (p *Problem) Outcome() Outcome { return p.outcome }

// RefusedFor returns what was short when the leader refused the call; empty for other problems.
func (p *Problem) RefusedFor() RefusalCause { return p.refusedFor }

// RetryAt returns when to retry; zero if a retry does not help.
func (p *Problem) RetryAt() time.Time { return p.retryAt }

// Error returns the kind, the detail, the remedy and the cause.
func (p *Problem) Error() string {
	if p.cause != nil {
		return fmt.Sprintf("%s: %s; %s: %v", p.kind, p.detail, p.remedy, p.cause)
	}
	return fmt.Sprintf("%s: %s; %s", p.kind, p.detail, p.remedy)
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.cause }

// IsKind reports whether err is or wraps a problem of the kind.
func IsKind(err error, kind Kind) bool {
	var p *Problem
	return errors.As(err, &p) && p.kind == kind
}

// ConflictError is the error of a conditional write whose row has another version.
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

// IsConflict reports whether err is or wraps a ConflictError.
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

// EngineReason states why a call to an engine failed.
type EngineReason string

// The reasons of a failed call to an engine.
const (
	// EngineFull means that the engine refused the attempt for lack of a slot or of memory.
	EngineFull EngineReason = "full"
	// EngineExportGone means that the engine could not import the export because it was evicted.
	EngineExportGone EngineReason = "exportGone"
	// EngineTransferFailed means that the import failed and the export may still exist.
	EngineTransferFailed EngineReason = "transferFailed"
	// EngineUnreachable means that the engine did not answer or that its answer was cut short.
	EngineUnreachable EngineReason = "unreachable"
	// EngineRefused means that the engine rejected the call as invalid.
	EngineRefused EngineReason = "refused"
)

// NewEngineError returns the error of a failed call to the engine.
func NewEngineError(engine string, reason EngineReason, cause error) *EngineError {
	return &EngineError{engine: engine, reason: reason, cause: cause}
}

// Reason returns why the call failed.
func (e *EngineError) Reason() EngineReason { return e.reason }

// Error names the engine and the reason.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine %s: %s: %v", e.engine, e.reason, e.cause)
}

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error { return e.cause }
