package twedge

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/edge/twcompletion"
	"github.com/turmericwall/turmericwall/internal/edge/twproblem"
)

// writeTimeout bounds one write, for callers that stop reading.
const writeTimeout = 20 * time.Second

// eventStream writes one completion as server-sent events.
type eventStream struct {
	edge       *Edge
	response   *echo.Response
	controller *http.ResponseController
	completion *twcompletion.Completion
	request    turmericwall.Request
	received   time.Time
	created    time.Time
	started    bool
}

func newEventStream(
	edge *Edge, c echo.Context, completion *twcompletion.Completion, request turmericwall.Request,
) *eventStream {
	now := edge.config.Clock.Now()
	return &eventStream{
		edge: edge, response: c.Response(), controller: http.NewResponseController(c.Response()),
		completion: completion, request: request, received: now, created: now,
	}
}

// Token writes one token as an event.
func (s *eventStream) Token(text string) error {
	if !s.started {
		s.writeHead()
	}
	chunk, err := s.completion.EncodeChunk(s.request.ID, s.created, text)
	if err != nil {
		return err
	}
	return s.writeEvent(chunk)
}

// writeHead writes the status and header and records the time to the first token.
func (s *eventStream) writeHead() {
	s.started = true
	s.edge.firstToken.Update(s.edge.config.Clock.Since(s.received))
	s.response.Header().Set(echo.HeaderContentType, "text/event-stream")
	s.response.Header().Set(echo.HeaderCacheControl, "no-cache")
	s.response.WriteHeader(http.StatusOK)
}

// finish writes the last chunk and the [DONE] event that marks the answer as complete.
func (s *eventStream) finish(usage turmericwall.Usage) error {
	if !s.started {
		s.writeHead()
	}
	last, err := s.completion.EncodeLastChunk(s.request.ID, s.created, usage)
	if err != nil {
		return err
	}
	if err := s.writeEvent(last); err != nil {
		return err
	}
	return s.writeEvent([]byte("[DONE]"))
}

// writeError writes the error's problem as an event. A failed write is ignored, since the request has failed already.
func (s *eventStream) writeError(err error) {
	body, encodeErr := json.Marshal(twproblem.NewBody(twproblem.FromError(err), s.request.ID, s.edge.config.Clock.Now()))
	if encodeErr == nil {
		_ = s.writeEvent(body)
	}
}

// writeEvent writes and flushes one event.
func (s *eventStream) writeEvent(data []byte) error {
	_ = s.controller.SetWriteDeadline(s.edge.config.Clock.Now().Add(writeTimeout))
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.response.Write(event); err != nil {
		return err
	}
	return s.controller.Flush()
}
