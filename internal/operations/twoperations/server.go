// Package twoperations serves the operators' listener of a daemon.
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

const headerTimeout = 5 * time.Second

// Server answers operators.
type Server struct {
	config Config
	server *http.Server
}

// Config names what the server answers from.
type Config struct {
	// Status returns the daemon's state.
	Status func() Status
	// Drain starts a graceful shutdown.
	Drain    func()
	Trace    *twtrace.Trace
	Registry metrics.Registry
}

// Status is the daemon's state as operators see it.
type Status struct {
	Incarnation string       `json:"incarnation"`
	Environment string       `json:"environment"`
	Zone        string       `json:"zone"`
	Ready       bool         `json:"ready"`
	Draining    bool         `json:"draining"`
	Revision    int64        `json:"revision"`
	Digest      string       `json:"digest"`
	InFlight    int64        `json:"inFlight"`
	Attempts    int          `json:"attempts"`
	Deferrable  int          `json:"deferrable"`
	Cancels     int          `json:"cancels"`
	Unrecorded  int          `json:"unrecorded"`
	Answered    int64        `json:"answered"`
	Failed      int64        `json:"failed"`
	Keeps       []string     `json:"keeps"`
	Peers       []PeerStatus `json:"peers"`
}

// PeerStatus is one live peer.
type PeerStatus struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Revision    int64  `json:"revision"`
	Draining    bool   `json:"draining"`
}

// New returns a server.
func New(config Config) *Server {
	s := &Server{config: config}
	router := echo.New()
	router.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	router.GET("/readyz", s.ready)
	router.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, config.Status()) })
	router.GET("/metrics", s.metrics)
	router.GET("/explain", s.explain)
	router.POST("/drain", s.drain)
	s.server = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	return s
}

// Serve answers operators until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return twserve.Until(ctx, s.server, listener)
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
