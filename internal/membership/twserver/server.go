// Package twserver serves the peer protocol to the other daemons.
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

// Server answers peers.
type Server struct {
	twpeer.UnimplementedPeerServer
	config Config
	grpc   *grpc.Server
}

// Config names what the server answers from.
type Config struct {
	Credentials credentials.TransportCredentials
	Stats       stats.Handler
	Clock       clockwork.Clock
	Exchange    *twexchange.Exchange
	Fleet       *twfleet.Fleet
	Documents   turmericwall.Documents
	// Leader places arrivals at this daemon.
	Leader   turmericwall.Placer
	Attempts turmericwall.AttemptOwner
	Holder   turmericwall.AttemptHolder
}

// New returns a server.
func New(config Config) *Server {
	s := &Server{config: config}
	s.grpc = grpc.NewServer(grpc.Creds(config.Credentials), grpc.StatsHandler(config.Stats))
	twpeer.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve answers on the listener until ctx ends.
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

// Exchange merges heartbeats.
func (s *Server) Exchange(_ context.Context, beats *twpeer.Heartbeats) (*twpeer.Heartbeats, error) {
	return s.config.Exchange.Receive(beats), nil
}

// FetchDocument returns the configuration in force here.
func (s *Server) FetchDocument(context.Context, *twpeer.FetchDocumentRequest) (*twpeer.FetchDocumentReply, error) {
	document, ok := s.config.Documents.Current()
	if !ok {
		return nil, status.Error(codes.NotFound, "no revision is known here; ask another peer")
	}
	return &twpeer.FetchDocumentReply{Revision: document.Revision(), Source: document.Source()}, nil
}

// FetchVMs returns the last list of VMs read here.
func (s *Server) FetchVMs(context.Context, *twpeer.FetchVMsRequest) (*twpeer.FetchVMsReply, error) {
	if !s.config.Fleet.Known() {
		return nil, status.Error(codes.NotFound, "no list of VMs is known here; ask another peer")
	}
	return twpeer.EncodeVMs(s.config.Fleet.All()), nil
}

// Place grants or refuses an arrival as leader.
func (s *Server) Place(ctx context.Context, request *twpeer.PlaceRequest) (*twpeer.PlaceReply, error) {
	grant, err := s.config.Leader.Place(ctx, twpeer.DecodeArrival(s.config.Clock.Now(), request))
	if err == nil {
		return twpeer.EncodeGrant(s.config.Clock.Now(), grant), nil
	}
	var refused *turmericwall.Problem
	if errors.As(err, &refused) {
		return twpeer.EncodeRefusal(s.config.Clock.Now(), refused), nil
	}
	return nil, status.Error(codes.Unavailable, err.Error())
}

// Finish releases reservations.
func (s *Server) Finish(_ context.Context, request *twpeer.FinishRequest) (*twpeer.FinishReply, error) {
	for _, e := range twpeer.DecodeEndings(request) {
		s.config.Leader.Finish(e)
	}
	return &twpeer.FinishReply{}, nil
}

// Inquire tells how far an attempt of this daemon got, and seals one that was not sent.
func (s *Server) Inquire(_ context.Context, request *twpeer.InquireRequest) (*twpeer.InquireReply, error) {
	return &twpeer.InquireReply{State: string(s.config.Attempts.State(request.GetAttempt()))}, nil
}

// Hold tells which attempts this daemon still wants.
func (s *Server) Hold(_ context.Context, request *twpeer.HoldRequest) (*twpeer.HoldReply, error) {
	return &twpeer.HoldReply{Wanted: s.config.Holder.Wanted(request.GetAttempts())}, nil
}
