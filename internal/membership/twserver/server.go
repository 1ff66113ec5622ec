// Package twserver serves the gRPC peer protocol to the other daemons. It answers from this daemon's own heartbeats,
// document, list of VMs, placements and attempts.
package twserver

import (
	"context"
	"errors"
	"net"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twexchange"
	"github.com/turmericwall/turmericwall/internal/membership/twfleet"
	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

// Server answers calls from peers.
type Server struct {
	twpeer.UnimplementedPeerServer
	config Config
	grpc   *grpc.Server
}

// Config holds the server's credentials and the parts of the daemon that answer the calls.
type Config struct {
	Credentials credentials.TransportCredentials
	Stats       stats.Handler
	Clock       clockwork.Clock
	Exchange    *twexchange.Exchange
	Fleet       *twfleet.Fleet
	Documents   turmericwall.Documents
	// Leader places arrivals for the services that this daemon leads.
	Leader   turmericwall.Placer
	Attempts turmericwall.AttemptOwner
	Holder   turmericwall.AttemptHolder
}

// New returns a server that is not serving yet.
func New(config Config) *Server {
	s := &Server{config: config}
	s.grpc = grpc.NewServer(grpc.Creds(config.Credentials), grpc.StatsHandler(config.Stats))
	twpeer.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve serves the listener until ctx ends. It returns an error only if the listener fails before that.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ended := make(chan error, 1)
	go func() { ended <- s.grpc.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		s.grpc.Stop()
		<-ended
		return nil
	}
}

// Exchange merges a peer's heartbeats and returns this daemon's.
func (s *Server) Exchange(_ context.Context, heartbeats *twpeer.Heartbeats) (*twpeer.Heartbeats, error) {
	return s.config.Exchange.Receive(heartbeats), nil
}

// FetchDocument returns the document in force at this daemon, or the code NotFound while there is none.
func (s *Server) FetchDocument(context.Context, *twpeer.FetchDocumentRequest) (*twpeer.FetchDocumentReply, error) {
	document, ok := s.config.Documents.Current()
	if !ok {
		return nil, status.Error(codes.NotFound, "no revision is known here; ask another peer")
	}
	return &twpeer.FetchDocumentReply{Revision: document.Revision(), Source: document.Source()}, nil
}

// FetchVMs returns the last list of VMs that this daemon has, or the code NotFound while it has none.
func (s *Server) FetchVMs(context.Context, *twpeer.FetchVMsRequest) (*twpeer.FetchVMsReply, error) {
	if !s.config.Fleet.HasList() {
		return nil, status.Error(codes.NotFound, "no list of VMs is known here; ask another peer")
	}
	return twpeer.EncodeVMs(s.config.Fleet.All()), nil
}

// Place grants or refuses an arrival as the leader. A refusal is a reply; other errors have the code Unavailable.
func (s *Server) Place(ctx context.Context, request *twpeer.PlaceRequest) (*twpeer.PlaceReply, error) {
	grant, err := s.config.Leader.Place(ctx, twpeer.DecodeArrival(s.config.Clock.Now(), request))
	if err == nil {
		return twpeer.EncodeGrant(s.config.Clock.Now(), grant), nil
	}
	var refusal *turmericwall.Problem
	if errors.As(err, &refusal) {
		return twpeer.EncodeRefusal(s.config.Clock.Now(), refusal), nil
	}
	return nil, status.Error(codes.Unavailable, err.Error())
}

// Finish releases the reservations of ended attempts.
func (s *Server) Finish(_ context.Context, request *twpeer.FinishRequest) (*twpeer.FinishReply, error) {
	for _, e := range twpeer.DecodeEndings(request) {
		s.config.Leader.Finish(e)
	}
	return &twpeer.FinishReply{}, nil
}

// Inquire returns how far an attempt of this daemon got, and seals one that was not sent.
func (s *Server) Inquire(_ context.Context, request *twpeer.InquireRequest) (*twpeer.InquireReply, error) {
	return &twpeer.InquireReply{State: string(s.config.Attempts.State(request.GetAttempt()))}, nil
}

// Hold returns which of the attempts this daemon still wants.
func (s *Server) Hold(_ context.Context, request *twpeer.HoldRequest) (*twpeer.HoldReply, error) {
	return &twpeer.HoldReply{Wanted: s.config.Holder.FilterWanted(request.GetAttempts())}, nil
}
