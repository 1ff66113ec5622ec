package twrelay

import (
	"context"
	"errors"
	"io"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twbodyend"
)

// endOfBody returns the error with which a run ended; nil at the end of a complete body.
func (s *answerStream) endOfBody(ctx context.Context, paced *pacedBody, readErr error) error {
	if readErr == io.EOF {
		s.awaitMove(ctx)
	}
	body := s.body
	body.ReadErr, body.Events, body.Rest = readErr, s.run.received, s.partialEvent
	body.MaybeStopped = s.move.isPending()
	if result := s.move.result; result != nil {
		body.Stopped = result.err == nil
	}
	err := body.Check()
	s.endedEmpty = body.Resumed && errors.Is(err, twbodyend.ErrNoEvent)
	if errors.Is(err, twbodyend.ErrInsideEvent) {
		return paced.mark(err)
	}
	return err
}

// newBody returns what is known of the present run's body before it is read.
func (s *answerStream) newBody() twbodyend.Body {
	a, answer := s.attempt, s.run.answer
	return twbodyend.Body{
		Framing: answer.Framing, Streaming: a.route.Kind == turmericwall.CallStream,
		ContentType: answer.Header.Get("Content-Type"), Resumed: s.run.out.ResumeAfter > 0 || a.call.LastEvent > 0,
		EmptyBefore: s.endedEmpty,
	}
}
