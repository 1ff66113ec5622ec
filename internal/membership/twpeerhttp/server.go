// Package twpeerhttp carries the calls between daemons: heartbeats, shared state, placements by the leader, their
// ends, sends to upstreams that state a rate, and requests to upstreams that a peer sends.
//
// It uses JSON over HTTP/1.1 instead of gRPC, since VMs have little memory and daemons exchange few calls.
package twpeerhttp

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twlists"
	"github.com/turmericwall/turmericwall/internal/operations/twbody"
	"github.com/turmericwall/turmericwall/internal/operations/twbudget"
)

// Config holds the functions that answer the calls. IsLeader reports whether this daemon may place calls as the leader.
type Config struct {
	HandleHeartbeat func(context.Context, turmericwall.Heartbeat) turmericwall.HeartbeatReply
	State           func(turmericwall.StateRequest) turmericwall.SharedState
	// Lists decides whether a whole list of upstreams is sent to a daemon now; nil means always.
	Lists           *twlists.Lists
	IsLeader        func() bool
	Place           func(context.Context, turmericwall.PlaceRequest) (turmericwall.Placement, error)
	Finish          func(turmericwall.PlacementUpdate)
	AdoptPlacedCall func(turmericwall.PlacedCall)
	RecordStreams   func([]turmericwall.StreamRecord)
	// ExchangeEvidence adds a peer's evidence and returns this daemon's.
	ExchangeEvidence func(context.Context, turmericwall.Evidence) turmericwall.Evidence
	Admit            func(turmericwall.AdmitRequest) turmericwall.AdmitReply
	Charge           func(turmericwall.ChargeRequest) turmericwall.ChargeReply
	// Exchange sends a request to an upstream for a peer; see turmericwall.EgressClient.
	Exchange func(
		context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error)
	// BodyMemory is the memory for large messages that are being read, of all peers; it may be nil.
	BodyMemory *twbudget.Budget
	// OnReadRefused is called for each message that exceeds a limit; it may be nil.
	OnReadRefused func(err *turmericwall.LimitError)
}

// Server is the HTTP handler of the calls from peers.
type Server struct {
	config Config
	mux    *http.ServeMux
	// messages and exchanges read the bodies of messages and of requests to upstreams.
	messages, exchanges *twbody.Reader
	mu                  sync.Mutex
	// plan is the newest plan, upstreams the newest list of all upstreams and changes the newest list of changed
	// upstreams, compressed.
	plan, upstreams, changes packed
}

// packed is a compressed message, and the key of the message that it was made from.
type packed struct {
	key   any
	bytes []byte
}

// NewServer returns a handler that answers with the functions in config.
func NewServer(config Config) *Server {
	s := &Server{
		config: config, mux: http.NewServeMux(),
		messages:  twbody.New(twbody.Config{MaxBytes: maxMessageBytes, Memory: config.BodyMemory}),
		exchanges: twbody.New(twbody.Config{MaxBytes: maxExchangeBytes, Memory: config.BodyMemory}),
	}
	s.mux.HandleFunc("POST "+pathHeartbeat, s.heartbeat)
	s.mux.HandleFunc("POST "+pathState, s.state)
	s.mux.HandleFunc("POST "+pathPlace, s.place)
	s.mux.HandleFunc("POST "+pathFinish, s.finish)
	s.mux.HandleFunc("POST "+pathRuns, s.runs)
	s.mux.HandleFunc("POST "+pathStreams, s.streams)
	s.mux.HandleFunc("POST "+pathEvidence, s.evidence)
	s.mux.HandleFunc("POST "+pathAdmit, s.admit)
	s.mux.HandleFunc("POST "+pathCharge, s.charge)
	s.mux.HandleFunc("POST "+pathExchange, s.exchange)
	return s
}

// ServeHTTP answers one call from a peer.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) { s.mux.ServeHTTP(w, request) }

func (s *Server) heartbeat(w http.ResponseWriter, request *http.Request) {
	var heartbeat turmericwall.Heartbeat
	if s.readJSON(w, request, &heartbeat) {
		writeJSON(w, s.config.HandleHeartbeat(request.Context(), heartbeat))
	}
}

func (s *Server) state(w http.ResponseWriter, request *http.Request) {
	var stateRequest turmericwall.StateRequest
	if !s.readJSON(w, request, &stateRequest) {
		return
	}
	state := s.config.State(stateRequest)
	answer := wireState{SharedState: state}
	err := s.pack(&answer, stateRequest.UpstreamsPosition)
	if err != nil {
		http.Error(w, "the state can't be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	s.withhold(&answer, stateRequest)
	writeJSON(w, answer)
}

// withhold takes the whole list of upstreams out of the answer if too many are under way. The peer asks again, this daemon or one that
// has got it.
func (s *Server) withhold(answer *wireState, request turmericwall.StateRequest) {
	if s.config.Lists == nil || answer.Partial || len(answer.PackedUpstreams) == 0 {
		return
	}
	now, address := time.Now(), ""
	if request.Joining != nil {
		address = request.Joining.Address
	}
	if s.config.Lists.Begin(now, address, base64.StdEncoding.EncodedLen(len(answer.PackedUpstreams))) {
		return
	}
	answer.PackedUpstreams, answer.UpstreamsPosition, answer.StateAgeMillis = nil, 0, -1
	answer.Loading, answer.Referred = true, s.config.Lists.Refer(now)
}

// minPackedChanges is the number of changed upstreams from which on they are compressed.
const minPackedChanges = 16

// positions are those of the upstreams of two daemons.
type positions struct{ from, to int64 }

// pack replaces the plan, a complete list of upstreams and a long list of changed ones by compressed bytes, the same
// ones for all peers that have the same state. peerPosition is the position of the peer's upstreams.
//
// All daemons request them at the same time. Encoded for each, the state would take the leader's memory and processor
// time; uncompressed, it would fill the links on which heartbeats are sent.
func (s *Server) pack(answer *wireState, peerPosition int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.Plan != nil {
		if err := s.plan.update(answer.Plan, answer.Plan); err != nil {
			return err
		}
		answer.PackedPlan, answer.Plan = s.plan.bytes, nil
	}
	if !answer.Partial && len(answer.Upstreams) > 0 {
		if err := s.upstreams.update(answer.UpstreamsPosition, answer.Upstreams); err != nil {
			return err
		}
		answer.PackedUpstreams, answer.Upstreams = s.upstreams.bytes, nil
	}
	if answer.Partial && len(answer.Upstreams) >= minPackedChanges {
		key := positions{from: peerPosition, to: answer.UpstreamsPosition}
		if err := s.changes.update(key, answer.Upstreams); err != nil {
			return err
		}
		answer.PackedUpstreams, answer.Upstreams = s.changes.bytes, nil
	}
	return nil
}

// update compresses the message unless the bytes were made under the same key.
func (p *packed) update(key, message any) error {
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

// unpack decodes a compressed part of a message, which may have up to maxMessageBytes uncompressed. Without bytes it
// leaves into unchanged.
func unpack(part string, packed []byte, into any) error {
	if len(packed) == 0 {
		return nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return fmt.Errorf("unpack the %s: %w", part, err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxMessageBytes)).Decode(into); err != nil {
		return fmt.Errorf("decode the %s: %w", part, err)
	}
	return nil
}

func (s *Server) place(w http.ResponseWriter, request *http.Request) {
	var placeRequest wirePlaceRequest
	if !s.readJSON(w, request, &placeRequest) {
		return
	}
	if !s.config.IsLeader() {
		http.Error(w, "this daemon is not the leader; wait for the next heartbeat", http.StatusMisdirectedRequest)
		return
	}
	placement, err := s.config.Place(request.Context(), decodePlaceRequest(time.Now(), placeRequest))
	now := time.Now()
	var p *turmericwall.Problem
	if errors.As(err, &p) {
		writeJSON(w, wirePlaceReply{
			Refused: true, Never: p.Kind() == turmericwall.KindTooLarge,
			OverLimit: p.Kind() == turmericwall.KindOverLimit, Reason: p.Detail(),
			RetryMillis: max(p.RetryAt().Sub(now).Milliseconds(), 0),
			VersionGone: errors.Is(err, turmericwall.ErrVersionGone),
			Quarantined: errors.Is(err, turmericwall.ErrQuarantined), Cause: p.RefusedFor(),
		})
		return
	}
	writeJSON(w, wirePlaceReply{
		Decode: placement.Decode, Prefill: placement.Prefill, ReserveTokens: placement.ReserveTokens,
		ReadMillis: placement.PrefillEndsAt.Sub(now).Milliseconds(), Reason: placement.Reason, Late: placement.Late,
		Version: placement.Version,
	})
}

func (s *Server) finish(w http.ResponseWriter, request *http.Request) {
	var updates []turmericwall.PlacementUpdate
	if !s.readJSON(w, request, &updates) {
		return
	}
	for _, update := range updates {
		s.config.Finish(update)
	}
	writeJSON(w, struct{}{})
}

func (s *Server) runs(w http.ResponseWriter, request *http.Request) {
	var runs []wirePlacedCall
	if !s.readJSON(w, request, &runs) {
		return
	}
	now := time.Now()
	for _, r := range runs {
		s.config.AdoptPlacedCall(turmericwall.PlacedCall{
			Request: decodePlaceRequest(now, r.Request), Engine: r.Engine, AgeMillis: r.AgeMillis,
			PaceTokens: r.PaceTokens, PaceMillis: r.PaceMillis, PaceAgeMillis: r.PaceAgeMillis,
		})
	}
	writeJSON(w, struct{}{})
}

func (s *Server) streams(w http.ResponseWriter, request *http.Request) {
	var records []turmericwall.StreamRecord
	if !s.readJSON(w, request, &records) {
		return
	}
	s.config.RecordStreams(records)
	writeJSON(w, struct{}{})
}

func (s *Server) evidence(w http.ResponseWriter, request *http.Request) {
	var evidence turmericwall.Evidence
	if s.readJSON(w, request, &evidence) {
		writeJSON(w, s.config.ExchangeEvidence(request.Context(), evidence))
	}
}

func (s *Server) admit(w http.ResponseWriter, request *http.Request) {
	var admitRequest turmericwall.AdmitRequest
	if s.readJSON(w, request, &admitRequest) {
		writeJSON(w, s.config.Admit(admitRequest))
	}
}

func (s *Server) charge(w http.ResponseWriter, request *http.Request) {
	var chargeRequest turmericwall.ChargeRequest
	if s.readJSON(w, request, &chargeRequest) {
		writeJSON(w, s.config.Charge(chargeRequest))
	}
}

// readJSON decodes the request's body and reports whether that succeeded; if not, it has answered the request.
func (s *Server) readJSON(w http.ResponseWriter, request *http.Request, into any) bool {
	body, release, err := s.messages.Read(request.Body, request.ContentLength)
	defer release()
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		s.refuse(w, err)
	}
	return err == nil
}

// refuse answers a message that can't be read. After one that exceeds a limit the connection is closed, since its rest isn't
// read.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var refused *turmericwall.LimitError
	if errors.As(err, &refused) {
		w.Header().Set("Connection", "close")
		status = http.StatusRequestEntityTooLarge
		if refused.Limit == turmericwall.LimitBufferMemory {
			status = http.StatusServiceUnavailable
		}
		if s.config.OnReadRefused != nil {
			s.config.OnReadRefused(refused)
		}
	}
	http.Error(w, "the message can't be read: "+err.Error(), status)
}

// writeJSON answers with the message as JSON.
func writeJSON(w http.ResponseWriter, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(w, "the answer can't be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
