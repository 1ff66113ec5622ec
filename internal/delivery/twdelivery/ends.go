package twdelivery

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfingerprint"
)

// endCheckTimeout bounds the query whether an engine that broke a decode off has ended.
const endCheckTimeout = 300 * time.Millisecond

// input returns what the request brings to engines, the same for all tries of its caller.
func (r *run) input() turmericwall.Input {
	fingerprint := twfingerprint.Of(turmericwall.RoutedCall{
		Account: r.request.Account, Host: r.request.Service, Target: r.request.Model, Body: []byte(r.request.Prompt),
		Work: turmericwall.ModelWork{MaxTokens: r.request.MaxTokens},
	})
	return turmericwall.Input{Service: r.request.Service, Request: string(fingerprint)}
}

// checkQuarantine returns the refusal of a request under which too many engines ended.
func (r *run) checkQuarantine() error {
	judgement := r.delivery.config.Quarantine.Judge(r.input())
	if judgement.Verdict != turmericwall.VerdictQuarantined {
		return nil
	}
	return turmericwall.NewQuarantineProblem(judgement.String(),
		r.delivery.config.Clock.Now().Add(time.Duration(judgement.RemainingMillis)*time.Millisecond)).
		WithOutcome(r.outcome())
}

// recordEnd records the end of the decode engine if it broke the answer off and doesn't answer a query either.
func (r *run) recordEnd(ctx context.Context, engine turmericwall.VM, sentAt time.Time, err error) {
	var failed *turmericwall.EngineError
	if ctx.Err() != nil || !errors.As(err, &failed) || failed.Reason() != turmericwall.EngineUnreachable {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if _, err := r.delivery.config.Engines.Engine(engine.Address).Report(ctx, true); err == nil || ctx.Err() != nil {
		return
	}
	r.delivery.config.Quarantine.RecordEnd(
		turmericwall.UpstreamKey{ID: engine.Name}, sentAt, r.input(), turmericwall.EndProved,
	)
}
