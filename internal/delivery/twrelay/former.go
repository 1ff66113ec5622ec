package twrelay

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
)

const (
	// stopSilentTimeout bounds the stop of a silent run, which may go on meanwhile.
	stopSilentTimeout = 2 * time.Second
	// minCallerWait is how long a caller waits for the next event at least; waitTargets and waitGaps are how many times its target
	// and its longest gap, if that is longer.
	minCallerWait         = 2 * time.Second
	waitTargets, waitGaps = 4, 8
	// boundShare is the share of that for which a stream waits for the only engine at which it may go on. Once it ends, its caller can
	// take it up elsewhere.
	boundShare = 0.65
	// boundRetryDelay is the longest pause before such a stream is placed again: its engine is kept for it while it waits for its placement,
	// and not meanwhile.
	boundRetryDelay = 50 * time.Millisecond
)

// keepFormer notes that a run ended here with the error, and may still work at its engine. A run that shared its engine with an earlier
// one of the call leaves that one behind if it has ended itself.
func (a *attempt) keepFormer(run *modelRun, cause error) {
	run.endedAt = time.Now()
	switch {
	case cause != nil && !run.endProved && !endedAtEngine(cause):
		a.former = run
	case cause == nil || run.endProved || !run.isShared:
		a.former = nil
	}
}

// endedAtEngine reports whether the error of a run shows that its engine has ended it, or never began it.
func endedAtEngine(cause error) bool {
	return errors.Is(cause, errEngineFailed) || !mayHaveBegun(cause)
}

// settleFormer returns once the run before has certainly ended, so that the call may run anywhere, or once its engine states that it
// doesn't run it now: then the call may go on there, and nowhere else. The error is that of a call that may not run again.
func (r *Relay) settleFormer(ctx context.Context, a *attempt) error {
	if a.former == nil || r.config.ProveEnd == nil {
		return nil
	}
	_, err := r.config.ProveEnd(ctx, a.former.fenced())
	switch {
	case err == nil:
		a.former = nil
	case !errors.Is(err, twfence.ErrAbsent), r.checkAcceptsCalls(a.former.engine) != nil, !time.Now().Before(a.boundUntil()):
		return unknownProblem(err)
	default:
		a.absent = a.former
	}
	return nil
}

// settleFormerBefore is settleFormer just before a run is sent, which may go to the engine of the run before at any time.
func (r *Relay) settleFormerBefore(ctx context.Context, a *attempt, run *modelRun) error {
	if a.isBound() && run.engine.Key() == a.former.engine.Key() {
		run.isShared = true
		return nil
	}
	if err := r.settleFormer(ctx, a); err != nil {
		return err
	}
	if a.isBound() {
		return unknownProblem(errBound)
	}
	return nil
}

// errBound is the error of a run that was prepared at another engine than the one that may still run the call.
var errBound = errors.New("the call may run only at the engine of the run before")

// boundUntil returns until when a call waits for the engine of the run before, if it may run only there.
func (a *attempt) boundUntil() time.Time {
	return a.former.endedAt.Add(time.Duration(boundShare * float64(a.callerWait())))
}

// callerWait returns how long the caller of a stream waits for the next event.
func (a *attempt) callerWait() time.Duration {
	gap := time.Duration(a.route.EventGapMillis) * time.Millisecond
	return max(minCallerWait, waitTargets*a.target(), waitGaps*gap)
}

// isBound reports whether the call may run only at the engine of the run before, which may run it later.
func (a *attempt) isBound() bool { return a.former != nil && a.former == a.absent }

// fenced returns the run whose end is to be proved.
func (m *modelRun) fenced() twfence.Run {
	return twfence.Run{
		Engine: m.engine, CallID: m.out.Call.ID, SentAt: m.sentAt, HasBegun: m.hasBegun, BegunAt: m.begunAt, EndedAt: m.endedAt, IsShared: m.isShared,
	}
}

// mustStay reports whether a silent run must stay at its engine, since its end can't be proved. An engine that accepts connections
// and doesn't answer may go on with the run at any time, and takes no order to stop it before. At one that answers, a call that
// hasn't begun waits for its turn, and there is no run yet that an order could stop.
func (r *Relay) mustStay(ctx context.Context, a *attempt, run *modelRun) bool {
	if r.config.CheckEnd == nil || r.pathLost(run.engine) {
		return false
	}
	found := r.checkEnd(ctx, a.brokenModelRun(run, errSilent))
	if found.Result == turmericwall.EndUnknown && !found.Answered {
		return !r.pathLost(run.engine)
	}
	run.endProved = found.Proof != ""
	return !run.endProved && run.isShared || found.Result == turmericwall.EndRefuted && !run.hasBegun && r.config.ProveEnd != nil
}

// stopSilent has the engine of a silent run stop it, while the exchange is still open: if the end can't be proved, the run stays
// there, unless its machine acknowledges nothing. It reports whether the run has ended.
func (r *Relay) stopSilent(ctx context.Context, run *modelRun) bool {
	if run.endProved || r.config.ProveEnd == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, stopSilentTimeout)
	defer cancel()
	_, err := r.config.ProveEnd(ctx, run.fenced())
	run.endProved, run.isUnreachable = err == nil, errors.Is(err, twfence.ErrUnreachable)
	return run.endProved
}
