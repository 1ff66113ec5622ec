package twedge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/edge/twcompletion"
	"github.com/turmericwall/turmericwall/internal/ledger/twentry"
	"github.com/turmericwall/turmericwall/internal/once/twclaim"
)

// completionHandler returns the handler of plain or chat completions. It answers in one body, as a stream of tokens, or
// with the address of an accepted deferrable request.
func (e *Edge) completionHandler(chat bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := e.readBody(c)
		if err != nil {
			return err
		}
		completion, err := twcompletion.Parse(body, chat)
		if err != nil {
			return err
		}
		request, err := e.buildRequest(c, completion)
		if err != nil {
			return err
		}
		idempotencyKey, err := idempotencyKeyOf(c)
		if err != nil {
			return err
		}
		e.config.Recorder.Record(turmericwall.EventRequestAccepted).Str("request", request.ID).Str("account", request.Account).
			Str("work", request.Work.Name).Str("model", request.Model).Send()
		switch {
		case wantsAsync(c):
			return e.submitDeferrable(c, completion, request, idempotencyKey, body)
		case idempotencyKey != "":
			return e.answerIdempotent(c, completion, request, idempotencyKey, body)
		case completion.Stream():
			return e.answerStreamed(c, completion, request)
		}
		return e.answerUnstreamed(c, completion, request)
	}
}

func wantsAsync(c echo.Context) bool {
	for _, value := range c.Request().Header.Values("Prefer") {
		if strings.Contains(value, "respond-async") {
			return true
		}
	}
	return false
}

// buildRequest checks the call against the document and returns the request to deliver. It fails with KindNotFound for
// an undeclared model and with KindForbidden for work that the account is not declared for.
func (e *Edge) buildRequest(c echo.Context, completion *twcompletion.Completion) (turmericwall.Request, error) {
	call := callOf(c)
	service, ok := call.document.ServiceOfModel(completion.Model())
	if !ok {
		return turmericwall.Request{}, turmericwall.NewProblem(turmericwall.KindNotFound,
			fmt.Sprintf("model %q is not declared", completion.Model()), "list the models with GET /v1/models")
	}
	work, err := selectWork(call, c.Request().Header.Get(headerWork))
	if err != nil {
		return turmericwall.Request{}, err
	}
	request := turmericwall.Request{
		ID: call.id, Account: call.account.Name, Work: *work, Model: completion.Model(), Service: service.Name,
		Prompt: completion.Prompt(), MaxTokens: completion.MaxTokens(),
	}
	if work.Urgent {
		target := time.Duration(work.FirstTokenMillis) * time.Millisecond
		request.FirstTokenDeadline = e.config.Clock.Now().Add(target)
	}
	return request, nil
}

// selectWork returns the account's work with the given name, or its first work when the name is empty.
func selectWork(call call, name string) (*turmericwall.Work, error) {
	if name == "" {
		name = call.account.Work[0]
	}
	for _, allowed := range call.account.Work {
		if allowed == name {
			if work, ok := call.document.Work(name); ok {
				return work, nil
			}
		}
	}
	return nil, turmericwall.NewProblem(turmericwall.KindForbidden,
		fmt.Sprintf("the account may not ask for work %q", name), "send an X-Work that the account is declared for")
}

// answerUnstreamed answers with one body.
func (e *Edge) answerUnstreamed(
	c echo.Context, completion *twcompletion.Completion, request turmericwall.Request,
) error {
	answer, err := e.collectAnswer(c.Request().Context(), completion, request)
	if err != nil {
		return err
	}
	return e.writeAnswer(c, answer)
}

// collectAnswer delivers the request and returns its complete answer.
func (e *Edge) collectAnswer(
	ctx context.Context, completion *twcompletion.Completion, request turmericwall.Request,
) (*twclaim.Answer, error) {
	var text textCollector
	usage, err := e.config.Deliverer.Deliver(ctx, request, &text)
	if err != nil {
		return nil, err
	}
	body, err := completion.EncodeAnswer(request.ID, e.config.Clock.Now(), text.String(), usage)
	if err != nil {
		return nil, err
	}
	return twclaim.NewAnswer(http.StatusOK, http.Header{echo.HeaderContentType: {echo.MIMEApplicationJSON}}, body), nil
}

// textCollector is a sink that joins the tokens of an answer.
type textCollector struct{ bytes.Buffer }

func (c *textCollector) Token(text string) error {
	_, err := c.WriteString(text)
	return err
}

// answerIdempotent answers a completion that carries an Idempotency-Key: every daemon answers the same key with the
// same bytes. The answer is not streamed, since only a complete answer is recorded.
func (e *Edge) answerIdempotent(
	c echo.Context, completion *twcompletion.Completion, request turmericwall.Request, idempotencyKey string, body []byte,
) error {
	ctx := c.Request().Context()
	answer, err := e.config.Claims.Do(ctx, twclaim.Call{
		Account: request.Account, Service: request.Service, Key: idempotencyKey, Repeatable: true,
		BodyHash: twclaim.HashCall(c.Request().Method, c.Path(), "", body),
	}, func(ctx context.Context, beforeSend func() error) (*twclaim.Answer, error) {
		if err := beforeSend(); err != nil {
			return nil, err
		}
		return e.collectAnswer(ctx, completion, request)
	})
	if err != nil {
		return err
	}
	return e.writeAnswer(c, answer)
}

// submitDeferrable accepts deferrable work and answers 202 once the ledger has stored it durably.
func (e *Edge) submitDeferrable(
	c echo.Context, completion *twcompletion.Completion, request turmericwall.Request, idempotencyKey string, body []byte,
) error {
	if request.Work.Urgent {
		return turmericwall.NewProblem(turmericwall.KindBadRequest,
			fmt.Sprintf("work %q may not wait", request.Work.Name), "leave respond-async out, or send another X-Work")
	}
	if idempotencyKey == "" {
		idempotencyKey = "request:" + request.ID
	}
	id := twentry.DeriveID(request.Account, idempotencyKey)
	err := e.config.Ledger.Submit(c.Request().Context(), twentry.Entry{
		ID: id, Account: request.Account, Work: request.Work.Name, Model: request.Model, Chat: completion.Chat(),
		BodyHash: twclaim.HashCall(c.Request().Method, c.Path(), "", body),
		Prompt:   request.Prompt, MaxTokens: request.MaxTokens,
	})
	if err != nil {
		return err
	}
	e.recordAnswered(c)
	c.Response().Header().Set(echo.HeaderLocation, "/v1/requests/"+id)
	return c.JSON(http.StatusAccepted, statusBody{ID: id, State: twentry.StateOpen})
}

// answerStreamed answers token by token. After the first token, an error ends the stream with an error event and
// without the [DONE] event, so that no client mistakes a partial answer for a complete one.
func (e *Edge) answerStreamed(c echo.Context, completion *twcompletion.Completion, request turmericwall.Request) error {
	s := newEventStream(e, c, completion, request)
	usage, err := e.config.Deliverer.Deliver(c.Request().Context(), request, s)
	if err != nil {
		if !s.started {
			return err
		}
		s.writeError(err)
		return err
	}
	e.recordAnswered(c)
	return s.finish(usage)
}

func (e *Edge) recordAnswered(c echo.Context) {
	e.answered.Inc(1)
	e.config.Recorder.Record(turmericwall.EventRequestAnswered).Str("request", c.Response().Header().Get(headerRequestID)).Send()
}

func (e *Edge) writeAnswer(c echo.Context, answer *twclaim.Answer) error {
	e.recordAnswered(c)
	header := c.Response().Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Replayed {
		header.Set("Idempotent-Replayed", "true")
	}
	c.Response().WriteHeader(answer.Status)
	_, err := c.Response().Write(answer.Body)
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("write the answer: %w", err)
	}
	return nil
}
