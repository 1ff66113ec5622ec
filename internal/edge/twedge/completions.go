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

// complete handles a completion: streamed, whole, or deferred.
func (e *Edge) complete(chat bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := e.body(c)
		if err != nil {
			return err
		}
		completion, err := twcompletion.Parse(body, chat)
		if err != nil {
			return err
		}
		request, err := e.request(c, completion)
		if err != nil {
			return err
		}
		idempotencyKey, err := key(c)
		if err != nil {
			return err
		}
		e.config.Recorder.Record(turmericwall.EventRequestAccepted).Str("request", request.ID).Str("account", request.Account).
			Str("work", request.Work.Name).Str("model", request.Model).Send()
		switch {
		case wantsAsync(c):
			return e.submit(c, completion, request, idempotencyKey, body)
		case idempotencyKey != "":
			return e.completeOnce(c, completion, request, idempotencyKey, body)
		case completion.Stream():
			return e.stream(c, completion, request)
		}
		return e.whole(c, completion, request)
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

// request checks the call against the document.
func (e *Edge) request(c echo.Context, completion *twcompletion.Completion) (turmericwall.Request, error) {
	call := callOf(c)
	service, ok := call.document.ServiceOfModel(completion.Model())
	if !ok {
		return turmericwall.Request{}, turmericwall.NewProblem(turmericwall.KindNotFound,
			fmt.Sprintf("model %q is not declared", completion.Model()), "list the models with GET /v1/models")
	}
	work, err := workOf(call, c.Request().Header.Get(headerWork))
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

func workOf(call call, name string) (*turmericwall.Work, error) {
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

// whole answers with one body.
func (e *Edge) whole(c echo.Context, completion *twcompletion.Completion, request turmericwall.Request) error {
	answer, err := e.collect(c.Request().Context(), completion, request)
	if err != nil {
		return err
	}
	return e.writeAnswer(c, answer)
}

func (e *Edge) collect(ctx context.Context, completion *twcompletion.Completion, request turmericwall.Request) (*twclaim.Answer, error) {
	var text collector
	usage, err := e.config.Deliverer.Deliver(ctx, request, &text)
	if err != nil {
		return nil, err
	}
	body, err := completion.Whole(request.ID, e.config.Clock.Now(), text.String(), usage)
	if err != nil {
		return nil, err
	}
	return twclaim.AnswerOf(http.StatusOK, http.Header{echo.HeaderContentType: {echo.MIMEApplicationJSON}}, body), nil
}

type collector struct{ bytes.Buffer }

func (c *collector) Token(text string) error {
	_, err := c.WriteString(text)
	return err
}

// completeOnce answers a completion with an Idempotency-Key: the same key gets the same bytes, at any
// daemon. The answer is not streamed token by token, since only a whole answer is recorded.
func (e *Edge) completeOnce(c echo.Context, completion *twcompletion.Completion, request turmericwall.Request, idempotencyKey string, body []byte) error {
	ctx := c.Request().Context()
	answer, err := e.config.Claims.Do(ctx, twclaim.Call{
		Account: request.Account, Service: request.Service, Key: idempotencyKey, Repeatable: true,
		BodyHash: twclaim.HashOf(c.Request().Method, c.Path(), "", body),
	}, func(ctx context.Context, beforeSend func() error) (*twclaim.Answer, error) {
		if err := beforeSend(); err != nil {
			return nil, err
		}
		return e.collect(ctx, completion, request)
	})
	if err != nil {
		return err
	}
	return e.writeAnswer(c, answer)
}

// submit accepts deferrable work; 202 goes out only after it is durable.
func (e *Edge) submit(c echo.Context, completion *twcompletion.Completion, request turmericwall.Request, idempotencyKey string, body []byte) error {
	if request.Work.Urgent {
		return turmericwall.NewProblem(turmericwall.KindBadRequest,
			fmt.Sprintf("work %q may not wait", request.Work.Name), "leave respond-async out, or send another X-Work")
	}
	if idempotencyKey == "" {
		idempotencyKey = "request:" + request.ID
	}
	id := twentry.NewID(request.Account, idempotencyKey)
	err := e.config.Ledger.Submit(c.Request().Context(), twentry.Entry{
		ID: id, Account: request.Account, Work: request.Work.Name, Model: request.Model, Chat: completion.Chat(),
		BodyHash: twclaim.HashOf(c.Request().Method, c.Path(), "", body),
		Prompt:   request.Prompt, MaxTokens: request.MaxTokens,
	})
	if err != nil {
		return err
	}
	e.noteAnswered(c)
	c.Response().Header().Set(echo.HeaderLocation, "/v1/requests/"+id)
	return c.JSON(http.StatusAccepted, statusBody{ID: id, State: twentry.StateOpen})
}

// stream answers token by token. An error after the first token ends the stream with an error event and
// without its closing mark, so that no client takes a part for the whole.
func (e *Edge) stream(c echo.Context, completion *twcompletion.Completion, request turmericwall.Request) error {
	s := newStream(e, c, completion, request)
	usage, err := e.config.Deliverer.Deliver(c.Request().Context(), request, s)
	if err != nil {
		if !s.started {
			return err
		}
		s.fail(err)
		return err
	}
	e.noteAnswered(c)
	return s.finish(usage)
}

func (e *Edge) noteAnswered(c echo.Context) {
	e.answered.Inc(1)
	e.config.Recorder.Record(turmericwall.EventRequestAnswered).Str("request", c.Response().Header().Get(headerRequestID)).Send()
}

func (e *Edge) writeAnswer(c echo.Context, answer *twclaim.Answer) error {
	e.noteAnswered(c)
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
