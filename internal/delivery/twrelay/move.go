package twrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxMoves is how often one stream may change its engine.
	maxMoves = 3
	// moveRetryDelay is the delay after a move for which no engine had room; about one run ends on each engine in it.
	moveRetryDelay = 250 * time.Millisecond
	// moveTimeout bounds one move; copying a run's memory over the usual link takes about a hundredth of it.
	moveTimeout = 1500 * time.Millisecond
)

// moveResult is the outcome of moving one run.
type moveResult struct {
	placement turmericwall.Placement
	export    turmericwall.EngineExport
	// copied is set when the memory was copied; otherwise only the stopped engine itself can import the export.
	copied bool
	// stopped is set when the engine may have stopped the run.
	stopped bool
	err     error
}

// moveRequest describes one move of a run.
type moveRequest struct {
	from turmericwall.Upstream
	// sequence numbers the move requests of the call, from 1.
	sequence int
	// heldTokens is the engine memory that the run uses.
	heldTokens int
}

// moveIfLeaving starts to move the run when its engine is leaving.
//
// A leaving engine serves for two more seconds and then stops what still runs, while a long answer takes five. The
// caller would lose the whole answer, and the prefill would be wasted. A run that is moved with its memory continues on
// another engine.
func (s *answerStream) moveIfLeaving(ctx context.Context) {
	if s.moving {
		s.checkRefusedMove()
		return
	}
	if s.relay.config.View.AcceptsCalls(s.engine.Key()) {
		return
	}
	if s.attempt.moves >= maxMoves || time.Now().Before(s.nextMoveAt) {
		return
	}
	s.moving = true
	s.moveRequests++
	request := moveRequest{
		from: s.engine, sequence: s.moveRequests,
		heldTokens: s.attempt.call.Work.PromptTokens + s.attempt.stats.events*s.attempt.service.Engine.TokensPerEvent,
	}
	go func() { s.moveDone <- s.relay.moveRun(ctx, s.attempt, request) }()
}

// checkRefusedMove lets the stream be moved again when a move failed before it stopped the run.
func (s *answerStream) checkRefusedMove() {
	select {
	case result := <-s.moveDone:
		if result.stopped || result.err == nil {
			s.moveDone <- result
			return
		}
		s.moving = false
		s.nextMoveAt = time.Now().Add(moveRetryDelay)
		s.logMove(result)
	default:
	}
}

// moveRun places a run on another engine and copies its memory there. The send that resumes the run is taken from the
// retry budget before the run is stopped, because a stopped run that can't be resumed loses its answer.
func (r *Relay) moveRun(ctx context.Context, a *attempt, request moveRequest) moveResult {
	if !r.config.Throttle.BackoffUntil(request.from.Key()).IsZero() {
		return moveResult{err: errBackOff}
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	work := a.call.Work
	generatedTokens := request.heldTokens - work.PromptTokens
	work.PromptTokens = request.heldTokens
	work.HintTokens = max(work.HintTokens-generatedTokens, a.service.Engine.TokensPerEvent)
	work.MaxTokens = max(work.MaxTokens-generatedTokens, a.service.Engine.TokensPerEvent)
	placement, err := r.config.Placer.Place(ctx, turmericwall.PlaceRequest{
		ID: fmt.Sprintf("%s/m%d", a.call.ID, request.sequence), Service: a.service.Name, Owner: r.config.Daemon,
		Zone: request.from.Zone, Work: work, TargetDeadline: a.deadline, GiveUpDeadline: a.deadline,
		CallerDeadline: a.call.Deadline, EventGapMillis: a.route.EventGapMillis, Moving: true,
		Avoid: []string{request.from.ID},
	})
	if err != nil {
		return moveResult{err: err}
	}
	if err := r.checkAcceptsCalls(placement.Decode); err != nil {
		r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: placement.ID, Service: a.service.Name})
		return moveResult{err: err}
	}
	if err := r.config.Throttle.Admit(ctx, placement.Decode.Key()); err != nil {
		r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: placement.ID, Service: a.service.Name})
		return moveResult{err: err}
	}
	if !r.config.Retries.Spend(time.Now(), a.service.Name, r.config.Daemons()) {
		r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: placement.ID, Service: a.service.Name})
		return moveResult{err: errRetryBudgetUsed}
	}
	export, copied, err := r.config.Upstreams.MoveRun(ctx, request.from, placement.Decode, a.call.ID)
	if err != nil {
		r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: placement.ID, Service: a.service.Name})
		var sent *turmericwall.SendError
		return moveResult{stopped: !errors.As(err, &sent) || !sent.IsSafeToResend(), err: err}
	}
	return moveResult{placement: placement, export: export, copied: copied}
}

// resumeMoved continues the answer on the engine that the run was moved to; streamErr is the error with which the
// earlier stream ended.
func (s *answerStream) resumeMoved(ctx context.Context, streamErr error) error {
	result := <-s.moveDone
	s.moving = false
	r, a := s.relay, s.attempt
	s.logMove(result)
	a.step = stepMove
	if result.err != nil {
		s.rest = s.partialEvent
		if streamErr != nil {
			streamErr = errors.Join(streamErr, errMoveFailed, result.err)
		}
		return streamErr
	}
	defer r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: result.placement.ID, Service: a.service.Name})
	if s.lastEventID == 0 {
		return errors.Join(streamErr, errMoveFailed, errNoEvent)
	}
	to := result.placement.Decode
	if !result.copied {
		to = s.engine
	}
	a.countedSends++
	a.moves++
	answer, err := r.config.Upstreams.Send(ctx, to, turmericwall.OutgoingCall{
		Call: a.call, Deadline: a.deadline, Step: turmericwall.StepImport, Export: result.export, ResumeAfter: s.lastEventID,
	})
	if err != nil {
		return errors.Join(streamErr, errMoveFailed, err)
	}
	if answer.Status != 200 || isEncoded(answer) {
		_ = answer.Body.Close()
		return errors.Join(streamErr, errMoveFailed, fmt.Errorf("the engine answered status %d to a moved run", answer.Status))
	}
	// The earlier run has ended. If its placement lasted until the end of the stream, its memory would stay reserved.
	r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: s.placementID, Service: a.service.Name})
	s.engine = to
	s.placementID = result.placement.ID
	a.upstreamID, a.step = to.ID, stepEvents
	return s.copyEvents(ctx, answer.Body)
}

func (s *answerStream) logMove(outcome moveResult) {
	entry := s.relay.config.Recorder.Record(turmericwall.EventRunMoved).Str("request", s.attempt.call.ID).
		Str("from", s.engine.ID).
		Str("to", outcome.placement.Decode.ID).Int("lastEvent", s.lastEventID)
	if outcome.err != nil {
		entry = entry.Err(outcome.err)
	}
	entry.Send()
}

// releaseAbandonedMove releases the placement and the export of a move that completes after the stream has ended.
func (s *answerStream) releaseAbandonedMove() {
	outcome := <-s.moveDone
	if outcome.err != nil {
		return
	}
	s.relay.config.Placer.ApplyUpdate(
		turmericwall.PlacementUpdate{ID: outcome.placement.ID, Service: s.attempt.service.Name},
	)
	s.relay.releaseEngines(outcome.placement.Decode, "", s.engine, outcome.export)
}

var (
	errNoEvent    = errors.New("the stream was moved before its first event")
	errMoveFailed = errors.New("the run was stopped in order to be moved, and did not continue")
)
