package twdelivery

import (
	"context"
	"errors"
	"slices"
	"syscall"
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
	if judgement.Open {
		return turmericwall.NewProblem(turmericwall.KindOverloaded, judgement.String()+", or may have",
			"come back at the time given").WithOutcome(r.outcome()).
			WithRetryAt(r.delivery.config.Clock.Now().Add(time.Duration(judgement.RemainingMillis) * time.Millisecond))
	}
	return turmericwall.NewQuarantineProblem(judgement.String(),
		r.delivery.config.Clock.Now().Add(time.Duration(judgement.RemainingMillis)*time.Millisecond)).
		WithOutcome(r.outcome())
}

// recordEnd records the end of an engine that broke its part of the request off, unless it answers a query. Where the caller has
// left, it doesn't wait for that.
func (r *run) recordEnd(ctx context.Context, engine turmericwall.VM, sentAt time.Time, err error) {
	var failed *turmericwall.EngineError
	isBroken := errors.As(err, &failed) && failed.Reason() == turmericwall.EngineUnreachable
	input := r.input()
	record := func() {
		result := r.delivery.CheckEnd(context.WithoutCancel(ctx), engine.Address)
		if result != turmericwall.EndRefuted {
			key := turmericwall.UpstreamKey{ID: engine.Name}
			r.delivery.config.Quarantine.RecordEnd(key, sentAt, input, result)
		}
	}
	switch {
	case ctx.Err() != nil:
		go record()
	case isBroken:
		record()
	}
}

// CheckEnd queries an engine after it broke a request off. Only a refused connection shows that no process listens any more.
func (d *Delivery) CheckEnd(ctx context.Context, address string) turmericwall.EndResult {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	_, err := d.config.Engines.Engine(address).Report(ctx, true)
	var failed *turmericwall.EngineError
	switch {
	case err == nil, errors.As(err, &failed) && failed.Reason() != turmericwall.EngineUnreachable:
		return turmericwall.EndRefuted
	case errors.Is(err, syscall.ECONNREFUSED):
		return turmericwall.EndProved
	}
	return turmericwall.EndUnknown
}

// EndsUnder returns the ends of engines that this daemon knows under a request.
func (d *Delivery) EndsUnder(request turmericwall.Request) []turmericwall.UpstreamEnd {
	fingerprint := (&run{request: request}).input().Request
	evidence, _ := d.config.Quarantine.Export()
	return slices.DeleteFunc(evidence.Ends, func(end turmericwall.UpstreamEnd) bool {
		return !slices.ContainsFunc(end.Inputs, func(input turmericwall.EndedInput) bool { return input.Name == fingerprint })
	})
}
