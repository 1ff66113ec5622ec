// Package twoperations serves the operators' listener of a daemon over HTTP: health and readiness, status, metrics, the
// trace of one request, and the start of a drain. Calls of callers never pass through it.
package twoperations

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall/internal/operations/twserve"
	"github.com/turmericwall/turmericwall/internal/operations/twtrace"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes idle connections of operators and of the balancer, whose checks are a second apart.
	idleTimeout = 20 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
)

// Server is the HTTP server of the operators' listener.
type Server struct {
	config Config
	server *http.Server
}

// Config holds the sources of the server's answers.
type Config struct {
	// Status returns the daemon's state.
	Status func() Status
	// Drain starts a graceful shutdown and returns at once.
	Drain func()
	// Trace holds the log lines of recent requests.
	Trace *twtrace.Trace
	// Registry holds the metrics to show.
	Registry metrics.Registry
}

// Status is the daemon's state as operators see it.
type Status struct {
	Incarnation string `json:"incarnation"`
	Environment string `json:"environment"`
	Zone        string `json:"zone"`
	Ready       bool   `json:"ready"`
	Draining    bool   `json:"draining"`
	// Revision and Digest identify the document in force.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// InFlight counts the callers' requests in flight, and Attempts the attempts to deliver them.
	InFlight int64 `json:"inFlight"`
	Attempts int   `json:"attempts"`
	// Deferrable counts the deferrable requests that are running, Cancels the cancels that are not yet confirmed, and
	// Unrecorded the claims whose answer is not yet stored.
	Deferrable int `json:"deferrable"`
	Cancels    int `json:"cancels"`
	Unrecorded int `json:"unrecorded"`
	// Answered and Failed count the callers' requests since the start.
	Answered int64 `json:"answered"`
	Failed   int64 `json:"failed"`
	// LedServices lists the engine services that the daemon leads.
	LedServices []string     `json:"keeps"`
	Peers       []PeerStatus `json:"peers"`
}

// PeerStatus is one live peer, as its last heartbeat described it.
type PeerStatus struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Revision    int64  `json:"revision"`
	Draining    bool   `json:"draining"`
}

// New returns a server with its routes; Serve starts it.
func New(config Config) *Server {
	s := &Server{config: config}
	router := echo.New()
	router.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	router.GET("/readyz", s.ready)
	router.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, config.Status()) })
	router.GET("/metrics", s.metrics)
	router.GET("/explain", s.explain)
	router.POST("/drain", s.drain)
	s.server = &http.Server{
		Handler: router, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s
}

// Serve answers operators until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return twserve.ServeUntilDone(ctx, s.server, listener)
}

func (s *Server) ready(c echo.Context) error {
	if !s.config.Status().Ready {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	metrics.WriteJSONOnce(s.config.Registry, c.Response())
	return nil
}

func (s *Server) explain(c echo.Context) error {
	lines := s.config.Trace.Lines(c.QueryParam("id"))
	if lines == nil {
		lines = []twtrace.Line{}
	}
	return c.JSON(http.StatusOK, lines)
}

func (s *Server) drain(c echo.Context) error {
	s.config.Drain()
	return c.NoContent(http.StatusAccepted)
}
