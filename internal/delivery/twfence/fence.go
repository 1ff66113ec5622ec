// Package twfence proves that a run has ended before its stream goes on at another engine.
//
// The engine is ordered to stop the run, and asked for its start, until twrunend finds a proof in what it answers, or doesn't. An
// engine that answers that it has no such run may have preempted it, or not have begun it: then the stream may go on at this engine,
// and nowhere else.
package twfence

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

const (
	// tryTimeout bounds one order, so that the next one is sent on a new connection: several times the usual copy of a run.
	tryTimeout = time.Second
	// retryDelay is the pause after an order that proved nothing, and maxRetryDelay the longest one; it doubles.
	retryDelay, maxRetryDelay = 30 * time.Millisecond, 500 * time.Millisecond
	// dropTimeout bounds the release of a copy that nobody needs.
	dropTimeout = time.Second
	// beginSpan is how long a call that hasn't begun is watched for its begin, upon which the next order stops it. Then its caller loses
	// less by another run at the same engine than by a longer wait.
	beginSpan = 600 * time.Millisecond
	// unconnectedSpan is how long an engine is tried to which no connection can be established. A caller whose stream ends can take it
	// up elsewhere, and one who waits for longer leaves.
	unconnectedSpan = 1300 * time.Millisecond
	// refusedSpan is how long an engine is tried that refuses connections and has none open to this daemon: most such processes have
	// ended, which nothing proves, and the sooner its caller can take the stream up, the less it misses.
	refusedSpan = 300 * time.Millisecond
)

// ErrUnproved means that the call's time was over before the end of its run was proved.
var ErrUnproved = errors.New("nothing shows that the run before has ended")

// ErrUnreachable is wrapped beside ErrUnproved if no connection could be established, and the engine's machine acknowledges nothing on one
// that is open.
var ErrUnreachable = errors.New("the engine's machine acknowledges nothing")

// ErrAbsent is wrapped beside ErrUnproved if the engine doesn't run the call now, and may run it later.
var ErrAbsent = errors.New("the engine doesn't run the call now, and may run it later")

// Config configures a Fence.
type Config struct {
	// Stop orders an engine to stop a run and to copy its memory to another engine. The error is a SendError.
	Stop func(ctx context.Context, from, to turmericwall.Upstream, callID string) (turmericwall.EngineExport, bool, error)
	// Drop releases the memory of a run that was stopped.
	Drop func(ctx context.Context, from turmericwall.Upstream, export turmericwall.EngineExport) error
	// CheckEnd asks the run's engine for its start.
	CheckEnd func(ctx context.Context, run twendcheck.Run) twendcheck.Finding
	// Connections returns the states of this daemon's connections to an engine, without those of the call.
	Connections func(engine turmericwall.Upstream, callID string, endedAt time.Time) turmericwall.ConnectionStates
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
	// SentAt is when the call was sent to the engine, HasBegun whether the engine was seen to work on it, and BegunAt since when.
	SentAt   time.Time
	HasBegun bool
	BegunAt  time.Time
	// EndedAt is when its exchange ended here; zero if it hasn't.
	EndedAt time.Time
	// IsShared is set if the engine may have an earlier run of the call.
	IsShared bool
}

// New returns a fence.
func New(config Config) *Fence {
	if config.OwnDelay == nil {
		config.OwnDelay = func() time.Duration { return 0 }
	}
	return &Fence{config: config}
}

// Prove returns once the end of the run is proved, or with ErrUnproved once ctx ends, no connection to the engine could be established
// for unconnectedSpan, all were refused for refusedSpan, or the engine has no such run, if the call had begun or has not begun for
// beginSpan. The run is stopped if it works.
func (f *Fence) Prove(ctx context.Context, run Run) (twrunend.Proof, error) {
	p := &proving{run: run, beganAt: time.Now()}
	for delay := retryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := f.try(ctx, p)
		proof := p.facts.Proof()
		if now := time.Now(); proof != "" || ctx.Err() != nil || p.isAbsent(now) || p.isUnconnected(now) {
			return proof, f.record(p, proof, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// proving is what is known of a run whose end is being proved.
type proving struct {
	run     Run
	beganAt time.Time
	tries   int
	facts   twrunend.Facts
	// refusedTries counts the latest attempts in a row for which no process listened, and unconnectedTries those for which no connection
	// was established in time.
	refusedTries, unconnectedTries int
	// connections are the daemon's other connections to the engine, as of the last of these.
	connections turmericwall.ConnectionStates
	// absentSince is when the engine first had no such run, and unconnectedSince when the first attempt in a row to connect failed.
	absentSince, unconnectedSince time.Time
}

// isAbsent reports whether the engine has no such run now, and its begin isn't awaited any more.
func (p *proving) isAbsent(now time.Time) bool {
	return p.facts.Order == twrunend.OrderAbsent && (p.run.HasBegun || !now.Before(p.absentSince.Add(beginSpan)))
}

// isUnconnected reports whether no connection could be established for as long as that is tried.
func (p *proving) isUnconnected(now time.Time) bool {
	span := unconnectedSpan
	if p.refusedTries > 1 && p.connections.Open == 0 {
		span = refusedSpan
	}
	return !p.unconnectedSince.IsZero() && !now.Before(p.unconnectedSince.Add(span))
}

// try sends one order and adds what it shows to the facts.
func (f *Fence) try(ctx context.Context, p *proving) error {
	triedAt, engine := time.Now(), p.run.Engine
	target := engine
	if others := f.config.Others(engine); len(others) > 0 {
		target = others[p.tries%len(others)]
	}
	p.tries++
	tryCtx, cancel := context.WithTimeout(ctx, tryTimeout+f.config.OwnDelay())
	defer cancel()
	export, _, err := f.config.Stop(tryCtx, engine, target, p.run.CallID)
	var sent *turmericwall.SendError
	isSendError := errors.As(err, &sent)
	refused := isSendError && sent.ShowsEndAfter(p.run.SentAt) && tryCtx.Err() == nil
	unconnected := isSendError && !refused && sent.ConnectFailed && !sent.Sent && tryCtx.Err() == nil
	p.addAttempt(triedAt, refused, unconnected, isSendError && sent.PathLost)
	p.facts.Order = twrunend.OrderUnanswered
	switch {
	case err == nil:
		p.facts.Order = twrunend.OrderStopped
		f.drop(engine, export)
	case isSendError && (sent.IncarnationReplaced || sent.Status == http.StatusNotFound):
		p.facts.Replaced = f.isReplaced(tryCtx, p.run)
		if sent.Status == http.StatusNotFound {
			p.addAbsent(triedAt)
		}
	}
	if refused || unconnected {
		p.connections = f.connections(p.run)
	}
	p.facts.Shared = p.run.IsShared
	return err
}

// connections returns the states of the connections to the run's engine. That of the run itself tells as much as the others while it is
// open.
func (f *Fence) connections(run Run) turmericwall.ConnectionStates {
	if run.EndedAt.IsZero() {
		return f.config.Connections(run.Engine, "", time.Now())
	}
	return f.config.Connections(run.Engine, run.CallID, run.EndedAt)
}

// addAttempt adds an attempt to connect to the series of those before. One that failed since this daemon has lost its own path shows
// nothing of the engine.
func (p *proving) addAttempt(at time.Time, refused, unconnected, pathLost bool) {
	switch {
	case !refused && !unconnected:
		p.unconnectedSince = time.Time{}
	case p.unconnectedSince.IsZero():
		p.unconnectedSince = at
	}
	p.refusedTries++
	if !refused {
		p.refusedTries = 0
	}
	p.unconnectedTries++
	if !unconnected || pathLost {
		p.unconnectedTries = 0
	}
}

// isMachineSilent reports whether the engine's machine acknowledges nothing. It acknowledges what it receives also while the process
// stands still.
func (p *proving) isMachineSilent() bool {
	return p.unconnectedTries > 0 && p.connections.Open > 0 && !p.connections.Heard
}

// addAbsent adds that the engine has no such run.
func (p *proving) addAbsent(at time.Time) {
	p.facts.Order = twrunend.OrderAbsent
	if p.absentSince.IsZero() {
		p.absentSince = at
	}
}

// isReplaced reports whether another incarnation has the engine's address. An order may be refused as one for another engine also
// by an engine that changes its role, so that the start that it states decides.
func (f *Fence) isReplaced(ctx context.Context, run Run) bool {
	now := time.Now()
	found := f.config.CheckEnd(ctx, twendcheck.Run{Upstream: run.Engine, CallID: run.CallID, SentAt: run.SentAt, BegunAt: run.BegunAt, BrokenAt: now})
	return found.Proof == twrunend.ProofReplaced
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
func (f *Fence) record(p *proving, proof twrunend.Proof, cause error) error {
	run, connections := p.run, p.connections
	entry := f.config.Recorder.Record(turmericwall.EventRunEndProved).Str("request", run.CallID).Str("upstream", run.Engine.ID).
		Str("proof", string(proof)).Str("order", string(p.facts.Order)).
		Int("millis", time.Since(p.beganAt).Milliseconds()).Int("tries", int64(p.tries)).
		Str("begun", strconv.FormatBool(run.HasBegun)).Int("sinceSentMillis", time.Since(run.SentAt).Milliseconds()).
		Int("refusedTries", int64(p.refusedTries)).Int("unconnectedTries", int64(p.unconnectedTries)).
		Int("open", int64(connections.Open)).Int("broken", int64(connections.Broken)).Int("closed", int64(connections.Closed))
	if proof != "" {
		entry.Send()
		return nil
	}
	entry.Err(cause).Send()
	switch {
	case p.isAbsent(time.Now()):
		return errors.Join(ErrUnproved, ErrAbsent, cause)
	case p.isMachineSilent():
		return errors.Join(ErrUnproved, ErrUnreachable, cause)
	}
	return errors.Join(ErrUnproved, cause)
}
