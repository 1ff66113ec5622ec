package twrelay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twbodyend"
	"github.com/turmericwall/turmericwall/internal/delivery/tweventbuffer"
	"github.com/turmericwall/turmericwall/internal/delivery/twevents"
)

// answerStream is one stream of events on its way to the caller, over all runs of its call.
type answerStream struct {
	relay   *Relay
	attempt *attempt
	// events are written to the caller.
	events *tweventbuffer.Buffer
	run    *modelRun
	reader *bodyReader
	// body is what is known of the present run's body.
	body twbodyend.Body
	// endedEmpty is set if the last run resumed the stream and ended in order without an event.
	endedEmpty bool
	// partialEvent holds the bytes after the last complete event of the run, and partialHeld is the memory that was taken for
	// it.
	partialEvent twevents.Bytes
	partialHeld  int64
	lastEventAt  time.Time
	// failure is the answer of a failed engine that is passed on if no other engine answers; nil if there is none.
	failure *reply
	move    streamMove
}

func newAnswerStream(r *Relay, a *attempt) *answerStream {
	return &answerStream{
		relay: r, attempt: a,
		events: tweventbuffer.New(tweventbuffer.Config{Writer: a.w, MaxHold: r.config.MaxEventHold}),
		move:   streamMove{done: make(chan moveResult, 1)},
	}
}

// passOn passes the answer of a run on as it arrives, in complete events only. When the run ends early, the stream goes
// on with another one if it may.
func (s *answerStream) passOn(ctx context.Context, run *modelRun) error {
	for {
		s.run = run
		s.move.noticedAt = time.Time{}
		err := s.passRunOn(ctx)
		s.endRun(ctx, err)
		if err == nil {
			s.relay.recordAnswer(s.attempt, run)
			break
		}
		next, continueErr := s.continueElsewhere(ctx, err)
		if continueErr != nil {
			return s.close(ctx, continueErr)
		}
		run = next
	}
	return s.close(ctx, nil)
}

// passRunOn passes the answer of the present run on.
func (s *answerStream) passRunOn(ctx context.Context) error {
	answer := s.run.answer
	s.keepPartial(nil)
	if err := s.checkHead(answer); err != nil {
		s.run.stop()
		return err
	}
	if answer.Status < http.StatusMultipleChoices {
		return s.passEventsOn(ctx)
	}
	defer s.run.stop()
	buffered, complete, err := s.attempt.bufferBody(answer)
	if err != nil {
		return sendProblem(err)
	}
	got := reply{answer: answer, buffered: buffered, complete: complete}
	if answer.Status >= http.StatusInternalServerError {
		s.run.update.FailedEngine = s.run.engine.ID
		if complete && s.attempt.mayRunAgain() {
			s.failure = &got
			return errEngineFailed
		}
	}
	s.failure = nil
	return s.relay.writeReply(ctx, s.attempt, got)
}

var errEngineFailed = errors.New("the engine answered with a failure")

// checkHead checks whether the answer can be passed on, and closes it otherwise.
func (s *answerStream) checkHead(answer *turmericwall.Answer) error {
	if err := checkUnstatedNotRun(answer); err != nil {
		return err
	}
	if isEncoded(answer) {
		_ = answer.Body.Close()
		return sendProblem(&turmericwall.SendError{Sent: true, Err: errUnexpectedEncoding})
	}
	if s.attempt.headerWritten && answer.Status != http.StatusOK {
		_ = answer.Body.Close()
		return errors.New("the engine answered status " + strconv.Itoa(answer.Status) + " to a resumed run")
	}
	return nil
}

// passEventsOn passes the events of the present run on until its end, or until another run is prepared because the
// engine is silent. The reader of the body has ended when it returns.
func (s *answerStream) passEventsOn(ctx context.Context) error {
	s.body = s.newBody()
	s.attempt.step = stepEvents
	if s.attempt.stats.events == 0 {
		s.attempt.step = stepFirstEvent
	}
	body := newPacedBody(s.run.ctx, s.run.answer.Body)
	s.reader = startReader(s.run.ctx, body)
	defer s.reader.wait()
	defer s.run.stop()
	silence := time.NewTimer(s.run.silenceSpan())
	defer silence.Stop()
	for {
		select {
		case c, ok := <-s.reader.chunks:
			if !ok {
				return s.run.ctx.Err()
			}
			s.reader.arrivals.receive()
			if err := s.passChunkOn(ctx, c); err != nil {
				return err
			}
			if c.err != nil {
				return s.endOfBody(ctx, body, c.err)
			}
			silence.Reset(s.run.silenceSpan())
		case result := <-s.move.done:
			s.recordMove(result)
		case <-silence.C:
			if !s.move.isPending() && s.relay.prepareTakeover(ctx, s.attempt, s.run, &s.reader.arrivals) {
				return errSilent
			}
			if s.run.isUnreachable {
				return errUnreachable
			}
			silence.Reset(s.run.silenceSpan())
		}
	}
}

// passChunkOn passes the complete events on, with the bytes that were left of the chunk before.
func (s *answerStream) passChunkOn(ctx context.Context, c chunk) error {
	if s.run.begunAt.IsZero() && len(c.bytes) > 0 {
		s.run.hasBegun, s.run.begunAt = true, time.Now()
	}
	if !s.body.IsEventStream() {
		return s.writeUnsplit(c.bytes)
	}
	if err := s.addPartial(c.bytes); err != nil {
		return err
	}
	if events, rest := s.partialEvent.Complete(); len(events) > 0 {
		if err := s.writeEvents(events); err != nil {
			return err
		}
		s.keepPartial(rest)
		s.moveIfLeaving(ctx)
		s.moveIfSlow(ctx)
	}
	if len(s.partialEvent) > maxEventBytes {
		return &turmericwall.LimitError{Limit: turmericwall.LimitEventBytes, Max: maxEventBytes}
	}
	return nil
}

// writeUnsplit writes a part of a body that has no events. The call can't go on at another engine after it.
func (s *answerStream) writeUnsplit(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	s.writeHeader()
	if !s.attempt.unsplit {
		s.recordArrival(time.Now())
	}
	s.attempt.unsplit = true
	return s.events.Write(part)
}

// writeEvents writes complete events to the caller, without those that it has already.
func (s *answerStream) writeEvents(events twevents.Bytes) error {
	a := s.attempt
	count := events.Count()
	s.run.received += count
	if count == 0 {
		s.writeHeader()
		return s.events.Write(events)
	}
	if s.run.events == 0 {
		events = withoutDelivered(events, a.lastEventID)
		if len(events) == 0 {
			return nil
		}
	}
	if s.run.events == 0 {
		if err := s.keepVersion(); err != nil {
			return err
		}
	}
	s.writeHeader()
	now, previousAt := time.Now(), s.lastEventAt
	s.recordArrival(now)
	count = events.Count()
	a.stats.events += count
	s.run.events += count
	a.lastEventID = max(a.lastEventID, events.LastID())
	s.reportSpeed(now)
	s.observePace(now, previousAt, int64(count))
	s.relay.recordProgress(a, s.run)
	return s.events.Write(events)
}

// writeHeader writes the header of the present run's answer, unless that of an earlier run was written. It is written
// with the first event, so that until then another engine can answer the call.
func (s *answerStream) writeHeader() {
	a := s.attempt
	if a.headerWritten {
		return
	}
	copyHeader(a.w, s.run.answer)
	if s.body.IsEventStream() {
		// The rest of the stream may come from another engine, with another length.
		a.w.Header().Del("Content-Length")
	}
	a.headerWritten = true
	a.w.WriteHeader(s.run.answer.Status)
}

// close writes what is held back, and at the end of a complete answer the bytes after its last event.
func (s *answerStream) close(ctx context.Context, err error) error {
	s.releaseMove()
	if err != nil && !s.attempt.headerWritten {
		if s.failure != nil {
			return s.relay.writeReply(ctx, s.attempt, *s.failure)
		}
		return unknownProblem(err)
	}
	var rest []byte
	if err == nil {
		rest = s.partialEvent
		if !s.attempt.headerWritten {
			s.writeHeader()
		}
	}
	return errors.Join(err, s.events.Close(rest))
}

// endRun reports the end of the present run to the placer.
func (s *answerStream) endRun(ctx context.Context, err error) {
	run := s.run
	run.stop()
	s.attempt.keepFormer(run, err)
	stats := &s.attempt.stats
	stats.framing, stats.peer, stats.restBytes = run.answer.Framing, run.answer.Peer, len(s.partialEvent)
	stats.contentType = run.answer.Header.Get("Content-Type")
	if !run.firstEventAt.IsZero() {
		run.update.AnswerTokens = run.events * max(s.attempt.service.Engine.TokensPerEvent, 1)
		run.update.AnswerMillis = time.Since(run.firstEventAt).Milliseconds()
	}
	var toCaller *callerError
	s.relay.reportRefused(run.engine, s.attempt.call.ID, err)
	run.update.Answered = err == nil && run.answer.Status < http.StatusMultipleChoices
	if err != nil && (ctx.Err() != nil || !s.move.isPending()) {
		s.relay.settleBroken(ctx, s.attempt, s.attempt.brokenModelRun(run, err), &run.update)
	}
	if isUnread(err) && run.update.Ended == nil {
		s.relay.config.Placer.ApplyUpdate(run.update)
		return
	}
	if err != nil && ctx.Err() == nil && !s.move.isPending() && !errors.As(err, &toCaller) {
		if !errors.Is(err, errOtherVersion) {
			run.update.FailedEngine = s.relay.failedEngine(run.engine, err)
		}
		s.attempt.avoid = append(s.attempt.avoid, run.engine.ID)
	}
	s.relay.config.Placer.ApplyUpdate(run.update)
}

// withoutDelivered returns the events without those at their beginning whose ids are not after the last one delivered.
func withoutDelivered(events twevents.Bytes, last int64) twevents.Bytes {
	for last > 0 && len(events) > 0 {
		event, rest := events.Cut()
		if id := event.LastID(); id == 0 || id > last {
			break
		}
		events = rest
	}
	return events
}
