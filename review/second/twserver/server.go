// Package twserver is a stand-in for the servers behind the daemons: a model engine with stages, or a plain service. What it answers to
// a request follows from the request's id alone, so that a stream that goes on elsewhere has the same pieces.
package twserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config configures a server.
type Config struct {
	ID string
	// Phase is the stage of a model engine; empty for a plain service.
	Phase string
	// Pieces is the number of events of a stream, and Gap the time between two.
	Pieces int
	Gap    time.Duration
	// Work is how long a plain request takes.
	Work time.Duration
	// Unframed makes answers have no length and end with their connection.
	Unframed bool
	// Switch is how long a change of the stage takes.
	Switch time.Duration
	// First is how much longer the first event of a stream takes.
	First time.Duration
	// Log gets a line for each run.
	Log io.Writer
}

// Server is one server. Its methods are safe for concurrent use.
type Server struct {
	config  Config
	born    int64
	mu      sync.Mutex
	phase   string
	active  bool
	orders  int64
	handles int
	runs    map[string]*run
	// factor is how many times as long the engine works, and lapses is set while its handles lapse at once.
	factor time.Duration
	lapses bool
}

type run struct {
	made    int
	stopped chan struct{}
}

// Report is what a server says of itself.
type Report struct {
	Born   int64  `json:"born"`
	Phase  string `json:"phase,omitempty"`
	Active bool   `json:"active"`
	Seq    int64  `json:"seq"`
	State  string `json:"state"`

	Models  []map[string]any `json:"models,omitempty"`
	Waiting int              `json:"waiting"`
	Running int              `json:"running"`
	Used    int              `json:"kvUsed"`
	Total   int              `json:"kvTotal"`
}

// New returns a server that has run nothing.
func New(config Config) *Server {
	return &Server{config: config, born: time.Now().UnixMilli(), phase: config.Phase, factor: 1, runs: make(map[string]*run)}
}

// SetFactor makes the engine work so many times as long from the next event on.
func (s *Server) SetFactor(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = time.Duration(factor)
}

// pause returns the time before the next event.
func (s *Server) pause(isFirst bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isFirst {
		return s.factor * (s.config.First + s.config.Gap)
	}
	return s.factor * s.config.Gap
}

// SetLapses makes the engine's handles lapse at once.
func (s *Server) SetLapses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapses = true
}

// log writes a line with the time in Unix milliseconds.
func (s *Server) log(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.config.Log, "%d %s %s\n", time.Now().UnixMilli(), s.config.ID, fmt.Sprintf(format, arguments...))
}

// Piece returns one event of the stream of a request.
func Piece(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d-%s\n\n", number, id, number, strings.Repeat("x", 200))
}

// Body returns the answer of a plain service to a request.
func Body(id string) string { return id + strings.Repeat("y", 800) }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != s.config.ID {
		w.Header().Set("X-Instance-Id", s.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(request.URL.Path, "/-/") {
		s.control(w, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	switch {
	case err != nil:
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case s.config.Phase == "":
		s.answer(w, request, id)
	case request.Header.Get("X-Stage") == "prefill":
		s.prefill(w, request, len(body))
	default:
		s.stream(w, request, id)
	}
}

func (s *Server) control(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/-/report":
		writeJSON(w, http.StatusOK, s.Report())
	case request.URL.Path == "/-/hold-take":
		writeJSON(w, http.StatusOK, map[string]any{"hold": s.newHandle("h")})
	case request.URL.Path == "/-/kv-list":
		writeJSON(w, http.StatusOK, map[string]any{"epoch": s.born, "next": 0, "held": []any{}})
	case request.URL.Path == "/-/kv-move":
		s.move(w, request)
	case request.URL.Path == "/-/order":
		s.order(w, request)
	case request.URL.Path == pathHandle:
		s.checkHandle(w)
	case request.Method == http.MethodDelete:
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Report returns what the server says of itself.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Report{Born: s.born, Phase: s.phase, Active: s.active, Seq: s.orders, State: "ready", Running: len(s.runs), Total: 76_702}
	if s.phase != "" {
		report.Models = []map[string]any{{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return report
}

func (s *Server) newHandle(prefix string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handles++
	return fmt.Sprintf("%s%x%04x", prefix, s.born, s.handles)
}

// move copies the memory of a run elsewhere, and stops the run first if the order says so.
func (s *Server) move(w http.ResponseWriter, request *http.Request) {
	var order struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	found, ok := s.runs[order.ID]
	made := 0
	if ok {
		made = found.made
	}
	if ok && order.Last {
		delete(s.runs, order.ID)
		close(found.stopped)
	}
	s.mu.Unlock()
	s.log("moves %s last %v known %v", order.ID, order.Last, ok)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"kvHandle": s.newHandle("m"), "created": made})
}

// order changes the stage.
func (s *Server) order(w http.ResponseWriter, request *http.Request) {
	var order struct {
		Phase       string `json:"phase"`
		ExpectedRev *int64 `json:"expectedRev"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.active, order.ExpectedRev != nil && *order.ExpectedRev != s.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case s.phase == order.Phase:
		w.WriteHeader(http.StatusOK)
		return
	}
	s.active = true
	s.orders++
	time.AfterFunc(s.config.Switch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.phase, s.active = order.Phase, false
	})
	w.WriteHeader(http.StatusAccepted)
}

// pathHandle is where engines ask each other whether a handle can be fetched.
const pathHandle = "/-/stand-in/handle"

func (s *Server) checkHandle(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lapses {
		w.WriteHeader(http.StatusGone)
	}
}

// canFetch reports whether the memory at IP:PORT/HANDLE can be fetched.
func canFetch(source string) bool {
	address, _, _ := strings.Cut(source, "/")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + pathHandle)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *Server) isChanging() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *Server) prefill(w http.ResponseWriter, request *http.Request, length int) {
	if s.isChanging() {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(time.Duration(max(length, 5000)/50) * time.Millisecond / 10):
	case <-request.Context().Done():
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"kvHandle": s.newHandle("p"), "tokens": length, "version": 1})
}

// stream makes the events after the one that the caller has.
func (s *Server) stream(w http.ResponseWriter, request *http.Request, id string) {
	source := request.Header.Get("X-Kv-Source")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	s.log("gets %s after %d source %q", id, after, source)
	if s.isChanging() || (source != "" && !canFetch(source)) {
		s.log("rejects %s", id)
		reject(w, http.StatusServiceUnavailable)
		return
	}
	present := &run{made: after, stopped: make(chan struct{})}
	s.mu.Lock()
	s.runs[id] = present
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		if s.runs[id] == present {
			delete(s.runs, id)
		}
		s.mu.Unlock()
	}()
	s.log("runs %s", id)
	out := s.begin(w, id, "text/event-stream")
	for number := after + 1; number <= s.config.Pieces; number++ {
		select {
		case <-time.After(s.pause(number == 1)):
		case <-present.stopped:
			out.breakOff()
			return
		case <-request.Context().Done():
			return
		}
		if out.write(Piece(id, number)) != nil {
			return
		}
		s.mu.Lock()
		present.made = number
		s.mu.Unlock()
	}
	out.end()
	s.log("ends %s", id)
}

// answer is the answer of a plain service, in two parts.
func (s *Server) answer(w http.ResponseWriter, request *http.Request, id string) {
	s.log("runs %s %s", request.Method, id)
	time.Sleep(s.config.Work / 2)
	body := Body(id)
	out := s.begin(w, id, "application/octet-stream")
	if out.write(body[:400]) != nil {
		return
	}
	time.Sleep(s.config.Work / 2)
	if out.write(body[400:]) == nil {
		out.end()
	}
}

// writer writes an answer with or without a length.
type writer struct {
	w          http.ResponseWriter
	connection net.Conn
}

func (s *Server) begin(w http.ResponseWriter, id, contentType string) *writer {
	signature := "st.0." + s.config.ID
	if !s.config.Unframed {
		w.Header().Set("Content-Type", contentType)
		w.Header().Set("X-Server-Signature", signature)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		return &writer{w: w}
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Request-Id: %s\r\nX-Server-Signature: %s\r\nConnection: close\r\n\r\n",
		contentType, id, signature)
	return &writer{connection: connection}
}

func (o *writer) write(text string) error {
	if o.connection != nil {
		_, err := io.WriteString(o.connection, text)
		return err
	}
	if _, err := io.WriteString(o.w, text); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

// end ends a complete answer.
func (o *writer) end() {
	if o.connection != nil {
		_ = o.connection.Close()
	}
}

// breakOff resets an answer that isn't complete.
func (o *writer) breakOff() {
	if tcp, ok := o.connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
		return
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
