// Package twclaim lets a non-idempotent call run at most once.
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
	"github.com/turmericwall/turmericwall/internal/platform/twclear"
)

const (
	// claimTimeout bounds the wait for a claim's row before the call is given up as not run.
	claimTimeout = 3 * time.Second
	// recordWait is how long an answer is held for its record; recording goes on after it.
	recordWait    = 300 * time.Millisecond
	recordTimeout = 10 * time.Minute
	recordAgain   = 500 * time.Millisecond
	retrySoon     = time.Second
	// maxTakeovers bounds the races over one claim that a call takes part in.
	maxTakeovers = 4
	// recordBuffer bounds the answers that wait for their record while the store is down.
	recordBuffer = 1024
)

// Claims runs calls at most once for each account, service and key.
//
// Two daemons get the same key, or a daemon dies or freezes anywhere between claim, send and record. A
// claim row is written before the call is sent, with the condition that no row exists; only its owner
// sends. Another daemon never takes a claim over because time has passed: it does so only when the
// owner itself, or the row, says that the attempt is sealed and can never be sent.
type Claims struct {
	config    Config
	clearer   *twclear.Clearer
	recording chan *claim
}

// Config names what claims are made with.
type Config struct {
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

// New returns claims; answers are recorded while Run runs.
func New(config Config) *Claims {
	clearer := twclear.New(twclear.Config{
		Table: config.Table, Writer: config.Writer, Clock: config.Clock, Prefixes: partitionPrefixes(), Expired: expired,
	})
	return &Claims{config: config, clearer: clearer, recording: make(chan *claim, recordBuffer)}
}

// Perform sends a call and returns its answer. It calls beforeSend before the first byte is sent, and
// sends nothing when that fails.
type Perform func(ctx context.Context, beforeSend func() error) (*Answer, error)

// Do runs the call unless its claim says that it ran, runs, or may have run.
func (c *Claims) Do(ctx context.Context, call Call, perform Perform) (*Answer, error) {
	attempt := c.config.Registry.Begin()
	claim, recorded, err := c.take(ctx, call, attempt)
	if err != nil || recorded != nil {
		c.config.Registry.Seal(attempt)
		return recorded, err
	}
	c.log(turmericwall.EventClaimTaken, claim)
	answer, err := perform(ctx, func() error { return c.beforeSend(ctx, attempt) })
	if err != nil {
		return nil, c.failed(claim, err)
	}
	claim.record.State, claim.record.Answer = stateDone, answer
	c.config.Registry.End(attempt, turmericwall.AttemptDone)
	c.log(turmericwall.EventClaimAnswered, claim)
	c.recordSoon(ctx, claim)
	return answer, nil
}

// beforeSend lets the attempt be sent unless the caller is gone.
func (c *Claims) beforeSend(ctx context.Context, attempt string) error {
	if ctx.Err() != nil || !c.config.Registry.Send(attempt) {
		return turmericwall.NewProblem(turmericwall.KindCancelled, "the call was given up before it was sent", "send it again if it is still wanted")
	}
	return nil
}

// failed tells what became of a call without an answer: notRun only for a sealed attempt.
func (c *Claims) failed(claim *claim, err error) error {
	if c.config.Registry.Seal(claim.record.Attempt) {
		claim.record.State = stateSealed
		c.log(turmericwall.EventClaimSealed, claim)
		c.queue(claim)
		return err
	}
	claim.record.State = stateUnknown
	c.config.Registry.End(claim.record.Attempt, turmericwall.AttemptUnknown)
	c.log(turmericwall.EventClaimUnknown, claim)
	c.queue(claim)
	if claim.call.Repeatable {
		return err
	}
	return unknown(err)
}

// take returns the claim when it is this attempt's, or the recorded answer.
func (c *Claims) take(ctx context.Context, call Call, attempt string) (*claim, *Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	mine := &claim{call: call, key: call.rowKey(), record: record{
		BodyHash: call.BodyHash, Attempt: attempt, Owner: c.config.Incarnation, State: stateRunning, At: c.config.Clock.Now().UTC(),
	}}
	for range maxTakeovers {
		err := c.write(ctx, mine)
		if err == nil {
			return mine, nil, nil
		}
		if !turmericwall.IsConflict(err) {
			return nil, nil, c.notRun(err)
		}
		answer, err := c.meet(ctx, mine)
		if err != nil || answer != nil {
			return nil, answer, err
		}
	}
	return nil, nil, stillRunning(c.config.Clock.Now())
}

// meet looks at the claim that is in the way. It returns neither answer nor error when that claim is
// sealed, and this one may be written over it.
func (c *Claims) meet(ctx context.Context, mine *claim) (*Answer, error) {
	row, ok, err := c.config.Table.Get(ctx, mine.key)
	if err != nil {
		return nil, c.notRun(err)
	}
	if !ok {
		mine.version = 0
		return nil, nil
	}
	other, err := decode(row.Value)
	if err != nil {
		return nil, err
	}
	if other.BodyHash != mine.record.BodyHash {
		return nil, turmericwall.NewProblem(turmericwall.KindKeyReused,
			"the key was used for another call", "use a new Idempotency-Key for each call")
	}
	mine.version = row.Version
	return c.judge(ctx, mine, other)
}

func (c *Claims) judge(ctx context.Context, mine *claim, other record) (*Answer, error) {
	switch other.State {
	case stateDone:
		answer := *other.Answer
		answer.Replayed = true
		return &answer, nil
	case stateSealed:
		return nil, nil
	case stateUnknown:
		if mine.call.Repeatable {
			return nil, nil
		}
		return nil, unknown(nil)
	}
	return nil, c.askOwner(ctx, mine, other)
}

// askOwner returns nil when the attempt that is in the way can never be sent.
func (c *Claims) askOwner(ctx context.Context, mine *claim, other record) error {
	if other.Attempt == mine.record.Attempt {
		return nil
	}
	answer, err := c.ownerState(ctx, other)
	if err != nil {
		answer = turmericwall.AttemptUnknown
	}
	switch answer {
	case turmericwall.AttemptSealed:
		return nil
	case turmericwall.AttemptRunning, turmericwall.AttemptDone:
		return stillRunning(c.config.Clock.Now())
	}
	if mine.call.Repeatable && !c.config.Peers.Live(other.Owner) {
		return nil
	}
	return unknown(err)
}

func (c *Claims) ownerState(ctx context.Context, other record) (turmericwall.AttemptState, error) {
	if other.Owner == c.config.Incarnation {
		return c.config.Registry.State(other.Attempt), nil
	}
	return c.config.Peers.Inquire(ctx, other.Owner, other.Attempt)
}

func (c *Claims) write(ctx context.Context, m *claim) error {
	value, err := json.Marshal(m.record)
	if err != nil {
		return fmt.Errorf("encode a claim: %w", err)
	}
	err = c.config.Writer.Write(ctx, turmericwall.Write{Key: m.key, IfVersion: m.version, Value: value})
	if err == nil {
		m.version++
	}
	return err
}

// notRun answers for a claim whose row could not be confirmed: the attempt is sealed before this is
// said, so that it stays true if the row turns up later.
func (c *Claims) notRun(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindStoreUnavailable,
		"the call could not be claimed, and did not run", "send it again with the same Idempotency-Key").
		WithRetryAt(c.config.Clock.Now().Add(retrySoon)).WithCause(cause)
}

func (c *Claims) log(event turmericwall.EventID, m *claim) {
	c.config.Recorder.Record(event).Str("attempt", m.record.Attempt).Str("account", m.call.Account).Str("service", m.call.Service).Send()
}

func stillRunning(now time.Time) error {
	return turmericwall.NewProblem(turmericwall.KindStillRunning,
		"a call with this key is under way", "come back for its answer with the same key").
		WithOutcome(turmericwall.OutcomeUnknown).WithRetryAt(now.Add(retrySoon))
}

func unknown(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindOutcomeUnknown,
		"the call may have run", "ask the service before sending it under another key").
		WithOutcome(turmericwall.OutcomeUnknown).WithCause(cause)
}

// AnswerOf is a plain answer.
func AnswerOf(status int, header http.Header, body []byte) *Answer {
	return &Answer{Status: status, Header: header, Body: body}
}
