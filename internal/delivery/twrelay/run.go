package twrelay

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall"
)

// modelRun is one run of a model call at a decode engine.
type modelRun struct {
	placement turmericwall.Placement
	// engine runs the call: the placement's decode engine, or the source of a move that came to nothing.
	engine turmericwall.Upstream
	out    turmericwall.OutgoingCall
	// update is the report on the placement at the end of the run.
	update turmericwall.PlacementUpdate
	// ctx ends the exchange with the engine.
	ctx    context.Context
	cancel context.CancelFunc
	answer *turmericwall.Answer
	// stallTimer fires when the engine sends no first event; nil for a run that was moved.
	stallTimer *time.Timer
	placedAt   time.Time
	// sentAt is when the run was sent to its engine.
	sentAt time.Time
	// firstEventAt is zero before the first event; events counts those that were passed on.
	firstEventAt time.Time
	events       int
	// received counts the events that arrived, also those that the caller has already.
	received int
	// hasBegun is set once a byte of the answer's body was received: an engine that has only sent the head may not have begun. begunAt is when
	// that was at its present engine; zero before that.
	hasBegun bool
	begunAt  time.Time
	// endedAt is when its exchange ended here; zero before that.
	endedAt time.Time
	// isShared is set if its engine may still have an earlier run of the call, so that an order to the engine may concern that one.
	isShared bool
	// endProved is set once it is proved that the run has ended, while its exchange was still open.
	endProved bool
	// isUnreachable is set once the engine's machine acknowledges nothing: the caller can take the call up elsewhere, once its run ends here.
	isUnreachable bool
	// progressRecorded is set once it was recorded that the engine has written for a while.
	progressRecorded bool
	// speedReported is set once the placer got an early report of the run's speed.
	speedReported bool
	// pace is how far apart the latest events are.
	pace streamPace
}

// newModelRun returns a run that is placed. After an earlier run it resumes the stream after the last event passed on.
func newModelRun(a *attempt, p turmericwall.Placement) *modelRun {
	return &modelRun{
		placement: p, engine: p.Decode, placedAt: time.Now(),
		update: turmericwall.PlacementUpdate{ID: p.ID, Service: a.service.Name},
		out: turmericwall.OutgoingCall{
			Call: a.call, Deadline: a.deadline, Priority: queuePriority(a.route, p), ResumeAfter: a.lastEventID,
		},
	}
}

// stop ends the exchange with the engine.
func (m *modelRun) stop() {
	if m.stallTimer != nil {
		m.stallTimer.Stop()
	}
	m.cancel()
}

// mayRunAgain reports whether the call may be sent to a further engine although it may have run.
func (a *attempt) mayRunAgain() bool {
	return a.route.Resumable && !a.unsplit && !a.versionUnknown && a.runs < max(a.route.MaxUpstreams, 1) &&
		(a.stats.events == 0 || a.lastEventID > 0)
}

// remainingWork returns the size of the rest of the call: what was generated is part of the prompt.
func (a *attempt) remainingWork() turmericwall.ModelWork {
	work := a.call.Work
	generatedTokens := a.stats.events * a.service.Engine.TokensPerEvent
	work.PromptTokens += generatedTokens
	work.HintTokens = max(work.HintTokens-generatedTokens, a.service.Engine.TokensPerEvent)
	work.MaxTokens = max(work.MaxTokens-generatedTokens, a.service.Engine.TokensPerEvent)
	return work
}

// target returns the time within which the caller expects the first event.
func (a *attempt) target() time.Duration {
	return time.Duration(a.route.TargetMillis) * time.Millisecond
}
