// Package twservicestand simulates a plain service whose calls must not be repeated. It takes such a service's place
// behind the daemons in tests and load runs, and records each call that it executed, so that a test can count
// repetitions.
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

// Service executes and records every call that reaches it. Its methods are safe for concurrent use.
type Service struct {
	name   string
	server *http.Server

	mu       sync.Mutex
	executed []ExecutedCall
	faults   Faults
}

// ExecutedCall is one call that took effect.
type ExecutedCall struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Account string `json:"account"`
	Body    string `json:"body"`
}

// Faults are the faults that the service injects. They are switched while it runs.
type Faults struct {
	// ResetAfterExecution is the number of further calls whose connection is reset after they took effect.
	ResetAfterExecution int `json:"resetAfterAct"`
	// LatencyMillis delays each answer after its call took effect.
	LatencyMillis int64 `json:"latencyMillis"`
}

// New returns a service; its answers state the name.
func New(name string) *Service {
	s := &Service{name: name}
	router := echo.New()
	router.POST("/control/faults", s.setFaults)
	router.GET("/control/acts", s.getExecutedCalls)
	router.Any("/*", s.execute)
	s.server = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	return s
}

// Serve answers on the listener until ctx ends.
func (s *Service) Serve(ctx context.Context, listener net.Listener) error {
	return twserve.ServeUntilDone(ctx, s.server, listener)
}

// ExecutedCalls returns the calls that took effect so far, in order.
func (s *Service) ExecutedCalls() []ExecutedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ExecutedCall{}, s.executed...)
}

type response struct {
	Service string `json:"service"`
	Number  int    `json:"number"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}

// execute records the call and answers it, with the faults of this call.
func (s *Service) execute(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	number, faults := s.recordCall(c, body)
	time.Sleep(time.Duration(faults.LatencyMillis) * time.Millisecond)
	if faults.ResetAfterExecution > 0 {
		return resetConnection(c)
	}
	return c.JSON(http.StatusOK,
		response{Service: s.name, Number: number, Path: c.Request().URL.Path, Echo: string(body)})
}

// recordCall records the call and returns its number, from 1 on, and the faults that apply to it.
func (s *Service) recordCall(c echo.Context, body []byte) (int, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := c.Request()
	s.executed = append(s.executed, ExecutedCall{
		Method: request.Method, Path: request.URL.Path, Key: request.Header.Get("Idempotency-Key"),
		Account: request.Header.Get("X-Account"), Body: string(body),
	})
	faults := s.faults
	if s.faults.ResetAfterExecution > 0 {
		s.faults.ResetAfterExecution--
	}
	return len(s.executed), faults
}

// resetConnection closes the connection with a TCP reset, so that the caller gets no answer.
func resetConnection(c echo.Context) error {
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

func (s *Service) getExecutedCalls(c echo.Context) error {
	return c.JSON(http.StatusOK, s.ExecutedCalls())
}
