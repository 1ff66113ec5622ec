package twrelay

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
)

// handleSendError records which engine is at fault for a failed send to the decode engine. It reports whether the call
// has its final outcome, because it may have run and must not run again; otherwise the call is placed again.
func (r *Relay) handleSendError(ctx context.Context, a *attempt, run *modelRun, err error) (bool, error) {
	p, update := run.placement, &run.update
	var sent *turmericwall.SendError
	if !errors.As(err, &sent) || !sent.IsSafeToResend() {
		r.settleBroken(ctx, a, a.brokenModelRun(run, err), update)
		if ctx.Err() == nil {
			update.FailedEngine = r.failedEngine(p.Decode, err)
		}
		a.avoid = append(a.avoid, p.Decode.ID)
		return a.prepared == nil && !r.mayResume(ctx, a), sendProblem(err)
	}
	a.runs--
	switch {
	case sent.NotRun && !sent.IncarnationReplaced && p.Prefill.ID != "":
		// Either the export expired, or the decode engine refuses calls although it granted the reservation. This call
		// avoids both; the engine that works is cleared by its next success.
		update.FullEngine, update.SuspectedEngine = p.Decode.ID, p.Prefill.ID
		a.avoid = append(a.avoid, p.Prefill.ID, p.Decode.ID)
	case sent.NotRun && !sent.IncarnationReplaced:
		update.FullEngine = p.Decode.ID
	default:
		update.FailedEngine = r.failedEngine(p.Decode, err)
		a.avoid = append(a.avoid, p.Decode.ID)
	}
	return false, notRunProblem(err)
}

// failedEngine returns the ID of the engine if the error may be its fault, and otherwise none. The leader ejects a failed
// engine for all daemons, most of which may reach it.
func (r *Relay) failedEngine(engine turmericwall.Upstream, err error) string {
	var sent *turmericwall.SendError
	if (errors.As(err, &sent) && (sent.PathLost || sent.ShareUsed)) || isOwnShortage(err) || r.pathLost(engine) {
		return ""
	}
	return engine.ID
}

// pathLost reports whether this daemon has no network path to the upstream.
func (r *Relay) pathLost(upstream turmericwall.Upstream) bool {
	return r.config.PathLost != nil && r.config.PathLost(upstream.Key())
}

// wasSent reports whether a byte of the failed send may have reached the upstream.
func wasSent(err error) bool {
	var sent *turmericwall.SendError
	return !errors.As(err, &sent) || sent.Sent
}

// noEngineProblem returns the refusal of a model call that no engine ran.
func noEngineProblem(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindOverloaded, "no engine took the call",
		"come back at the time given").WithRetryAt(time.Now().Add(noEngineRetryAfter)).WithCause(cause)
}
