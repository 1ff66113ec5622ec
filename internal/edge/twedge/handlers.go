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

// pendingRetryAfter is the Retry-After of a deferrable request that has no answer yet.
const pendingRetryAfter = 2 * time.Second

// maxAnswerBytes bounds the body of a plain service's answer, which is held in memory.
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

func (e *Edge) listModels(c echo.Context) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, s := range callOf(c).document.Services() {
		for _, name := range s.Models {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: s.Name})
		}
	}
	return c.JSON(http.StatusOK, list)
}

// fetchRequest answers 200 with the answer of a deferrable request, 202 while it is open, and 410 with its state
// when it ended without an answer.
func (e *Edge) fetchRequest(c echo.Context) error {
	entry, err := e.readEntry(c)
	if err != nil {
		return err
	}
	switch entry.State {
	case twentry.StateDone:
		body, err := encodeAnswer(entry)
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
	case twentry.StateOpen:
		c.Response().Header().Set(echo.HeaderRetryAfter, fmt.Sprintf("%.0f", pendingRetryAfter.Seconds()))
		return c.JSON(http.StatusAccepted, statusBody{ID: entry.ID, State: entry.State})
	default:
		return c.JSON(http.StatusGone, statusBody{ID: entry.ID, State: entry.State, Fault: entry.Fault})
	}
}

// encodeAnswer returns the body of a stored answer. The same entry always gives the same bytes.
func encodeAnswer(entry twentry.Entry) ([]byte, error) {
	completion := twcompletion.ForStoredAnswer(entry.Chat, entry.Model, entry.MaxTokens)
	return completion.EncodeAnswer(entry.ID, entry.At, entry.Text, entry.Usage)
}

func (e *Edge) cancelRequest(c echo.Context) error {
	entry, err := e.readEntry(c)
	if err != nil {
		return err
	}
	if err := e.config.Ledger.Cancel(c.Request().Context(), entry.ID); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// readEntry returns the ledger entry of the request in the path. Another account's request is reported as not found.
func (e *Edge) readEntry(c echo.Context) (twentry.Entry, error) {
	id := c.Param("id")
	notFound := turmericwall.NewProblem(turmericwall.KindNotFound, "no such request", "use the address from the Location header")
	if _, ok := twentry.PartitionOf(id); !ok {
		return twentry.Entry{}, notFound
	}
	entry, err := e.config.Ledger.Fetch(c.Request().Context(), id)
	if err == nil && entry.Account != callOf(c).account.Name {
		return twentry.Entry{}, notFound
	}
	return entry, err
}

// forwardCall handles a call to a plain service. A call that is not repeatable needs an Idempotency-Key, under which
// it is claimed before it is sent.
func (e *Edge) forwardCall(c echo.Context) error {
	call, err := e.buildServiceCall(c)
	if err != nil {
		return err
	}
	idempotencyKey, err := idempotencyKeyOf(c)
	if err != nil {
		return err
	}
	e.config.Recorder.Record(turmericwall.EventRequestAccepted).Str("request", callOf(c).id).Str("account", callOf(c).account.Name).
		Str("service", call.Service).Str("path", call.Path).Send()
	if call.Repeatable {
		answer, err := e.forwardWithRetry(c, call)
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
		BodyHash: twclaim.HashCall(call.Method, call.Path, call.Query, call.Body),
	}, func(ctx context.Context, beforeSend func() error) (*twclaim.Answer, error) {
		return e.forwardOnce(ctx, call, beforeSend)
	})
	if err != nil {
		return err
	}
	return e.writeAnswer(c, answer)
}

// buildServiceCall returns the call to forward; it fails with KindNotFound when no such plain service is declared.
func (e *Edge) buildServiceCall(c echo.Context) (turmericwall.ServiceCall, error) {
	name := c.Param("service")
	service, ok := callOf(c).document.Service(name)
	if !ok || service.Type != turmericwall.ServicePlain {
		return turmericwall.ServiceCall{}, turmericwall.NewProblem(turmericwall.KindNotFound,
			fmt.Sprintf("plain service %q is not declared", name), "ask the operators for the services of this environment")
	}
	body, err := e.readBody(c)
	if err != nil {
		return turmericwall.ServiceCall{}, err
	}
	request := c.Request()
	call := turmericwall.ServiceCall{
		Service: name, Method: request.Method, Path: path.Clean("/" + c.Param("*")), Query: request.URL.RawQuery,
		Header: forwardedHeader(request.Header, callOf(c)), Body: body,
		Deadline: e.config.Clock.Now().Add(time.Duration(service.TimeoutMillis) * time.Millisecond),
	}
	call.Repeatable = isRepeatable(service, call)
	return call, nil
}

// isRepeatable reports whether the call may be sent again, as declared for its method and path. Of undeclared
// calls only GET and HEAD are repeatable.
func isRepeatable(service *turmericwall.Service, call turmericwall.ServiceCall) bool {
	for _, declared := range service.Calls {
		if declared.Method == call.Method && declared.Path == call.Path {
			return declared.Repeatable
		}
	}
	return call.Method == http.MethodGet || call.Method == http.MethodHead
}

// forwardedHeader returns the header for the upstream: without the caller's key and the hop-by-hop fields, and with the
// request id and the account's name.
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

// forwardWithRetry sends a repeatable call, and a second time if the first failed while the caller still waits.
func (e *Edge) forwardWithRetry(c echo.Context, call turmericwall.ServiceCall) (*twclaim.Answer, error) {
	noCheck := func() error { return nil }
	answer, err := e.forwardOnce(c.Request().Context(), call, noCheck)
	if err == nil || c.Request().Context().Err() != nil {
		return answer, err
	}
	return e.forwardOnce(c.Request().Context(), call, noCheck)
}

// forwardOnce forwards the call and reads the complete answer. It continues until the call's deadline even if the
// caller disconnects, since the answer of a call that can't be repeated must still be recorded.
func (e *Edge) forwardOnce(
	ctx context.Context, call turmericwall.ServiceCall, beforeSend func() error,
) (*twclaim.Answer, error) {
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
	return twclaim.NewAnswer(response.StatusCode, header, body), nil
}
