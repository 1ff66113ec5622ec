package twrelay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/tweventbuffer"
)

// readBufferBytes is the size of one read of a stream; an event has a few hundred bytes.
const readBufferBytes = 4 << 10

// maxEventBytes bounds the size of one event.
const maxEventBytes = 256 << 10

var (
	eventSeparator = []byte("\n\n")
	idPrefix       = []byte("id:")
)

// readBufferPool shares the read buffers, so that a daemon needs memory only for the streams that have bytes to pass
// on.
var readBufferPool = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// streamAnswer passes the answer of a decode engine on as it arrives, in complete events only.
func (r *Relay) streamAnswer(
	ctx context.Context, a *attempt, p turmericwall.Placement, answer *turmericwall.Answer,
	update *turmericwall.PlacementUpdate,
) error {
	if err := checkUnstatedNotRun(answer); err != nil {
		return err
	}
	if isEncoded(answer) {
		_ = answer.Body.Close()
		return sendProblem(&turmericwall.SendError{Sent: true, Err: errUnexpectedEncoding})
	}
	if answer.Status >= http.StatusMultipleChoices {
		if answer.Status >= http.StatusInternalServerError {
			update.FailedEngine = p.Decode.ID
		}
		buffered, complete, err := bufferBody(answer)
		if err != nil {
			return sendProblem(err)
		}
		return r.writeReply(a, reply{answer: answer, buffered: buffered, complete: complete})
	}
	copyHeader(a.w, answer)
	a.headerWritten, a.step = true, stepFirstEvent
	a.w.WriteHeader(answer.Status)
	flush(a.w)
	s := &answerStream{
		relay: r, attempt: a, engine: p.Decode, placementID: p.ID, update: update,
		events:   tweventbuffer.New(tweventbuffer.Config{Writer: a.w, MaxHold: r.config.MaxEventHold}),
		moveDone: make(chan moveResult, 1),
	}
	err := s.copyEvents(ctx, answer.Body)
	for range maxMoves {
		if !s.moving || ctx.Err() != nil {
			break
		}
		err = s.resumeMoved(ctx, err)
	}
	if s.moving {
		go s.releaseAbandonedMove()
	}
	if writeErr := s.events.Close(s.rest); err == nil {
		err = writeErr
	}
	if !s.firstEventAt.IsZero() {
		update.AnswerTokens = a.stats.events * max(a.service.Engine.TokensPerEvent, 1)
		update.AnswerMillis = time.Since(s.firstEventAt).Milliseconds()
	}
	if err != nil && ctx.Err() == nil {
		update.FailedEngine = r.failedEngine(s.engine, err)
	}
	return err
}

// answerStream is one stream of events on its way to the caller.
type answerStream struct {
	relay   *Relay
	attempt *attempt
	// events are written to the caller; rest are the bytes after the last complete one of a body that has ended.
	events       *tweventbuffer.Buffer
	rest         []byte
	engine       turmericwall.Upstream
	update       *turmericwall.PlacementUpdate
	firstEventAt time.Time
	// speedReported is set once the placer got an early report of the answer's speed.
	speedReported bool
	lastEventAt   time.Time
	// lastEventID is the id of the last event that was passed on; 0 before the first.
	lastEventID int64
	// placementID is the stream's current placement; it changes with each move.
	placementID string
	// moveRequests counts the requested moves; the next one is not requested before nextMoveAt.
	moveRequests int
	nextMoveAt   time.Time
	// moving is set while the run is being moved to another engine; the result arrives on moveDone.
	moving   bool
	moveDone chan moveResult
	// partialEvent holds the bytes after the last complete event of a body that ended during a move.
	partialEvent []byte
}

// copyEvents passes complete events on until the end of the body.
func (s *answerStream) copyEvents(ctx context.Context, body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	buf := readBufferPool.Get().(*[readBufferBytes]byte)
	defer readBufferPool.Put(buf)
	var rest []byte
	for {
		n, readErr := body.Read(buf[:])
		rest = append(rest, buf[:n]...)
		if at := bytes.LastIndex(rest, eventSeparator); at >= 0 {
			if err := s.writeEvents(rest[:at+len(eventSeparator)]); err != nil {
				return err
			}
			rest = append(rest[:0], rest[at+len(eventSeparator):]...)
			s.moveIfLeaving(ctx)
		}
		if readErr == io.EOF {
			return s.finishBody(rest)
		}
		if readErr != nil {
			return readErr
		}
		if len(rest) > maxEventBytes {
			return errors.New("an event of the stream is too long")
		}
	}
}

// finishBody handles the bytes after the last complete event at the end of the body. The body of a run that is being
// moved may end in the middle of an event, which the next engine then sends completely.
func (s *answerStream) finishBody(rest []byte) error {
	if s.moving {
		s.partialEvent = rest
		return nil
	}
	s.rest = rest
	return nil
}

// writeEvents writes complete events to the caller.
func (s *answerStream) writeEvents(events []byte) error {
	now := time.Now()
	stats := &s.attempt.stats
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
		s.attempt.stallTimer.Stop()
		stats.firstEventMillis = s.attempt.elapsedMillis()
		s.attempt.step = stepEvents
		s.relay.config.Recorder.Record(turmericwall.EventStreamBegun).Str("request", s.attempt.call.ID).
			Str("upstream", s.engine.ID).Int("firstMillis", stats.firstEventMillis).Send()
		s.reportPrefill()
	} else {
		s.recordEventGap(now.Sub(s.lastEventAt).Milliseconds())
	}
	s.lastEventAt = now
	stats.events += bytes.Count(events, eventSeparator)
	s.lastEventID = max(s.lastEventID, parseLastEventID(events))
	s.reportSpeed(now)
	return s.events.Write(events)
}

// recordEventGap records the pause before an event. The first one that exceeds the route's limit is reported at once,
// so that the placer does not run the next prefill beside streams that are slowed down as much.
func (s *answerStream) recordEventGap(millis int64) {
	stats, limitMillis := &s.attempt.stats, s.attempt.route.EventGapMillis
	if limitMillis > 0 && millis > limitMillis && stats.maxEventGapMillis <= limitMillis {
		s.relay.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{
			ID: s.placementID, Service: s.update.Service, Running: true,
			EventGapExceeded: true,
		})
	}
	stats.maxEventGapMillis = max(stats.maxEventGapMillis, millis)
}

// reportPrefill reports the duration of a local prefill to the placer.
func (s *answerStream) reportPrefill() {
	if s.update.Prefilled {
		return
	}
	s.update.Prefilled = true
	s.update.PrefillMillis = s.attempt.stats.firstEventMillis - s.attempt.stats.placedMillis
	s.relay.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{
		ID: s.update.ID, Service: s.update.Service, Running: true, Prefilled: true,
		PrefillMillis: s.update.PrefillMillis,
	})
}

// speedReportDelay is how long a stream runs before its speed is reported.
const speedReportDelay = 400 * time.Millisecond

// reportSpeed reports the speed of the answer before its end, because the first answers after a start end only after
// seconds and the placer needs an estimate before then.
func (s *answerStream) reportSpeed(now time.Time) {
	if s.speedReported || now.Sub(s.firstEventAt) < speedReportDelay {
		return
	}
	s.speedReported = true
	s.relay.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{
		ID: s.placementID, Service: s.update.Service, Running: true,
		AnswerTokens: (s.attempt.stats.events - 1) * max(s.attempt.service.Engine.TokensPerEvent, 1),
		AnswerMillis: now.Sub(s.firstEventAt).Milliseconds(),
	})
}

// parseLastEventID returns the id of the last event, or 0 when it has none.
func parseLastEventID(events []byte) int64 {
	at := bytes.LastIndex(events, idPrefix)
	if at < 0 || (at > 0 && events[at-1] != '\n') {
		return 0
	}
	line, _, _ := bytes.Cut(events[at+len(idPrefix):], []byte("\n"))
	id, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
