// Package twmeter counts the bytes that a daemon sends and receives on its connections.
package twmeter

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// Meter counts the bytes of the connections that it wraps, over all of them. It is safe for concurrent use.
type Meter struct{ sent, received atomic.Int64 }

// New returns a meter that has counted nothing.
func New() *Meter { return &Meter{} }

// Sent returns the number of bytes that were handed to the system to be sent.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns the number of bytes that were received.
func (m *Meter) Received() int64 { return m.received.Load() }

// Wrap returns the connection with its bytes counted. A nil meter counts nothing, and returns the connection itself.
func (m *Meter) Wrap(connection net.Conn) net.Conn {
	tcp, ok := connection.(*net.TCPConn)
	if !ok || m == nil {
		return connection
	}
	return &meteredConn{Conn: tcp, tcp: tcp, meter: m}
}

// Listener returns the listener with the bytes of its connections counted.
func (m *Meter) Listener(listener net.Listener) net.Listener {
	return &meteredListener{Listener: listener, meter: m}
}

// Dial returns the function with the bytes of its connections counted.
func (m *Meter) Dial(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Wrap(connection), nil
	}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept returns the next connection.
func (l *meteredListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Wrap(connection), nil
}

// meteredConn has no methods of a TCP connection that copy without Read and Write.
type meteredConn struct {
	net.Conn
	tcp   *net.TCPConn
	meter *Meter
}

// Read reads from the connection.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write writes to the connection. The bytes count before they are written: they may wait for the link.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.meter.sent.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n - len(b)))
	return n, err
}

// SyscallConn returns the connection's socket.
func (c *meteredConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetLinger sets what happens to unsent bytes when the connection is closed.
func (c *meteredConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// CloseWrite closes the sending side of the connection.
func (c *meteredConn) CloseWrite() error { return c.tcp.CloseWrite() }
