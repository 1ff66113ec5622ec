package twedge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/edge/twcompletion"
	"github.com/turmericwall/turmericwall/internal/ledger/twentry"
	"github.com/turmericwall/turmericwall/internal/once/twclaim"
)

// fetchAgain is when a caller should ask again for an answer that is not there yet.
const fetchAgain = 2 * time.Second

// maxAnswerBytes bounds a plain service's answer.
const maxAnswerBytes = 8 << 20

type statusBody struct {
	ID    string        `json:"id"`
	State twentry.State `json:"state"`
	Fault string        `json:"fault,omitempty"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (e *Edge) models(c echo.Context) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, s := range callOf(c).document.Services() {
		for _, name := range s.Models {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: s.Name})
		}
	}
	return c.JSON(http.StatusOK, list)
}

// fetch answers 200 with the answer, 202 while there is none, and 410 for a cancelled request.
func (e *Edge) fetch(c echo.Context) error {
	entry, err := e.entry(c)
	if err != nil {
		return err
	}
	switch entry.State {
	case twentry.StateDone:
		body, err := answerOf(entry)
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
	case twentry.StateOpen:
		c.Response().Header().Set(echo.HeaderRetryAfter, fmt.Sprintf("%.0f", fetchAgain.Seconds()))
		return c.JSON(http.StatusAccepted, statusBody{ID: entry.ID, State: entry.State})
	default:
		return c.JSON(http.StatusGone, statusBody{ID: entry.ID, State: entry.State, Fault: entry.Fault})
	}
}

// answerOf makes the same bytes from the same entry each time.
func answerOf(entry twentry.Entry) ([]byte, error) {
	completion := twcompletion.Stored(entry.Chat, entry.Model, entry.MaxTokens)
	return completion.Whole(entry.ID, entry.At, entry.Text, entry.Usage)
}

func (e *Edge) cancel(c echo.Context) error {
	entry, err := e.entry(c)
	if err != nil {
		return err
	}
	if err := e.config.Ledger.Cancel(c.Request().Context(), entry.ID); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// entry reads the request that the address names; another account's is not found.
func (e *Edge) entry(c echo.Context) (twentry.Entry, error) {
	id := c.Param("id")
	notFound := turmericwall.NewProblem(turmericwall.KindNotFound, "no such request", "use the address from the Location header")
	if _, ok := twentry.Partition(id); !ok {
		return twentry.Entry{}, notFound
	}
	entry, err := e.config.Ledger.Fetch(c.Request().Context(), id)
	if err == nil && entry.Account != callOf(c).account.Name {
		return twentry.Entry{}, notFound
	}
	return entry, err
}

// forward handles a call to a plain service.
func (e *Edge) forward(c echo.Context) error {
	call, err := e.serviceCall(c)
	if err != nil {
		return err
	}
	idempotencyKey, err := key(c)
	if err != nil {
		return err
	}
	e.config.Recorder.Record(turmericwall.EventRequestAccepted).Str("request", callOf(c).id).Str("account", callOf(c).account.Name).
		Str("service", call.Service).Str("path", call.Path).Send()
	if call.Repeatable {
		answer, err := e.forwardAgain(c, call)
		if err != nil {
			return err
		}
		return e.writeAnswer(c, answer)
	}
	if idempotencyKey == "" {
		return turmericwall.NewProblem(turmericwall.KindBadRequest,
			"this call may not be repeated and has no Idempotency-Key", "send one that names the call")
	}
	answer, err := e.config.Claims.Do(c.Request().Context(), twclaim.Call{
		Account: callOf(c).account.Name, Service: call.Service, Key: idempotencyKey,
		BodyHash: twclaim.HashOf(call.Method, call.Path, call.Query, call.Body),
	}, func(ctx context.Context, beforeSend func() error) (*twclaim.Answer, error) {
		return e.send(ctx, call, beforeSend)
	})
	if err != nil {
		return err
	}
	return e.writeAnswer(c, answer)
}

func (e *Edge) serviceCall(c echo.Context) (turmericwall.ServiceCall, error) {
	name := c.Param("service")
	service, ok := callOf(c).document.Service(name)
	if !ok || service.Type != turmericwall.ServicePlain {
		return turmericwall.ServiceCall{}, turmericwall.NewProblem(turmericwall.KindNotFound,
			fmt.Sprintf("plain service %q is not declared", name), "ask the operators for the services of this environment")
	}
	body, err := e.body(c)
	if err != nil {
		return turmericwall.ServiceCall{}, err
	}
	request := c.Request()
	call := turmericwall.ServiceCall{
		Service: name, Method: request.Method, Path: path.Clean("/" + c.Param("*")), Query: request.URL.RawQuery,
		Header: forwardedHeader(request.Header, callOf(c)), Body: body,
		Deadline: e.config.Clock.Now().Add(time.Duration(service.TimeoutMillis) * time.Millisecond),
	}
	call.Repeatable = repeatable(service, call)
	return call, nil
}

// repeatable follows the declaration; a call that is not declared is repeatable only if it reads.
func repeatable(service *turmericwall.Service, call turmericwall.ServiceCall) bool {
	for _, declared := range service.Calls {
		if declared.Method == call.Method && declared.Path == call.Path {
			return declared.Repeatable
		}
	}
	return call.Method == http.MethodGet || call.Method == http.MethodHead
}

// forwardedHeader leaves out what concerns only the caller's own connection or its key.
func forwardedHeader(header http.Header, call call) http.Header {
	forwarded := header.Clone()
	for _, name := range []string{
		"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		forwarded.Del(name)
	}
	forwarded.Set(headerRequestID, call.id)
	forwarded.Set("X-Account", call.account.Name)
	return forwarded
}

// forwardAgain sends a repeatable call, and once more after a failure.
func (e *Edge) forwardAgain(c echo.Context, call turmericwall.ServiceCall) (*twclaim.Answer, error) {
	always := func() error { return nil }
	answer, err := e.send(c.Request().Context(), call, always)
	if err == nil || c.Request().Context().Err() != nil {
		return answer, err
	}
	return e.send(c.Request().Context(), call, always)
}

// send forwards the call and reads the whole answer. It goes on when the caller is gone: a call that may
// not be repeated is worth its answer.
func (e *Edge) send(ctx context.Context, call turmericwall.ServiceCall, beforeSend func() error) (*twclaim.Answer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	response, err := e.config.Forwarder.Forward(ctx, call, beforeSend)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return nil, turmericwall.NewProblem(turmericwall.KindOutcomeUnknown, "the service's answer broke off or is over 8 MiB",
			"ask the service before sending the call under another key").WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
	}
	header := http.Header{}
	for _, name := range []string{echo.HeaderContentType, echo.HeaderLocation, "ETag", echo.HeaderCacheControl} {
		if values, ok := response.Header[http.CanonicalHeaderKey(name)]; ok {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	return twclaim.AnswerOf(response.StatusCode, header, body), nil
}
