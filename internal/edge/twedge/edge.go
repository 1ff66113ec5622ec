// Package twedge serves the callers' listener over HTTP. Each call is authenticated and checked against the
// account's rate limit; completions then go to the deliverer, calls of plain services to the forwarder, and
// deferrable work to the ledger.
package twedge

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twkeyring"
	"github.com/turmericwall/turmericwall/internal/admission/twlimiter"
	"github.com/turmericwall/turmericwall/internal/edge/twproblem"
	"github.com/turmericwall/turmericwall/internal/ledger/twledger"
	"github.com/turmericwall/turmericwall/internal/once/twclaim"
	"github.com/turmericwall/turmericwall/internal/operations/twserve"
)

// Limits on callers' connections. The timeouts bound how long a slow or stalled caller can hold a connection.
const (
	readHeaderTimeout = 10 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	maxKeyBytes       = 255
	// maxDiscardFactor bounds how much of an oversized body is read and discarded, as a multiple of MaxBodyBytes.
	maxDiscardFactor = 4
)

// Request and response headers of the callers' interface.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerWork           = "X-Work"
)

// Edge is the HTTP server of the callers' listener.
type Edge struct {
	config     Config
	keys       *twkeyring.Keyring
	server     *http.Server
	inFlight   atomic.Int64
	answered   metrics.Counter
	failed     metrics.Counter
	firstToken metrics.Timer
}

// Config holds the limits of an edge and the components that it passes calls to.
type Config struct {
	Documents turmericwall.Documents
	Peers     turmericwall.Peers
	Deliverer turmericwall.Deliverer
	Forwarder turmericwall.Forwarder
	Claims    *twclaim.Claims
	Ledger    *twledger.Ledger
	Limiter   *twlimiter.Limiter
	// MaxBodyBytes bounds the body of one call; larger bodies are refused with KindTooLarge.
	MaxBodyBytes int64
	// TLS is nil when callers connect in plain text.
	TLS      *tls.Config
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
	Registry metrics.Registry
}

// New returns an edge with its routes; Serve starts it.
func New(config Config) *Edge {
	e := &Edge{
		config:     config,
		keys:       twkeyring.New(),
		answered:   metrics.GetOrRegisterCounter("requests.answered", config.Registry),
		failed:     metrics.GetOrRegisterCounter("requests.failed", config.Registry),
		firstToken: metrics.GetOrRegisterTimer("requests.firstToken", config.Registry),
	}
	router := echo.New()
	router.Use(e.trackRequest, e.admit)
	router.POST("/v1/completions", e.completionHandler(false))
	router.POST("/v1/chat/completions", e.completionHandler(true))
	router.GET("/v1/models", e.listModels)
	router.GET("/v1/requests/:id", e.fetchRequest)
	router.DELETE("/v1/requests/:id", e.cancelRequest)
	router.Any("/services/:service/*", e.forwardCall)
	router.HTTPErrorHandler = e.handleError
	e.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         config.TLS,
	}
	return e
}

// Serve answers callers until ctx ends.
func (e *Edge) Serve(ctx context.Context, listener net.Listener) error {
	if e.config.TLS != nil {
		listener = tls.NewListener(listener, e.config.TLS)
	}
	return twserve.ServeUntilDone(ctx, e.server, listener)
}

// DisableKeepAlives makes each connection close after its next answer, so that callers open new ones elsewhere.
func (e *Edge) DisableKeepAlives() { e.server.SetKeepAlivesEnabled(false) }

// Drain closes the listener and returns when no request is in flight, or with an error when ctx ends first.
func (e *Edge) Drain(ctx context.Context) error { return e.server.Shutdown(ctx) }

// InFlight returns the number of requests in flight.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// call is one authenticated call.
type call struct {
	id       string
	document *turmericwall.Document
	account  turmericwall.Account
}

const callContextKey = "call"

func callOf(c echo.Context) call { return c.Get(callContextKey).(call) }

// trackRequest gives the request an id, the caller's own if it sent a valid one, and counts the request as in flight.
func (e *Edge) trackRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := c.Request().Header.Get(headerRequestID)
		if id == "" || len(id) > maxKeyBytes {
			id = uuid.NewString()
		}
		c.Response().Header().Set(headerRequestID, id)
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		return next(c)
	}
}

// admit passes on the calls of declared accounts that are within their rate limit. Without a document no call can be
// authenticated, so that all are refused with KindNotReady.
func (e *Edge) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		document, ok := e.config.Documents.Current()
		if !ok {
			return turmericwall.NewProblem(turmericwall.KindNotReady, "the daemon knows no configuration yet",
				"come back in a few seconds").WithRetryAt(e.config.Clock.Now().Add(time.Second))
		}
		account, ok := e.keys.FindAccount(document, c.Request().Header.Get(echo.HeaderAuthorization))
		if !ok {
			return turmericwall.NewProblem(turmericwall.KindUnauthorized, "the key is missing or unknown",
				"send Authorization: Bearer with the account's key")
		}
		daemons := len(e.config.Peers.EligibleLeaders())
		if retryAt, ok := e.config.Limiter.Admit(e.config.Clock.Now(), account, daemons); !ok {
			return turmericwall.NewProblem(turmericwall.KindOverLimit, "the account is over its rate limit",
				"come back at the time given").WithRetryAt(retryAt)
		}
		c.Set(callContextKey, call{id: c.Response().Header().Get(headerRequestID), document: document, account: account})
		return next(c)
	}
}

// readBody reads the call's body within its limits on size and time.
//
// The connection of a caller that is still sending may be reset before the caller has read the answer, and the
// caller would see a connection error instead of the problem. An oversized body is therefore read and discarded, up
// to maxDiscardFactor times the limit, before the call is refused.
func (e *Edge) readBody(c echo.Context) ([]byte, error) {
	controller := http.NewResponseController(c.Response())
	_ = controller.SetReadDeadline(e.config.Clock.Now().Add(readBodyTimeout))
	content, err := io.ReadAll(io.LimitReader(c.Request().Body, e.config.MaxBodyBytes+1))
	tooLarge := int64(len(content)) > e.config.MaxBodyBytes
	if tooLarge {
		_, _ = io.CopyN(io.Discard, c.Request().Body, maxDiscardFactor*e.config.MaxBodyBytes)
	}
	_ = controller.SetReadDeadline(time.Time{})
	if tooLarge {
		return nil, turmericwall.NewProblem(turmericwall.KindTooLarge, "the body is over the limit", "send a smaller body")
	}
	if err != nil {
		return nil, turmericwall.NewProblem(turmericwall.KindBadRequest, "the body did not arrive whole", "send it again").WithCause(err)
	}
	return content, nil
}

// idempotencyKeyOf returns the call's Idempotency-Key, or an empty text if it has none. More than one is an error,
// since only one claim can be made for a call.
func idempotencyKeyOf(c echo.Context) (string, error) {
	keys := c.Request().Header.Values(headerIdempotencyKey)
	switch {
	case len(keys) == 0:
		return "", nil
	case len(keys) > 1:
		return "", turmericwall.NewProblem(turmericwall.KindBadRequest, "the call has two Idempotency-Keys", "send one")
	case keys[0] == "" || len(keys[0]) > maxKeyBytes:
		return "", turmericwall.NewProblem(turmericwall.KindBadRequest, "the Idempotency-Key is empty or over 255 bytes", "send a shorter one")
	}
	return keys[0], nil
}

// handleError records a failed call and answers it with a problem, unless its answer has already begun.
func (e *Edge) handleError(err error, c echo.Context) {
	e.failed.Inc(1)
	request := c.Response().Header().Get(headerRequestID)
	problem := e.problemOf(err)
	event := turmericwall.EventRequestRefused
	if c.Response().Committed {
		event = turmericwall.EventRequestFailed
	}
	e.config.Recorder.Record(event).Str("request", request).Str("kind", string(problem.Kind())).
		Str("outcome", string(problem.Outcome())).Err(problem).Send()
	if !c.Response().Committed {
		twproblem.Write(c.Response(), problem, request, e.config.Clock.Now())
	}
}

// problemOf returns the problem in the error; errors of the HTTP router stand for unknown paths and methods.
func (e *Edge) problemOf(err error) *turmericwall.Problem {
	var routerError *echo.HTTPError
	if errors.As(err, &routerError) {
		return turmericwall.NewProblem(turmericwall.KindNotFound, "no such address or method", "see docs/INTERFACES.md")
	}
	return twproblem.FromError(err)
}
