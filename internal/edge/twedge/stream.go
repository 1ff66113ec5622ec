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

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 20 * time.Second

// stream writes server-sent events.
type stream struct {
	edge       *Edge
	response   *echo.Response
	controller *http.ResponseController
	completion *twcompletion.Completion
	request    turmericwall.Request
	received   time.Time
	created    time.Time
	started    bool
}

func newStream(edge *Edge, c echo.Context, completion *twcompletion.Completion, request turmericwall.Request) *stream {
	now := edge.config.Clock.Now()
	return &stream{
		edge: edge, response: c.Response(), controller: http.NewResponseController(c.Response()),
		completion: completion, request: request, received: now, created: now,
	}
}

// Token writes one token.
func (s *stream) Token(text string) error {
	if !s.started {
		s.start()
	}
	chunk, err := s.completion.Chunk(s.request.ID, s.created, text)
	if err != nil {
		return err
	}
	return s.send(chunk)
}

func (s *stream) start() {
	s.started = true
	s.edge.first.Update(s.edge.config.Clock.Since(s.received))
	s.response.Header().Set(echo.HeaderContentType, "text/event-stream")
	s.response.Header().Set(echo.HeaderCacheControl, "no-cache")
	s.response.WriteHeader(http.StatusOK)
}

func (s *stream) finish(usage turmericwall.Usage) error {
	if !s.started {
		s.start()
	}
	last, err := s.completion.LastChunk(s.request.ID, s.created, usage)
	if err != nil {
		return err
	}
	if err := s.send(last); err != nil {
		return err
	}
	return s.send([]byte("[DONE]"))
}

func (s *stream) fail(err error) {
	body, encodeErr := json.Marshal(twproblem.BodyOf(twproblem.Of(err), s.request.ID, s.edge.config.Clock.Now()))
	if encodeErr == nil {
		_ = s.send(body)
	}
}

func (s *stream) send(data []byte) error {
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
