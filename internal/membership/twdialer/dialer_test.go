package twdialer_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericwall/turmericwall/internal/membership/twdialer"
	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

// peer answers Inquire once answer is closed, and never answers Hold.
type peer struct {
	twpeer.UnimplementedPeerServer
	answer chan struct{}
}

func (p *peer) Inquire(context.Context, *twpeer.InquireRequest) (*twpeer.InquireReply, error) {
	<-p.answer
	return &twpeer.InquireReply{State: "done"}, nil
}

func (p *peer) Hold(ctx context.Context, _ *twpeer.HoldRequest) (*twpeer.HoldReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// One call to a peer exceeds its timeout while another is under way on the same connection. The first makes the
// dialer replace the connection; the second must still get its answer.
func TestSlowCallDoesNotBreakOtherCalls(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	p := &peer{answer: make(chan struct{})}
	server := grpc.NewServer()
	twpeer.RegisterPeerServer(server, p)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	defer func() {
		server.Stop()
		<-ended
	}()
	d := twdialer.New(twdialer.Config{Credentials: insecure.NewCredentials(), Registry: metrics.NewRegistry()})
	defer d.Close()
	address := listener.Addr().String()
	answered := make(chan error, 1)
	go func() {
		answered <- d.Call(t.Context(), address, 5*time.Second, func(ctx context.Context, c twpeer.PeerClient) error {
			_, err := c.Inquire(ctx, &twpeer.InquireRequest{})
			return err
		})
	}()
	g.Expect(d.Call(t.Context(), address, 200*time.Millisecond, func(ctx context.Context, c twpeer.PeerClient) error {
		_, err := c.Hold(ctx, &twpeer.HoldRequest{})
		return err
	})).NotTo(Succeed())
	close(p.answer)
	g.Eventually(answered).Should(Receive(BeNil()))
}
