package twdelivery

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twassembly"
	"github.com/turmericwall/turmericwall/internal/placement/twblockhash"
)

const (
	// maxAttempts bounds the engine time that one request may use.
	maxAttempts = 6
	// exportLifetime is how long a finished prefill may be imported by a second decode engine; engines evict an export
	// within a second.
	exportLifetime = 500 * time.Millisecond
	// maxPlaceWait is how long a deferrable request waits for one placement. It is also the retry time after a failure.
	maxPlaceWait = 2 * time.Second
	// maxResumeWait is how long an urgent request that already had an attempt may take to be placed again.
	maxResumeWait = 10 * time.Second

	priorityUrgent     = 0
	priorityDeferrable = 10
)

// run is the state of one request.
type run struct {
	delivery       *Delivery
	request        turmericwall.Request
	sink           turmericwall.Sink
	assembly       *twassembly.Assembly
	attempts       int
	avoidedEngines []string
	// resumeDeadline ends the placement of an urgent request that already had an attempt.
	resumeDeadline time.Time
	export         turmericwall.Export
	exportEngine   turmericwall.VM
	exportDeadline time.Time
	computedTokens int
	// usefulTokens counts the computed prompt tokens whose prefill led to answer tokens.
	usefulTokens int
}

func newRun(d *Delivery, request turmericwall.Request, sink turmericwall.Sink) *run {
	return &run{delivery: d, request: request, sink: sink, assembly: twassembly.New()}
}

// deliver makes attempts until the answer is complete.
func (r *run) deliver(ctx context.Context) (turmericwall.Usage, error) {
	defer r.countPrefillTokens()
	r.delivery.retryBudget.Earn(r.delivery.config.Clock.Now(), r.request.Service)
	for {
		if err := r.checkQuarantine(); err != nil {
			return r.usage(), err
		}
		err := r.runAttempt(ctx)
		if err == nil {
			r.delivery.config.Quarantine.RecordAnswer(r.input())
			return r.usage(), nil
		}
		if err = r.errorUnlessRetried(ctx, err); err != nil {
			return r.usage(), err
		}
	}
}

// runAttempt places the request and runs it once on the granted engines.
func (r *run) runAttempt(ctx context.Context) error {
	name := r.delivery.beginAttempt()
	defer r.delivery.endAttempt(name)
	grant, err := r.place(ctx, name)
	if err != nil {
		return err
	}
	r.attempts++
	failed, err := r.runGrant(ctx, name, grant)
	if isTransferFailure(err) {
		// Either engine may be at fault, so the next attempt avoids both.
		r.avoidEngine(grant.Prefill)
	}
	r.delivery.config.Placer.Finish(turmericwall.Ending{
		Service: r.request.Service, Attempt: name,
		FailedEngine: engineAtFault(failed, err),
	})
	if err != nil {
		r.recordFailure(name, failed, err)
	}
	return err
}

func (r *run) place(ctx context.Context, name string) (turmericwall.Grant, error) {
	grant, err := r.delivery.config.Placer.Place(ctx, r.arrival(name))
	log := r.delivery.config.Recorder
	if err != nil {
		log.Record(turmericwall.EventPlacementRefused).Str("request", r.request.ID).Str("attempt", name).Err(err).Send()
		return grant, err
	}
	log.Record(turmericwall.EventPlacementGranted).Str("request", r.request.ID).Str("attempt", name).
		Str("prefill", grant.Prefill.Name).Str("decode", grant.Decode.Name).Int("cachedTokens", int64(grant.CachedTokens)).
		Int("considered", int64(grant.EnginesConsidered)).Str("reason", grant.Reason).Send()
	return grant, nil
}

func (r *run) arrival(name string) turmericwall.Arrival {
	now := r.delivery.config.Clock.Now()
	a := turmericwall.Arrival{
		Attempt: name, Service: r.request.Service, Model: r.request.Model, Account: r.request.Account,
		Work: r.request.Work.Name, Urgent: r.request.Work.Urgent, Worth: r.request.Work.Worth,
		TokenGapMillis: float64(r.request.Work.TokenGapMillis),
		PromptTokens:   twblockhash.EstimateTokens(r.promptWithAnswer()),
		MaxTokens:      r.remainingTokens(),
		BlockHashes:    twblockhash.Hashes(r.request.Prompt),
		Avoid:          r.avoidedEngines,
	}
	if now.Before(r.exportDeadline) {
		a.ExportEngine = r.exportEngine.Name
	}
	switch {
	case r.attempts > 0 && r.request.Work.Urgent:
		a.Resumed = true
		a.GiveUpDeadline = r.resumeDeadline
	case r.request.Work.Urgent:
		a.FirstTokenDeadline = r.request.FirstTokenDeadline
	default:
		a.Resumed = r.attempts > 0
		a.GiveUpDeadline = now.Add(maxPlaceWait)
	}
	return a
}

func (r *run) promptWithAnswer() string { return r.request.Prompt + r.assembly.Text() }

func (r *run) remainingTokens() int { return r.request.MaxTokens - r.assembly.DeliveredTokens() }

// runGrant runs the request on the granted pair. On an error it returns the engine whose call failed.
func (r *run) runGrant(ctx context.Context, name string, grant turmericwall.Grant) (turmericwall.VM, error) {
	call := turmericwall.EngineCall{
		Attempt: name, Model: r.request.Model, Prompt: r.promptWithAnswer(), MaxTokens: r.remainingTokens(),
		Priority: r.priority(),
	}
	sentAt := r.delivery.config.Clock.Now()
	if err := r.prefill(ctx, call, grant); err != nil {
		r.recordEnd(ctx, grant.Prefill, sentAt, err)
		return grant.Prefill, err
	}
	sentAt = r.delivery.config.Clock.Now()
	if err := r.decode(ctx, call, grant); err != nil {
		r.recordEnd(ctx, grant.Decode, sentAt, err)
		return grant.Decode, err
	}
	return turmericwall.VM{}, nil
}

func (r *run) priority() int {
	if r.request.Work.Urgent {
		return priorityUrgent
	}
	return priorityDeferrable
}

// prefill computes the prompt, unless the export of an earlier attempt is still available.
func (r *run) prefill(ctx context.Context, call turmericwall.EngineCall, grant turmericwall.Grant) error {
	if r.exportEngine.Name == grant.Prefill.Name && r.delivery.config.Clock.Now().Before(r.exportDeadline) {
		return nil
	}
	export, err := r.delivery.config.Engines.Engine(grant.Prefill.Address).Prefill(ctx, call)
	if err != nil {
		r.delivery.config.Canceller.Cancel(grant.Prefill, call.Attempt)
		return err
	}
	r.computedTokens += export.ComputedTokens
	r.export, r.exportEngine = export, grant.Prefill
	r.exportDeadline = r.delivery.config.Clock.Now().Add(exportLifetime)
	return nil
}

// decode streams the answer. An attempt that does not end cleanly is cancelled on the decode engine, and on the prefill
// engine when its export can't be used again.
func (r *run) decode(ctx context.Context, call turmericwall.EngineCall, grant turmericwall.Grant) error {
	r.assembly.BeginAttempt(call.Attempt)
	before := r.assembly.DeliveredTokens()
	err := r.delivery.config.Engines.Engine(grant.Decode.Address).Decode(ctx, call, r.export, r.deliverChunk)
	if r.assembly.DeliveredTokens() > before {
		r.usefulTokens = max(r.usefulTokens, r.export.ComputedTokens)
		r.exportDeadline = time.Time{}
	}
	if r.assembly.Complete() {
		return nil
	}
	r.delivery.config.Canceller.Cancel(grant.Decode, call.Attempt)
	if err == nil {
		return turmericwall.NewEngineError(grant.Decode.Name, turmericwall.EngineUnreachable, errIncomplete)
	}
	if !r.isExportUsable(err) {
		r.exportDeadline = time.Time{}
		r.delivery.config.Canceller.Cancel(r.exportEngine, call.Attempt)
	}
	return err
}

var errIncomplete = errors.New("the stream ended without a finish reason")

func (r *run) isExportUsable(err error) bool {
	var failed *turmericwall.EngineError
	return errors.As(err, &failed) && failed.Reason() != turmericwall.EngineExportGone &&
		r.delivery.config.Clock.Now().Before(r.exportDeadline)
}

func (r *run) deliverChunk(c turmericwall.Chunk) error {
	for _, text := range r.assembly.Add(c) {
		if err := r.sink.Token(text); err != nil {
			return err
		}
	}
	return nil
}

// engineAtFault returns the name of the engine if the placer should avoid it: an engine that is full or has evicted the
// export has not failed.
func engineAtFault(failed turmericwall.VM, err error) string {
	var engine *turmericwall.EngineError
	if errors.As(err, &engine) && engine.Reason() == turmericwall.EngineUnreachable {
		return failed.Name
	}
	return ""
}

func (r *run) recordFailure(name string, failed turmericwall.VM, err error) {
	r.delivery.config.Recorder.Record(turmericwall.EventAttemptFailed).Str("request", r.request.ID).Str("attempt", name).
		Str("engine", failed.Name).Int("delivered", int64(r.assembly.DeliveredTokens())).Err(err).Send()
	r.avoidEngine(failed)
}

func (r *run) avoidEngine(vm turmericwall.VM) {
	if vm.Name != "" && len(r.avoidedEngines) < 2*maxAttempts {
		r.avoidedEngines = append(r.avoidedEngines, vm.Name)
	}
}

func isTransferFailure(err error) bool {
	var engine *turmericwall.EngineError
	return errors.As(err, &engine) && engine.Reason() == turmericwall.EngineTransferFailed
}

// countPrefillTokens counts the computed prompt tokens, and as wasted those whose prefill led to no answer token.
func (r *run) countPrefillTokens() {
	r.delivery.computedTokens.Inc(int64(r.computedTokens))
	r.delivery.wastedTokens.Inc(int64(max(0, r.computedTokens-r.usefulTokens)))
}

func (r *run) usage() turmericwall.Usage {
	prompt := twblockhash.EstimateTokens(r.request.Prompt)
	return turmericwall.Usage{
		PromptTokens:     prompt,
		CompletionTokens: r.assembly.DeliveredTokens(),
		TotalTokens:      prompt + r.assembly.DeliveredTokens(),
	}
}
