// Package twfence proves that a run has ended before its stream goes on at another engine.
//
// A connection that broke, and an engine that is silent, don't show that: the answer may have been lost on its way, and a
// process that stands still works on later. The engine itself stops the run, or states that it no longer has one that had begun;
// of a call that hasn't begun yet that statement says nothing, since the call may still wait there. An engine at whose address
// nothing listens has ended. One that can't be reached for a while is fenced off: nothing that it works on reaches a caller.
package twfence

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// tryTimeout bounds one order, so that the next one is sent on a new connection: several times the usual copy of a run.
	tryTimeout = time.Second
	// retryDelay is the pause after an order that proved nothing, and maxRetryDelay the longest one; it doubles.
	retryDelay, maxRetryDelay = 30 * time.Millisecond, 500 * time.Millisecond
	// dropTimeout bounds the release of a copy that nobody needs.
	dropTimeout = time.Second
	// beginSpan is how long a call that hasn't begun is watched for its begin, upon which the next order stops it. Its caller has
	// received nothing from that run, and loses less by another try than by a longer wait.
	beginSpan = 600 * time.Millisecond
	// unreachableSpan is how long no connection to an engine that counts as unreachable is established, and unreachableTries in how
	// many attempts: one lost packet fails one of them.
	unreachableSpan  = 700 * time.Millisecond
	unreachableTries = 3
)

// Proof is how a run is known to have ended.
type Proof string

// The proofs.
const (
	// ProofStopped: the engine has stopped the run.
	ProofStopped Proof = "stopped"
	// ProofNotRunning: the engine, which had begun to run the call, doesn't run it any more.
	ProofNotRunning Proof = "notRunning"
	// ProofReplaced: another incarnation has the engine's address.
	ProofReplaced Proof = "replaced"
	// ProofRefused: no process listens at the engine's address.
	ProofRefused Proof = "refused"
	// ProofUnreachable: no connection to the engine could be established for unreachableSpan, from here or from peers.
	ProofUnreachable Proof = "unreachable"
)

// ErrUnproved means that the call's time was over before the end of its run was proved.
var ErrUnproved = errors.New("nothing shows that the run before has ended")

// errUnconnected is the error of an order for which no connection was established.
var errUnconnected = errors.New("no connection to the engine was established")

// errMayBegin is wrapped beside ErrUnproved if the call may still wait at its engine.
var errMayBegin = errors.New("the engine doesn't run the call, which may still wait there")

// Config configures a Fence.
type Config struct {
	// Stop orders an engine to stop a run and to copy its memory to another engine. The error is a SendError.
	Stop func(ctx context.Context, from, to turmericwall.Upstream, callID string) (turmericwall.EngineExport, bool, error)
	// Drop releases the memory of a run that was stopped.
	Drop func(ctx context.Context, from turmericwall.Upstream, export turmericwall.EngineExport) error
	// Others returns other engines of the same service; an order to stop names one of them as the target of the copy.
	Others   func(engine turmericwall.Upstream) []turmericwall.Upstream
	Recorder turmericwall.Recorder
	// OwnDelay returns by how much this daemon may delay the answers that it waits for; it may be nil.
	OwnDelay func() time.Duration
}

// Fence proves ends of runs. It is safe for concurrent use.
type Fence struct{ config Config }

// Run is a run that may still work at its engine.
type Run struct {
	Engine turmericwall.Upstream
	CallID string
	// SentAt is when the call was sent to the engine, and HasBegun whether the engine was seen to work on it.
	SentAt   time.Time
	HasBegun bool
}

// New returns a fence.
func New(config Config) *Fence {
	if config.OwnDelay == nil {
		config.OwnDelay = func() time.Duration { return 0 }
	}
	return &Fence{config: config}
}

// Prove returns once the end of the run is proved, or with ErrUnproved once ctx ends or the call has not begun for beginSpan. The
// run is stopped if it works.
func (f *Fence) Prove(ctx context.Context, run Run) (Proof, error) {
	beganAt, delay := time.Now(), retryDelay
	var giveUpAt time.Time
	var unconnected series
	for try := 0; ; try++ {
		triedAt := time.Now()
		proof, err := f.try(ctx, run, try)
		if unconnected.add(triedAt, errors.Is(err, errUnconnected)) && ctx.Err() == nil {
			proof = ProofUnreachable
		}
		if errors.Is(err, errMayBegin) && giveUpAt.IsZero() {
			giveUpAt = time.Now().Add(beginSpan)
		}
		isWatched := errors.Is(err, errMayBegin) && !time.Now().Before(giveUpAt)
		if proof != "" || ctx.Err() != nil || isWatched {
			return proof, f.record(run, proof, time.Since(beganAt), try+1, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// series counts the attempts in a row for which no connection was established.
type series struct {
	since time.Time
	tries int
}

// add adds an attempt that began at the time. It reports whether the engine counts as unreachable.
func (s *series) add(at time.Time, unconnected bool) bool {
	if !unconnected {
		*s = series{}
		return false
	}
	if s.tries == 0 {
		s.since = at
	}
	s.tries++
	return s.tries >= unreachableTries && time.Since(s.since) >= unreachableSpan
}

// try sends one order; the proof is empty if it proved nothing.
func (f *Fence) try(ctx context.Context, run Run, try int) (Proof, error) {
	target := run.Engine
	if others := f.config.Others(run.Engine); len(others) > 0 {
		target = others[try%len(others)]
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+f.config.OwnDelay())
	defer cancel()
	export, _, err := f.config.Stop(ctx, run.Engine, target, run.CallID)
	if err == nil {
		f.drop(run.Engine, export)
		return ProofStopped, nil
	}
	var sent *turmericwall.SendError
	switch {
	case !errors.As(err, &sent):
		return "", err
	case sent.IncarnationReplaced:
		return ProofReplaced, err
	case sent.Status == http.StatusNotFound && run.HasBegun:
		return ProofNotRunning, err
	case sent.Status == http.StatusNotFound:
		return "", errors.Join(errMayBegin, err)
	case sent.ShowsEndAfter(run.SentAt) && ctx.Err() == nil:
		return ProofRefused, err
	case sent.ConnectFailed && !sent.Sent && ctx.Err() == nil:
		return "", errors.Join(errUnconnected, err)
	}
	return "", err
}

// drop releases the memory of a stopped run, which its engine keeps for a while otherwise.
func (f *Fence) drop(engine turmericwall.Upstream, export turmericwall.EngineExport) {
	if export.Handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		_ = f.config.Drop(ctx, engine, export)
	}()
}

// record records how the end was proved, or that it wasn't, and returns the error then.
func (f *Fence) record(run Run, proof Proof, span time.Duration, tries int, cause error) error {
	entry := f.config.Recorder.Record(turmericwall.EventRunEndProved).Str("request", run.CallID).Str("upstream", run.Engine.ID).
		Str("proof", string(proof)).Int("millis", span.Milliseconds()).Int("tries", int64(tries)).
		Str("begun", strconv.FormatBool(run.HasBegun)).Int("sinceSentMillis", time.Since(run.SentAt).Milliseconds())
	if proof != "" {
		entry.Send()
		return nil
	}
	entry.Err(cause).Send()
	return errors.Join(ErrUnproved, cause)
}
