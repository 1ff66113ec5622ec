// Package twdialer keeps one gRPC connection to each peer, and counts the traffic of the peer protocol.
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

// closeDelay is how long a replaced connection stays open. It is above the longest call's time limit.
const closeDelay = 10 * time.Second

// Dialer calls peers over the connections that it keeps. It is safe for concurrent use.
type Dialer struct {
	credentials credentials.TransportCredentials
	traffic     *traffic

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// Config holds the credentials for peers and the registry for the traffic's counters.
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

// Call runs one call to the peer within the timeout.
//
// An open connection can stay unresponsive for good while new ones work; a call that exceeds its timeout is the
// symptom. The next call then opens a new connection. The old one is closed later: if only one call was slow, closing
// it at once would break the other calls on it.
func (d *Dialer) Call(
	ctx context.Context, address string, timeout time.Duration, call func(context.Context, twpeer.PeerClient) error,
) error {
	connection, err := d.connection(address)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = call(callCtx, twpeer.NewPeerClient(connection))
	if isUnresponsive(err) && ctx.Err() == nil {
		d.replace(address, connection)
	}
	if err != nil {
		return fmt.Errorf("call peer %s: %w", address, err)
	}
	return nil
}

// StatsHandler returns the handler that counts the bytes of peer traffic; the peer server uses it as well.
func (d *Dialer) StatsHandler() stats.Handler { return d.traffic }

// Close closes all connections that are in use; replaced ones are closed after closeDelay.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, connection := range d.connections {
		_ = connection.Close()
		delete(d.connections, address)
	}
}

// connection returns the connection to the address, a new one if there is none.
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

// replace makes the next call to the address open a new connection.
func (d *Dialer) replace(address string, connection *grpc.ClientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connections[address] == connection {
		delete(d.connections, address)
		time.AfterFunc(closeDelay, func() { _ = connection.Close() })
	}
}

// isUnresponsive reports whether the error means that the peer did not answer on this connection.
func isUnresponsive(err error) bool {
	code := status.Code(err)
	return code == codes.DeadlineExceeded || code == codes.Unavailable
}
