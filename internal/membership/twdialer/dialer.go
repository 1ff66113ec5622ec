// Package twdialer keeps one gRPC connection to each peer.
package twdialer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

// closeAfter is above the longest call's deadline.
const closeAfter = 10 * time.Second

// Dialer gives clients of the peer protocol.
type Dialer struct {
	credentials credentials.TransportCredentials
	traffic     *traffic

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// Config says how peers are reached.
type Config struct {
	Credentials credentials.TransportCredentials
	Registry    metrics.Registry
}

// New returns a dialer without connections.
func New(config Config) *Dialer {
	return &Dialer{
		credentials: config.Credentials,
		traffic:     newTraffic(config.Registry),
		connections: make(map[string]*grpc.ClientConn),
	}
}

// Call runs one call to the peer within its deadline.
//
// An open connection can go silent for good while new ones work: the symptom is a call that ends by
// its deadline. The next call then dials anew. The old connection is closed later: if it was only one
// call that was slow, closing it at once would break all others off that are under way on it.
func (d *Dialer) Call(ctx context.Context, address string, timeout time.Duration, call func(context.Context, twpeer.PeerClient) error) error {
	connection, err := d.connection(address)
	if err != nil {
		return err
	}
	inner, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = call(inner, twpeer.NewPeerClient(connection))
	if silent(err) && ctx.Err() == nil {
		d.drop(address, connection)
	}
	if err != nil {
		return fmt.Errorf("call peer %s: %w", address, err)
	}
	return nil
}

// StatsHandler counts the bytes of peer traffic; a peer server uses it as well.
func (d *Dialer) StatsHandler() stats.Handler { return d.traffic }

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, connection := range d.connections {
		_ = connection.Close()
		delete(d.connections, address)
	}
}

func (d *Dialer) connection(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if connection, ok := d.connections[address]; ok {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(d.credentials),
		grpc.WithStatsHandler(d.traffic),
		grpc.WithDisableRetry())
	if err != nil {
		return nil, fmt.Errorf("dial peer %s, check its address: %w", address, err)
	}
	d.connections[address] = connection
	return connection, nil
}

func (d *Dialer) drop(address string, connection *grpc.ClientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connections[address] == connection {
		delete(d.connections, address)
		time.AfterFunc(closeAfter, func() { _ = connection.Close() })
	}
}

func silent(err error) bool {
	code := status.Code(err)
	return code == codes.DeadlineExceeded || code == codes.Unavailable
}
