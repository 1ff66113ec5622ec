package twrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxMoves is how often one stream may change its engine by a move.
	maxMoves = 3
	// moveRetryDelay is the delay after a move for which no engine had room; about one run ends on each engine in it.
	moveRetryDelay = 250 * time.Millisecond
	// moveTimeout bounds the placement of a move. The copy isn't bounded: the run continues until it is complete.
	moveTimeout = 1500 * time.Millisecond
	// maxReturnDelay is how long after the leaving of an engine was noticed a run may return to it: an engine gets no more
	// calls two seconds after it states that it leaves, which daemons notice up to 1.3 s later.
	maxReturnDelay = 500 * time.Millisecond
	// importRetrySpan is how long the engine with the copy of a run is tried, importRetryDelay the pause between two sends
	// if it can't be reached, and refusedImportDelay the pause if it refused the run, as while it changes its role.
	importRetrySpan    = 2 * time.Second
	importRetryDelay   = 50 * time.Millisecond
	refusedImportDelay = 250 * time.Millisecond
	maxRefusedImports  = 2
)

var (
	errNoEvent    = errors.New("the stream was moved before its first event")
	errNotCopied  = errors.New("the memory of the run was not copied")
	errMoveFailed = errors.New("the run was stopped in order to be moved, and did not continue")
)

// streamMove is the state of a stream whose engine is leaving or slow.
type streamMove struct {
	// running is set while the run is being moved; the result arrives on done.
	running bool
	done    chan moveResult
	// result is that of a move which has stopped the run, or may have; nil if there is none.
	result *moveResult
	// requests counts the requested moves; the next one is not requested before nextAt. moves counts those that the
	// stream went on with.
	requests, moves int
	nextAt          time.Time
	noticedAt       time.Time
	// paceRequests counts the moves that were requested because the engine is slow.
	paceRequests int
}

// isPending reports whether a move is under way or has stopped the run.
func (m *streamMove) isPending() bool { return m.running || m.result != nil }

// moveResult is the outcome of moving one run.
type moveResult struct {
	placement turmericwall.Placement
	export    turmericwall.EngineExport
	// copied is set when the memory was copied; otherwise only the stopped engine itself can import the export.
	copied bool
	// stopped is set when the engine may have stopped the run.
	stopped bool
	err     error
	// slow is set if the run leaves its engine because that one is slow: its events came eventMillis apart.
	slow        bool
	eventMillis int64
}

// moveRequest describes one move of a run.
type moveRequest struct {
	from turmericwall.Upstream
	// sequence numbers the move requests of the call, from 1.
	sequence int
	// work is the rest of the call: its prompt is what the run holds in memory.
	work turmericwall.ModelWork
	// slow is set if the run leaves its engine because that one is slow.
	slow bool
}

// moveIfLeaving starts to move the run when its engine is leaving.
//
// A leaving engine serves for two more seconds and then stops what still runs, while a long answer takes five. The
// caller would lose the whole answer, and the prefill would be wasted. A run that is moved with its memory continues on
// another engine.
func (s *answerStream) moveIfLeaving(ctx context.Context) {
	m := &s.move
	if m.isPending() || s.run.isShared || s.attempt.versionUnknown || s.relay.config.View.AcceptsCalls(s.run.engine.Key()) {
		return
	}
	now := time.Now()
	if m.noticedAt.IsZero() {
		m.noticedAt = now
	}
	if m.moves >= maxMoves || now.Before(m.nextAt) {
		return
	}
	s.startMove(ctx, false)
}

// recordMove records the result of a move. One that has not stopped the run is requested again later.
func (s *answerStream) recordMove(result moveResult) {
	s.move.running = false
	if result.err != nil && !result.stopped {
		s.move.nextAt = time.Now().Add(moveRetryDelay)
		if result.slow {
			s.move.nextAt = time.Now().Add(paceMoveRetryDelay)
		}
		s.logMove(result)
		return
	}
	if result.slow && s.move.noticedAt.IsZero() {
		// A slow engine still takes its run back.
		s.move.noticedAt = time.Now()
	}
	s.move.result = &result
}

// moveRun places a run on another engine, copies its memory there while it continues, and stops it then. The send that
// resumes the run is taken from the retry budget before the run is stopped, because a stopped run that can't be resumed
// loses its answer.
func (r *Relay) moveRun(ctx context.Context, a *attempt, request moveRequest) moveResult {
	placement, err := r.placeMove(ctx, a, request)
	if err != nil {
		return moveResult{err: err}
	}
	abandon := func() {
		r.config.Throttle.ReturnSend(placement.Decode.Key())
		r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: placement.ID, Service: a.service.Name})
	}
	copied, err := r.config.Upstreams.CopyRun(ctx, request.from, placement.Decode, a.call.ID)
	if err != nil {
		abandon()
		return moveResult{err: err}
	}
	// The copy may have taken long.
	err = r.checkAcceptsCalls(placement.Decode)
	if err == nil && !r.config.Retries.Spend(time.Now(), a.service.Name, r.config.Daemons()) {
		err = errRetryBudgetUsed
	}
	if err != nil {
		abandon()
		go r.releaseEngines(placement.Decode, "", request.from, copied)
		return moveResult{err: err}
	}
	export, moved, err := r.config.Upstreams.MoveRun(ctx, request.from, placement.Decode, a.call.ID)
	if err != nil {
		abandon()
		r.config.Retries.Return(time.Now(), a.service.Name)
		var sent *turmericwall.SendError
		return moveResult{stopped: !errors.As(err, &sent) || !sent.IsSafeToResend(), err: err}
	}
	return moveResult{placement: placement, export: export, copied: moved}
}

// placeMove places a run on another engine and admits the send to it.
func (r *Relay) placeMove(
	ctx context.Context, a *attempt, request moveRequest,
) (placement turmericwall.Placement, err error) {
	if !r.config.Throttle.BackoffUntil(request.from.Key()).IsZero() {
		return placement, errBackOff
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	slowEngine := ""
	if request.slow {
		slowEngine = request.from.ID
	}
	placement, err = r.placeAtVersion(ctx, turmericwall.PlaceRequest{
		SlowEngine: slowEngine,
		ID:         fmt.Sprintf("%s/m%d", a.call.ID, request.sequence), Service: a.service.Name, Owner: r.config.Daemon,
		Zone: request.from.Zone, Work: request.work, TargetDeadline: a.deadline, GiveUpDeadline: a.deadline,
		CallerDeadline: a.call.Deadline, EventGapMillis: a.route.EventGapMillis, Moving: true, Account: a.call.Account,
		Avoid: []string{request.from.ID}, Version: a.version,
		Fingerprint: string(a.fingerprint()), StreamFingerprint: a.takenUpStream(), Parts: r.listedParts(a),
	})
	if err != nil {
		return placement, err
	}
	if err = r.checkAcceptsCalls(placement.Decode); err == nil {
		err = r.config.Throttle.Admit(ctx, placement.Decode.Key())
	}
	if err != nil {
		r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: placement.ID, Service: a.service.Name})
	}
	return placement, err
}

// awaitMove waits for the result of a move that is under way.
func (s *answerStream) awaitMove(ctx context.Context) {
	if !s.move.running {
		return
	}
	select {
	case result := <-s.move.done:
		s.recordMove(result)
	case <-ctx.Done():
	}
}

// importMoved continues the run that was stopped in order to be moved, at the engine that it was moved to or else where
// it was. Without an error it returns no run if no move stopped the run.
func (s *answerStream) importMoved(ctx context.Context) (*modelRun, error) {
	s.awaitMove(ctx)
	m := &s.move
	if m.result == nil {
		return nil, nil
	}
	result := *m.result
	m.result = nil
	s.attempt.step = stepMove
	s.logMove(result)
	if result.err != nil {
		s.relay.settleBroken(ctx, s.attempt, s.attempt.brokenModelRun(s.run, result.err), &s.run.update)
		return nil, result.err
	}
	// The engine has answered that it stopped the run.
	s.attempt.former = nil
	source := s.run.engine
	run, err := s.importRun(ctx, result, source)
	if err != nil {
		s.relay.config.Placer.ApplyUpdate(
			turmericwall.PlacementUpdate{ID: result.placement.ID, Service: s.attempt.service.Name},
		)
		go s.relay.releaseEngines(result.placement.Decode, "", source, result.export)
		return nil, err
	}
	m.moves++
	return run, nil
}

// importRun sends the call to the engine that has the copy of its run, or to its source if that engine did not take it.
// When the source must get no more calls, the engine with the copy is tried again for a while.
func (s *answerStream) importRun(
	ctx context.Context, result moveResult, source turmericwall.Upstream,
) (*modelRun, error) {
	if s.attempt.lastEventID == 0 {
		return nil, errNoEvent
	}
	run := newModelRun(s.attempt, result.placement)
	run.out.Step, run.out.Export = turmericwall.StepImport, result.export
	run.update.Prefilled = true
	// The first send was taken from the retry budget before the run was stopped.
	s.attempt.countedSends++
	// Only the error of the last send tells whether the run may be sent again; those before are for the log.
	last, before := errNotCopied, error(nil)
	if result.copied {
		last = s.sendMoved(ctx, run, result.placement.Decode)
	}
	refusals, returned, targetLeft := 0, false, false
	for until := time.Now().Add(importRetrySpan); last != nil; {
		if !isSafeToResend(last) {
			return nil, errors.Join(last, before)
		}
		engine, delay := result.placement.Decode, importRetryDelay
		if wasSent(last) && result.copied {
			refusals++
			delay = refusedImportDelay
		}
		targetLeft = targetLeft || errors.Is(last, errLeaving)
		switch {
		case time.Since(s.move.noticedAt) < maxReturnDelay:
			engine, delay = source, importRetryDelay
			if !returned {
				returned, delay = true, 0
			}
		case targetLeft, !result.copied || refusals > maxRefusedImports || time.Now().After(until):
			return nil, errors.Join(last, before)
		}
		if !pause(ctx, delay) || !s.relay.spendSend(s.attempt) {
			return nil, errors.Join(last, before, errRetryBudgetUsed)
		}
		before = last
		last = s.sendMoved(ctx, run, engine)
	}
	return run, nil
}

// isSafeToResend reports whether the engine of a failed send has certainly not run the call.
func isSafeToResend(err error) bool {
	var sent *turmericwall.SendError
	return errors.Is(err, errNotCopied) || (errors.As(err, &sent) && sent.IsSafeToResend())
}

// pause waits for the span; it returns false if ctx ends before.
func pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendMoved sends a run that was moved to its engine. It is the same run, so that it doesn't count as a further one.
func (s *answerStream) sendMoved(ctx context.Context, run *modelRun, engine turmericwall.Upstream) (err error) {
	if err := s.relay.checkQuarantine(s.attempt); err != nil {
		// Engines have ended under other tries of the request meanwhile.
		return err
	}
	if err := s.checkTarget(run, engine); err != nil {
		return err
	}
	run.engine, run.sentAt, run.begunAt = engine, time.Now(), time.Time{}
	s.attempt.upstreamID = engine.ID
	repeats := s.relay.recordSent(s.attempt, run.engine)
	run.out.Repeated = repeats > 0
	run.ctx, run.cancel = context.WithCancel(ctx)
	run.answer, err = s.relay.config.Upstreams.Send(run.ctx, run.engine, run.out)
	s.relay.recordNotRun(s.attempt, run.engine, run.sentAt, repeats, err)
	if err == nil && (run.answer.Status != 200 || isEncoded(run.answer)) {
		err = fmt.Errorf("the engine answered status %d to a moved run", run.answer.Status)
		_ = run.answer.Body.Close()
	}
	if err != nil {
		run.stop()
		s.attempt.keepFormer(run, err)
		s.relay.returnUnsent(s.attempt, err)
		s.relay.settleBroken(ctx, s.attempt, s.attempt.brokenModelRun(run, err), &run.update)
	}
	return err
}

// checkTarget returns an error if the engine to which a run was moved has left since the run was stopped. The run's source, to which
// it may return, is leaving anyway.
func (s *answerStream) checkTarget(run *modelRun, engine turmericwall.Upstream) error {
	if engine.Key() != run.placement.Decode.Key() {
		return nil
	}
	err := s.relay.checkAcceptsCalls(engine)
	if err == nil {
		return nil
	}
	if errors.Is(err, errLeaving) {
		s.relay.returnAdmissions(engine)
	}
	err = &turmericwall.SendError{Err: err}
	s.relay.returnUnsent(s.attempt, err)
	return err
}

func (s *answerStream) logMove(outcome moveResult) {
	entry := s.relay.config.Recorder.Record(turmericwall.EventRunMoved).Str("request", s.attempt.call.ID).
		Str("from", s.run.engine.ID).
		Str("to", outcome.placement.Decode.ID).Int("lastEvent", s.attempt.lastEventID).
		Str("fromVersion", string(s.run.engine.Version)).Str("toVersion", string(outcome.placement.Decode.Version))
	if outcome.slow {
		entry = entry.Str("cause", "slow").Int("eventMillis", outcome.eventMillis)
	}
	if outcome.err != nil {
		entry = entry.Err(outcome.err)
	}
	entry.Send()
}

// releaseMove releases the placement and the export of a move that is not needed any more.
func (s *answerStream) releaseMove() {
	m := &s.move
	if m.result != nil {
		s.relay.releaseMoved(s.attempt, s.run.engine, *m.result)
		m.result = nil
	}
	if m.running {
		from := s.run.engine
		go func() { s.relay.releaseMoved(s.attempt, from, <-m.done) }()
	}
}

// releaseMoved releases the placement and the export of a move.
func (r *Relay) releaseMoved(a *attempt, from turmericwall.Upstream, outcome moveResult) {
	if outcome.err != nil {
		return
	}
	r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: outcome.placement.ID, Service: a.service.Name})
	r.releaseEngines(outcome.placement.Decode, "", from, outcome.export)
}
