// Package twservicestand stands in for a plain service whose calls may not be repeated.
package twservicestand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall/internal/operations/twserve"
)

// Service acts once for each call it sees and counts what it did.
type Service struct {
	name   string
	server *http.Server

	mu     sync.Mutex
	acts   []Act
	faults Faults
}

// Act is one call that took effect.
type Act struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Account string `json:"account"`
	Body    string `json:"body"`
}

// Faults are switched while the service runs.
type Faults struct {
	// ResetAfterAct breaks the connection of so many further calls after they took effect.
	ResetAfterAct int `json:"resetAfterAct"`
	// LatencyMillis delays the answer after the call took effect.
	LatencyMillis int64 `json:"latencyMillis"`
}

// New returns a service.
func New(name string) *Service {
	s := &Service{name: name}
	router := echo.New()
	router.POST("/control/faults", s.setFaults)
	router.GET("/control/acts", s.getActs)
	router.Any("/*", s.act)
	s.server = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	return s
}

// Serve answers on the listener until ctx ends.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	return twserve.Until(ctx, s.server, listener)
}

// Acts returns what took effect so far.
func (s *Service) Acts() []Act {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Act{}, s.acts...)
}

type answer struct {
	Service string `json:"service"`
	Number  int    `json:"number"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}

func (s *Service) act(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	number, faults := s.note(c, body)
	time.Sleep(time.Duration(faults.LatencyMillis) * time.Millisecond)
	if faults.ResetAfterAct > 0 {
		return reset(c)
	}
	return c.JSON(http.StatusOK, answer{Service: s.name, Number: number, Path: c.Request().URL.Path, Echo: string(body)})
}

// note counts the call; the faults it returns are those of this call.
func (s *Service) note(c echo.Context, body []byte) (int, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := c.Request()
	s.acts = append(s.acts, Act{
		Method: request.Method, Path: request.URL.Path, Key: request.Header.Get("Idempotency-Key"),
		Account: request.Header.Get("X-Account"), Body: string(body),
	})
	faults := s.faults
	if s.faults.ResetAfterAct > 0 {
		s.faults.ResetAfterAct--
	}
	return len(s.acts), faults
}

// reset breaks the connection so that the caller sees it end without an answer.
func reset(c echo.Context) error {
	connection, _, err := c.Response().Hijack()
	if err != nil {
		return fmt.Errorf("take the connection over: %w", err)
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return connection.Close()
}

func (s *Service) setFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	return c.NoContent(http.StatusOK)
}

func (s *Service) getActs(c echo.Context) error { return c.JSON(http.StatusOK, s.Acts()) }
