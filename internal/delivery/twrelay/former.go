package twrelay

import (
	"context"
	"errors"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
)

// keepFormer notes that a run ended here with the error, and may still work at its engine.
func (a *attempt) keepFormer(run *modelRun, cause error) {
	a.former = nil
	if cause != nil && !endedAtEngine(cause) {
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
	return twfence.Run{Engine: m.engine, CallID: m.out.Call.ID, SentAt: m.sentAt, HasBegun: m.received > 0}
}

// standsStill reports whether the engine of a silent run accepts connections and doesn't answer: its process may go on with the run
// at any time, and takes no order to stop it before.
func (r *Relay) standsStill(ctx context.Context, a *attempt, run *modelRun) bool {
	if r.config.CheckEnd == nil || r.pathLost(run.engine) {
		return false
	}
	found := r.checkEnd(ctx, a.brokenModelRun(run, errSilent))
	return found.Result == turmericwall.EndUnknown && !found.Answered && !r.pathLost(run.engine)
}
