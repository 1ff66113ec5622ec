// Package twpeerhttp carries the calls between daemons.
//
// It speaks JSON over HTTP/1.1 and not gRPC: the machines have little memory and few calls are exchanged.
package twpeerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Config says who answers the calls.
type Config struct {
	Heard  func(turmericwall.Beat) turmericwall.BeatAnswer
	State  func(turmericwall.StateAsk) turmericwall.SharedState
	Keeps  func() bool
	Place  func(context.Context, turmericwall.PlaceAsk) (turmericwall.Placement, error)
	Finish func(turmericwall.PlacementEnd)
	Adopt  func(turmericwall.PlacedRun)
}

// Server is the HTTP handler for peers.
type Server struct {
	config Config
	mux    *http.ServeMux
	mu     sync.Mutex
	// plan was encoded as planBytes.
	plan      *turmericwall.RoutePlan
	planBytes []byte
}

// NewServer returns a handler.
func NewServer(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+pathBeat, s.beat)
	s.mux.HandleFunc("POST "+pathState, s.state)
	s.mux.HandleFunc("POST "+pathPlace, s.place)
	s.mux.HandleFunc("POST "+pathFinish, s.finish)
	s.mux.HandleFunc("POST "+pathRuns, s.runs)
	return s
}

// ServeHTTP answers one call of a peer.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) { s.mux.ServeHTTP(w, request) }

func (s *Server) beat(w http.ResponseWriter, request *http.Request) {
	var beat turmericwall.Beat
	if read(w, request, &beat) {
		write(w, s.config.Heard(beat))
	}
}

func (s *Server) state(w http.ResponseWriter, request *http.Request) {
	var ask turmericwall.StateAsk
	if !read(w, request, &ask) {
		return
	}
	state := s.config.State(ask)
	plan, err := s.encoded(state.Plan)
	if err != nil {
		http.Error(w, "the plan can't be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	state.Plan = nil
	rest, err := json.Marshal(state)
	if err != nil {
		http.Error(w, "the state can't be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if plan == nil {
		_, _ = w.Write(rest)
		return
	}
	// The plan goes before the other fields of the same object.
	_, _ = w.Write([]byte(`{"plan":`))
	_, _ = w.Write(plan)
	_, _ = w.Write([]byte(","))
	_, _ = w.Write(rest[1:])
}

// encoded returns the plan's bytes, the same ones for all peers.
//
// All daemons ask for a new plan in the same moment. Encoded for each of 75, a plan of many routes took the keeper to
// 89 MB of 112; shared, it is held once.
func (s *Server) encoded(plan *turmericwall.RoutePlan) ([]byte, error) {
	if plan == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == plan {
		return s.planBytes, nil
	}
	body, err := json.Marshal(plan)
	if err != nil {
		return nil, err
	}
	s.plan, s.planBytes = plan, body
	return body, nil
}

func (s *Server) place(w http.ResponseWriter, request *http.Request) {
	var ask wireAsk
	if !read(w, request, &ask) {
		return
	}
	if !s.config.Keeps() {
		http.Error(w, "this daemon is not the keeper; wait for the next beat", http.StatusMisdirectedRequest)
		return
	}
	placement, err := s.config.Place(request.Context(), fromWire(time.Now(), ask))
	now := time.Now()
	var p *turmericwall.Problem
	if errors.As(err, &p) {
		write(w, wirePlaced{
			Refused: true, Never: p.Kind() == turmericwall.KindTooLarge, Reason: p.Detail(),
			RetryMillis: max(p.RetryAt().Sub(now).Milliseconds(), 0),
		})
		return
	}
	write(w, wirePlaced{
		Decode: placement.Decode, Prefill: placement.Prefill, ReserveTokens: placement.ReserveTokens,
		ReadMillis: placement.ReadDeadline.Sub(now).Milliseconds(), Reason: placement.Reason, Late: placement.Late,
	})
}

func (s *Server) finish(w http.ResponseWriter, request *http.Request) {
	var ends []turmericwall.PlacementEnd
	if !read(w, request, &ends) {
		return
	}
	for _, end := range ends {
		s.config.Finish(end)
	}
	write(w, struct{}{})
}

func (s *Server) runs(w http.ResponseWriter, request *http.Request) {
	var runs []wireRun
	if !read(w, request, &runs) {
		return
	}
	now := time.Now()
	for _, r := range runs {
		s.config.Adopt(turmericwall.PlacedRun{Ask: fromWire(now, r.Ask), Engine: r.Engine, AgeMillis: r.AgeMillis})
	}
	write(w, struct{}{})
}

func read(w http.ResponseWriter, request *http.Request, into any) bool {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxMessage))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		http.Error(w, "the message can't be read: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func write(w http.ResponseWriter, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(w, "the answer can't be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
