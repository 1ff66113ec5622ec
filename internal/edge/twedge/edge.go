// Package twedge answers callers over HTTP.
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

// Limits towards callers. A slow or stalled caller holds a connection no longer than these.
const (
	headerTimeout  = 10 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	maxKeyBytes    = 255
	// discardFactor bounds what is read and thrown away of a body over the limit, in limits.
	discardFactor = 4
)

// Headers of the callers' interface.
const (
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerWork      = "X-Work"
)

// Edge serves the callers' listener.
type Edge struct {
	config   Config
	keys     *twkeyring.Keyring
	server   *http.Server
	inFlight atomic.Int64
	answered metrics.Counter
	failed   metrics.Counter
	first    metrics.Timer
}

// Config names what the edge answers from.
type Config struct {
	Documents    turmericwall.Documents
	Peers        turmericwall.Peers
	Deliverer    turmericwall.Deliverer
	Forwarder    turmericwall.Forwarder
	Claims       *twclaim.Claims
	Ledger       *twledger.Ledger
	Limiter      *twlimiter.Limiter
	MaxBodyBytes int64
	// TLS is nil for plain text.
	TLS      *tls.Config
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
	Registry metrics.Registry
}

// New returns an edge.
func New(config Config) *Edge {
	e := &Edge{
		config:   config,
		keys:     twkeyring.New(),
		answered: metrics.GetOrRegisterCounter("requests.answered", config.Registry),
		failed:   metrics.GetOrRegisterCounter("requests.failed", config.Registry),
		first:    metrics.GetOrRegisterTimer("requests.firstToken", config.Registry),
	}
	router := echo.New()
	router.Use(e.identify, e.guard)
	router.POST("/v1/completions", e.complete(false))
	router.POST("/v1/chat/completions", e.complete(true))
	router.GET("/v1/models", e.models)
	router.GET("/v1/requests/:id", e.fetch)
	router.DELETE("/v1/requests/:id", e.cancel)
	router.Any("/services/:service/*", e.forward)
	router.HTTPErrorHandler = e.handleError
	e.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
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
	return twserve.Until(ctx, e.server, listener)
}

// Announce asks callers to leave their connections after the next answer.
func (e *Edge) Announce() { e.server.SetKeepAlivesEnabled(false) }

// Drain stops taking connections and returns when no request is under way, or when ctx ends.
func (e *Edge) Drain(ctx context.Context) error { return e.server.Shutdown(ctx) }

// InFlight counts the requests under way.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// call is what the edge knows of one authenticated call.
type call struct {
	id       string
	document *turmericwall.Document
	account  turmericwall.Account
}

const callKey = "call"

func callOf(c echo.Context) call { return c.Get(callKey).(call) }

// identify names the call and counts it.
func (e *Edge) identify(next echo.HandlerFunc) echo.HandlerFunc {
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

// guard lets in calls of known accounts that are within their limit.
func (e *Edge) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		document, ok := e.config.Documents.Current()
		if !ok {
			return turmericwall.NewProblem(turmericwall.KindNotReady, "the daemon knows no configuration yet",
				"come back in a few seconds").WithRetryAt(e.config.Clock.Now().Add(time.Second))
		}
		account, ok := e.keys.Find(document, c.Request().Header.Get(echo.HeaderAuthorization))
		if !ok {
			return turmericwall.NewProblem(turmericwall.KindUnauthorized, "the key is missing or unknown",
				"send Authorization: Bearer with the account's key")
		}
		daemons := len(e.config.Peers.Leaders())
		if retryAt, ok := e.config.Limiter.Admit(e.config.Clock.Now(), account, daemons); !ok {
			return turmericwall.NewProblem(turmericwall.KindOverLimit, "the account is over its rate limit",
				"come back at the time given").WithRetryAt(retryAt)
		}
		c.Set(callKey, call{id: c.Response().Header().Get(headerRequestID), document: document, account: account})
		return next(c)
	}
}

// body reads the call's body within its size and time.
//
// A caller that still sends while it is answered may get its connection reset before it has read the
// answer: it would see a broken connection instead of the problem. So what is over the limit is read and
// thrown away first, up to a bound of its own.
func (e *Edge) body(c echo.Context) ([]byte, error) {
	controller := http.NewResponseController(c.Response())
	_ = controller.SetReadDeadline(e.config.Clock.Now().Add(bodyTimeout))
	content, err := io.ReadAll(io.LimitReader(c.Request().Body, e.config.MaxBodyBytes+1))
	tooLarge := int64(len(content)) > e.config.MaxBodyBytes
	if tooLarge {
		_, _ = io.CopyN(io.Discard, c.Request().Body, discardFactor*e.config.MaxBodyBytes)
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

// key returns the call's Idempotency-Key; two of them are an error.
func key(c echo.Context) (string, error) {
	keys := c.Request().Header.Values(headerKey)
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

func (e *Edge) problemOf(err error) *turmericwall.Problem {
	var fromRouter *echo.HTTPError
	if errors.As(err, &fromRouter) {
		return turmericwall.NewProblem(turmericwall.KindNotFound, "no such address or method", "see docs/INTERFACES.md")
	}
	return twproblem.Of(err)
}
