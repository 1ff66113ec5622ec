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
)

// eventBuffer is read of a stream at once, in bytes; an event has a few hundred.
const eventBuffer = 4 << 10

// maxEvent bounds one event, in bytes.
const maxEvent = 256 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// readBuffers are shared by the streams, so that a daemon's memory follows the streams that have bytes to pass on.
var readBuffers = sync.Pool{New: func() any { return new([eventBuffer]byte) }}

// stream passes an engine's answer on as it comes, whole events only.
func (r *Relay) stream(ctx context.Context, a *attempt, p turmericwall.Placement, answer *turmericwall.Answer, end *turmericwall.PlacementEnd) error {
	if err := unsaid(answer); err != nil {
		return err
	}
	if encoded(answer) {
		_ = answer.Body.Close()
		return settled(&turmericwall.SendError{Sent: true, Err: errEncoded})
	}
	if answer.Status >= http.StatusMultipleChoices {
		if answer.Status >= http.StatusInternalServerError {
			end.Failed = p.Decode.ID
		}
		buffered, whole, err := buffer(answer)
		if err != nil {
			return settled(err)
		}
		return r.pass(a, reply{answer: answer, buffered: buffered, whole: whole})
	}
	copyHead(a.w, answer)
	a.begun = true
	a.w.WriteHeader(answer.Status)
	flush(a.w)
	s := &streaming{relay: r, attempt: a, engine: p.Decode, placement: p.ID, end: end, moved: make(chan moved, 1)}
	err := s.copy(ctx, answer.Body)
	for range maxMoves {
		if !s.moving || ctx.Err() != nil {
			break
		}
		err = s.goOn(ctx, err)
	}
	if s.moving {
		go s.abandon()
	}
	if !s.began.IsZero() {
		end.AnswerTokens = a.model.events * max(a.service.Engine.TokensPerEvent, 1)
		end.AnswerMillis = time.Since(s.began).Milliseconds()
	}
	if err != nil && ctx.Err() == nil {
		end.Failed = s.engine.ID
	}
	return err
}

// streaming is one answer on its way to the caller.
type streaming struct {
	relay   *Relay
	attempt *attempt
	engine  turmericwall.Upstream
	end     *turmericwall.PlacementEnd
	began   time.Time
	// toldSpeed tells that the books know how fast the answer grows.
	toldSpeed bool
	last      time.Time
	// lastEvent is the id of the last event that the caller has.
	lastEvent int64
	// placement is the placement that the stream has now.
	placement string
	// asks counts the moves that were asked for; the next one is not asked for before moveAt.
	asks   int
	moveAt time.Time
	// moving tells that the run is being moved to another engine; its outcome comes on moved.
	moving bool
	moved  chan moved
	// rest came after the last whole event of a body that ended during a move.
	rest []byte
}

// copy passes whole events on until the body's true end.
func (s *streaming) copy(ctx context.Context, body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	buf := readBuffers.Get().(*[eventBuffer]byte)
	defer readBuffers.Put(buf)
	var rest []byte
	for {
		n, readErr := body.Read(buf[:])
		rest = append(rest, buf[:n]...)
		if at := bytes.LastIndex(rest, eventEnd); at >= 0 {
			if err := s.pass(rest[:at+len(eventEnd)]); err != nil {
				return err
			}
			rest = append(rest[:0], rest[at+len(eventEnd):]...)
			s.leaveInTime(ctx)
		}
		if readErr == io.EOF {
			return s.ended(rest)
		}
		if readErr != nil {
			return readErr
		}
		if len(rest) > maxEvent {
			return errors.New("an event of the stream is too long")
		}
	}
}

// ended takes the bytes after the last whole event at the body's end. The body of a run that is being moved may end in
// the middle of an event, which then comes again whole.
func (s *streaming) ended(rest []byte) error {
	if s.moving {
		s.rest = rest
		return nil
	}
	_, err := s.attempt.w.Write(rest)
	return err
}

// pass writes whole events to the caller.
func (s *streaming) pass(events []byte) error {
	now := time.Now()
	model := &s.attempt.model
	if s.began.IsZero() {
		s.began = now
		s.attempt.stall.Stop()
		model.first = s.attempt.since()
		s.tellRead()
	} else {
		s.pause(now.Sub(s.last).Milliseconds())
	}
	s.last = now
	model.events += bytes.Count(events, eventEnd)
	s.lastEvent = max(s.lastEvent, lastID(events))
	s.tellSpeed(now)
	if _, err := s.attempt.w.Write(events); err != nil {
		return err
	}
	flush(s.attempt.w)
	return nil
}

// pause takes the pause before an event, in milliseconds. The first one that is too long is told at once, so that the
// next prompt isn't read beside streams that bear it as badly.
func (s *streaming) pause(millis int64) {
	model, most := &s.attempt.model, s.attempt.route.EventGapMillis
	if most > 0 && millis > most && model.gap <= most {
		s.relay.config.Placer.Finish(turmericwall.PlacementEnd{ID: s.placement, Service: s.end.Service, Running: true, Paused: true})
	}
	model.gap = max(model.gap, millis)
}

// tellRead lets the books learn how fast a decode engine read the prompt itself.
func (s *streaming) tellRead() {
	if s.end.PromptRead {
		return
	}
	s.end.PromptRead = true
	s.end.PromptMillis = s.attempt.model.first - s.attempt.model.placed
	s.relay.config.Placer.Finish(turmericwall.PlacementEnd{
		ID: s.end.ID, Service: s.end.Service, Running: true, PromptRead: true, PromptMillis: s.end.PromptMillis,
	})
}

// earlySpan is how long a stream runs before its speed is told.
const earlySpan = 400 * time.Millisecond

// tellSpeed lets the books learn early how fast answers grow: the first ones end only after seconds.
func (s *streaming) tellSpeed(now time.Time) {
	if s.toldSpeed || now.Sub(s.began) < earlySpan {
		return
	}
	s.toldSpeed = true
	s.relay.config.Placer.Finish(turmericwall.PlacementEnd{
		ID: s.placement, Service: s.end.Service, Running: true,
		AnswerTokens: (s.attempt.model.events - 1) * max(s.attempt.service.Engine.TokensPerEvent, 1),
		AnswerMillis: now.Sub(s.began).Milliseconds(),
	})
}

// lastID is the id of the last of the events, or 0 when none has one.
func lastID(events []byte) int64 {
	at := bytes.LastIndex(events, idField)
	if at < 0 || (at > 0 && events[at-1] != '\n') {
		return 0
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
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
