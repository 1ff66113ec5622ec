// Package twclaim makes a non-idempotent call run at most once across all daemons. Before the edge sends such a call
// to its upstream, it claims the call's idempotency key with a row in the platform's table; the answer is recorded in
// that row and replayed to callers that retry.
package twclaim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/once/twattempt"
	"github.com/turmericwall/turmericwall/internal/platform/twexpiry"
)

const (
	// claimTimeout bounds the wait for a claim's row; after it the call is refused as not run.
	claimTimeout = 3 * time.Second
	// recordWait is the longest time for which an answer waits to be recorded before it is returned; recording then
	// continues in the background.
	recordWait = 300 * time.Millisecond
	// recordTimeout bounds the retries of one record while the store is unavailable.
	recordTimeout       = 10 * time.Minute
	recordRetryInterval = 500 * time.Millisecond
	// retryDelay is the Retry-After of calls that were not run or are still running.
	retryDelay = time.Second
	// maxTakeovers bounds how often one call tries to take over a claim for which other daemons compete.
	maxTakeovers = 4
	// recordQueueSize bounds the claims that wait for a recorder while the store is unavailable.
	recordQueueSize = 1024
)

// Claims runs calls at most once for each account, service and key.
//
// Two daemons may receive the same key, and a daemon may terminate or be suspended anywhere between claim, send and
// record. A claim row is written before the call is sent, on the condition that no row exists; only its owner sends.
// Another daemon never takes a claim over because time has passed: it does so only when the owner itself, or the row,
// states that the attempt is sealed and can never be sent. Only a repeatable call is also taken over when the row
// states that its outcome is unknown, or when its owner can't state the outcome and is no longer live.
type Claims struct {
	config    Config
	sweeper   *twexpiry.Sweeper
	recording chan *claim
}

// Config holds the dependencies of Claims.
type Config struct {
	// Incarnation names this start of the daemon; it is written as the owner of its claims.
	Incarnation string
	Table       turmericwall.Table
	Writer      turmericwall.Writer
	Peers       turmericwall.Peers
	Registry    *twattempt.Registry
	Clock       clockwork.Clock
	Recorder    turmericwall.Recorder
}

// claim is one call's row as this daemon last wrote it.
type claim struct {
	call    Call
	key     string
	version int64
	record  record
	done    chan error
}

// New returns Claims. Answers are recorded only while Run runs.
func New(config Config) *Claims {
	sweeper := twexpiry.New(twexpiry.Config{
		Table: config.Table, Writer: config.Writer, Clock: config.Clock,
		Prefixes: partitionPrefixes(), Expired: expired,
	})
	return &Claims{config: config, sweeper: sweeper, recording: make(chan *claim, recordQueueSize)}
}

// Perform sends a call and returns its answer. It calls beforeSend before it sends the first byte, and sends nothing
// when beforeSend fails.
type Perform func(ctx context.Context, beforeSend func() error) (*Answer, error)

// Do claims the call, runs it with perform and returns its answer, or replays the recorded answer of an earlier run.
//
// It returns a *turmericwall.Problem of kind KindKeyReused when the key belongs to another call, KindStillRunning
// when the call is running, KindOutcomeUnknown when it may have run, and KindStoreUnavailable when the claim could
// not be written and the call did not run. Errors of perform are returned as they are, except when a call that is
// not repeatable may have been sent: those become KindOutcomeUnknown.
func (c *Claims) Do(ctx context.Context, call Call, perform Perform) (*Answer, error) {
	attempt := c.config.Registry.Begin()
	held, recorded, err := c.acquire(ctx, call, attempt)
	if err != nil || recorded != nil {
		c.config.Registry.Seal(attempt)
		return recorded, err
	}
	c.log(turmericwall.EventClaimTaken, held)
	answer, err := perform(ctx, func() error { return c.beforeSend(ctx, attempt) })
	if err != nil {
		return nil, c.resolveFailure(held, err)
	}
	held.record.State, held.record.Answer = stateDone, answer
	c.config.Registry.End(attempt, turmericwall.AttemptDone)
	c.log(turmericwall.EventClaimAnswered, held)
	c.recordAnswer(ctx, held)
	return answer, nil
}

// beforeSend allows the attempt to be sent unless the caller has cancelled the call or the attempt is sealed.
func (c *Claims) beforeSend(ctx context.Context, attempt string) error {
	if ctx.Err() != nil || !c.config.Registry.MarkSent(attempt) {
		return turmericwall.NewProblem(turmericwall.KindCancelled,
			"the call was given up before it was sent", "send it again if it is still wanted")
	}
	return nil
}

// resolveFailure records the state of a call that has no answer and returns the error for the caller. The call
// counts as not run only when its attempt could be sealed.
func (c *Claims) resolveFailure(held *claim, err error) error {
	if c.config.Registry.Seal(held.record.Attempt) {
		held.record.State = stateSealed
		c.log(turmericwall.EventClaimSealed, held)
		c.enqueue(held)
		return err
	}
	held.record.State = stateUnknown
	c.config.Registry.End(held.record.Attempt, turmericwall.AttemptUnknown)
	c.log(turmericwall.EventClaimUnknown, held)
	c.enqueue(held)
	if held.call.Repeatable {
		return err
	}
	return outcomeUnknown(err)
}

// acquire returns the claim when this attempt owns it, or the recorded answer of an earlier attempt.
func (c *Claims) acquire(ctx context.Context, call Call, attempt string) (*claim, *Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	own := &claim{call: call, key: call.rowKey(), record: record{
		BodyHash: call.BodyHash, Attempt: attempt, Owner: c.config.Incarnation, State: stateRunning,
		At: c.config.Clock.Now().UTC(),
	}}
	for range maxTakeovers {
		err := c.write(ctx, own)
		if err == nil {
			return own, nil, nil
		}
		if !turmericwall.IsConflict(err) {
			return nil, nil, c.notRun(err)
		}
		answer, err := c.resolveConflict(ctx, own)
		if err != nil || answer != nil {
			return nil, answer, err
		}
	}
	return nil, nil, stillRunning(c.config.Clock.Now())
}

// resolveConflict reads the claim that already exists under the key. It returns neither an answer nor an error when
// this attempt may overwrite that claim.
func (c *Claims) resolveConflict(ctx context.Context, own *claim) (*Answer, error) {
	row, ok, err := c.config.Table.Get(ctx, own.key)
	if err != nil {
		return nil, c.notRun(err)
	}
	if !ok {
		own.version = 0
		return nil, nil
	}
	existing, err := decode(row.Value)
	if err != nil {
		return nil, err
	}
	if existing.BodyHash != own.record.BodyHash {
		return nil, turmericwall.NewProblem(turmericwall.KindKeyReused,
			"the key was used for another call", "use a new Idempotency-Key for each call")
	}
	own.version = row.Version
	return c.evaluateExisting(ctx, own, existing)
}

func (c *Claims) evaluateExisting(ctx context.Context, own *claim, existing record) (*Answer, error) {
	switch existing.State {
	case stateDone:
		answer := *existing.Answer
		answer.Replayed = true
		return &answer, nil
	case stateSealed:
		return nil, nil
	case stateUnknown:
		if own.call.Repeatable {
			return nil, nil
		}
		return nil, outcomeUnknown(nil)
	}
	return nil, c.queryOwner(ctx, own, existing)
}

// queryOwner asks the owner of the existing claim how far its attempt got. It returns nil when this attempt may
// overwrite the claim.
func (c *Claims) queryOwner(ctx context.Context, own *claim, existing record) error {
	if existing.Attempt == own.record.Attempt {
		return nil
	}
	state, err := c.ownerState(ctx, existing)
	if err != nil {
		state = turmericwall.AttemptUnknown
	}
	switch state {
	case turmericwall.AttemptSealed:
		return nil
	case turmericwall.AttemptRunning, turmericwall.AttemptDone:
		return stillRunning(c.config.Clock.Now())
	}
	if own.call.Repeatable && !c.config.Peers.IsLive(existing.Owner) {
		return nil
	}
	return outcomeUnknown(err)
}

func (c *Claims) ownerState(ctx context.Context, existing record) (turmericwall.AttemptState, error) {
	if existing.Owner == c.config.Incarnation {
		return c.config.Registry.State(existing.Attempt), nil
	}
	return c.config.Peers.QueryAttempt(ctx, existing.Owner, existing.Attempt)
}

func (c *Claims) write(ctx context.Context, held *claim) error {
	value, err := json.Marshal(held.record)
	if err != nil {
		return fmt.Errorf("encode a claim: %w", err)
	}
	err = c.config.Writer.Write(ctx, turmericwall.Write{Key: held.key, IfVersion: held.version, Value: value})
	if err == nil {
		held.version++
	}
	return err
}

// notRun returns the problem for a claim whose row could not be confirmed. Do seals the attempt before the caller
// receives it, so that the call stays not run even if the row was written after all.
func (c *Claims) notRun(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindStoreUnavailable,
		"the call could not be claimed, and did not run", "send it again with the same Idempotency-Key").
		WithRetryAt(c.config.Clock.Now().Add(retryDelay)).WithCause(cause)
}

func (c *Claims) log(event turmericwall.EventID, held *claim) {
	c.config.Recorder.Record(event).Str("attempt", held.record.Attempt).
		Str("account", held.call.Account).Str("service", held.call.Service).Send()
}

func stillRunning(now time.Time) error {
	return turmericwall.NewProblem(turmericwall.KindStillRunning,
		"a call with this key is under way", "come back for its answer with the same key").
		WithOutcome(turmericwall.OutcomeUnknown).WithRetryAt(now.Add(retryDelay))
}

func outcomeUnknown(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindOutcomeUnknown,
		"the call may have run", "ask the service before sending it under another key").
		WithOutcome(turmericwall.OutcomeUnknown).WithCause(cause)
}

// NewAnswer returns an answer that was received from an upstream.
func NewAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{Status: status, Header: header, Body: body}
}
