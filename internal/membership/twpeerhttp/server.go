// Package twpeerhttp carries the calls between daemons.
//
// It speaks JSON over HTTP/1.1 and not gRPC: the machines have little memory and few calls are exchanged.
package twpeerhttp

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Config says who answers the calls.
type Config struct {
	Heard  func(turmericwall.Heartbeat) turmericwall.HeartbeatReply
	State  func(turmericwall.StateAsk) turmericwall.SharedState
	Keeps  func() bool
	Place  func(context.Context, turmericwall.PlaceAsk) (turmericwall.Placement, error)
	Finish func(turmericwall.PlacementEnd)
	Adopt  func(turmericwall.PlacedRun)
	Admit  func(turmericwall.AdmitAsk) turmericwall.AdmitReply
}

// Server is the HTTP handler for peers.
type Server struct {
	config Config
	mux    *http.ServeMux
	mu     sync.Mutex
	// plan is the newest plan, packed, and upstreams the newest list of all upstreams.
	plan, upstreams packed
}

// packed is a message in the form in which it travels, and what it was made from.
type packed struct {
	key   any
	bytes []byte
}

// NewServer returns a handler.
func NewServer(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+pathHeartbeat, s.heartbeat)
	s.mux.HandleFunc("POST "+pathState, s.state)
	s.mux.HandleFunc("POST "+pathPlace, s.place)
	s.mux.HandleFunc("POST "+pathFinish, s.finish)
	s.mux.HandleFunc("POST "+pathRuns, s.runs)
	s.mux.HandleFunc("POST "+pathAdmit, s.admit)
	return s
}

// ServeHTTP answers one call of a peer.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) { s.mux.ServeHTTP(w, request) }

func (s *Server) heartbeat(w http.ResponseWriter, request *http.Request) {
	var heartbeat turmericwall.Heartbeat
	if read(w, request, &heartbeat) {
		write(w, s.config.Heard(heartbeat))
	}
}

func (s *Server) state(w http.ResponseWriter, request *http.Request) {
	var ask turmericwall.StateAsk
	if !read(w, request, &ask) {
		return
	}
	state := s.config.State(ask)
	answer := wireState{SharedState: state}
	err := s.pack(&answer)
	if err != nil {
		http.Error(w, "the state can't be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	write(w, answer)
}

// pack replaces the plan and a whole list of upstreams by packed bytes, the same ones for all peers.
//
// All daemons ask in the same moment. Encoded for each, the state takes the leader's memory and processor, and
// unpacked it fills links on which heartbeats have to come through.
func (s *Server) pack(answer *wireState) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.Plan != nil {
		if err := s.plan.take(answer.Plan, answer.Plan); err != nil {
			return err
		}
		answer.PackedPlan, answer.Plan = s.plan.bytes, nil
	}
	if !answer.Partial && len(answer.Upstreams) > 0 {
		if err := s.upstreams.take(answer.UpstreamsPosition, answer.Upstreams); err != nil {
			return err
		}
		answer.PackedUpstreams, answer.Upstreams = s.upstreams.bytes, nil
	}
	return nil
}

// take packs the message unless it was packed under the same key.
func (p *packed) take(key, message any) error {
	if p.key == key {
		return nil
	}
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(message); err != nil {
		return err
	}
	if err := writer.Close(); err != nil {
		return err
	}
	p.key, p.bytes = key, buffer.Bytes()
	return nil
}

// unpack reads a packed part of a message, of at most maxMessage bytes; without bytes it leaves into as it is.
func unpack(part string, packed []byte, into any) error {
	if len(packed) == 0 {
		return nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return fmt.Errorf("unpack the %s: %w", part, err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxMessage)).Decode(into); err != nil {
		return fmt.Errorf("decode the %s: %w", part, err)
	}
	return nil
}

func (s *Server) place(w http.ResponseWriter, request *http.Request) {
	var ask wireAsk
	if !read(w, request, &ask) {
		return
	}
	if !s.config.Keeps() {
		http.Error(w, "this daemon is not the leader; wait for the next heartbeat", http.StatusMisdirectedRequest)
		return
	}
	placement, err := s.config.Place(request.Context(), fromWire(time.Now(), ask))
	now := time.Now()
	var p *turmericwall.Problem
	if errors.As(err, &p) {
		write(w, wirePlaced{
			Refused: true, Never: p.Kind() == turmericwall.KindTooLarge, OverLimit: p.Kind() == turmericwall.KindOverLimit, Reason: p.Detail(),
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

func (s *Server) admit(w http.ResponseWriter, request *http.Request) {
	var ask turmericwall.AdmitAsk
	if read(w, request, &ask) {
		write(w, s.config.Admit(ask))
	}
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
