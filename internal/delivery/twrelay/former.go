package twrelay

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
)

// stopSilentTimeout bounds the stop of a silent run, which may go on meanwhile.
const stopSilentTimeout = 2 * time.Second

// keepFormer notes that a run ended here with the error, and may still work at its engine.
func (a *attempt) keepFormer(run *modelRun, cause error) {
	a.former = nil
	if cause != nil && !run.endProved && !endedAtEngine(cause) {
		a.former = run
	}
}

// endedAtEngine reports whether the error of a run shows that its engine has ended it, or never began it.
func endedAtEngine(cause error) bool {
	return errors.Is(cause, errEngineFailed) || !mayHaveBegun(cause)
}

// proveFormerEnded returns once the run before has certainly ended, so that the call may run elsewhere. The error is that of a call
// whose time was over before.
func (r *Relay) proveFormerEnded(ctx context.Context, a *attempt) error {
	if a.former == nil || r.config.ProveEnd == nil {
		return nil
	}
	if _, err := r.config.ProveEnd(ctx, a.former.fenced()); err != nil {
		return unknownProblem(err)
	}
	a.former = nil
	return nil
}

// fenced returns the run whose end is to be proved.
func (m *modelRun) fenced() twfence.Run {
	return twfence.Run{Engine: m.engine, CallID: m.out.Call.ID, SentAt: m.sentAt, HasBegun: m.hasBegun}
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
	run.endProved = found.Result == turmericwall.EndProved
	return found.Result == turmericwall.EndRefuted && !run.hasBegun && r.config.ProveEnd != nil
}

// stopSilent has the engine of a silent run stop it, while the exchange is still open: if the end can't be proved, the run stays
// there. It reports whether the run has ended.
func (r *Relay) stopSilent(ctx context.Context, run *modelRun) bool {
	if run.endProved || r.config.ProveEnd == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, stopSilentTimeout)
	defer cancel()
	_, err := r.config.ProveEnd(ctx, run.fenced())
	run.endProved = err == nil
	return run.endProved
}
