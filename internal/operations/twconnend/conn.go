// Package twconnend tells connections that the other side has closed in order from those that were reset.
package twconnend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read returns io.EOF only if the other side has closed its sending side in order.
//
// The system reports a reset to one call only. If a write takes the error, the reads after it get an end of file, as after an orderly
// close.
type Conn struct {
	net.Conn
	// mu is held during a write. writeErr is the error of the first one that failed.
	mu       sync.Mutex
	writeErr error
}

// New returns the connection with the ends of its reads checked. Nothing else may take the errors of its socket.
func New(connection net.Conn) *Conn { return &Conn{Conn: connection} }

// Dial returns the function with the ends of its connections checked.
func Dial(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(connection), nil
	}
}

// Read reads from the connection. Its error is that of a write if the write took the error with which the connection ended.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// SyscallConn returns the connection's socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return connection.SyscallConn()
}

// end returns io.EOF if the other side has closed its sending side in order, and otherwise the error that ended the connection.
func (c *Conn) end() error {
	if !c.isClosed() {
		// The other side may still read.
		return io.EOF
	}
	// Writes to a closed socket return at once.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		// The system reports EPIPE if the reset came after an orderly close.
		return io.EOF
	}
	return fmt.Errorf("the connection ended during a write: %w", c.writeErr)
}

// isClosed reports whether the socket is closed in both directions.
func (c *Conn) isClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || closed
}
