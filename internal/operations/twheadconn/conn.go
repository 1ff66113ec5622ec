// Package twheadconn bounds the heads of the requests that a server reads from a connection.
//
// An http.Server bounds the bytes of a head, but a head of short lines takes many times its bytes in memory, and all
// connections may send one at once.
package twheadconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twhead"
)

// Config configures a Conn.
type Config struct {
	Conn net.Conn
	// Head has the limits of the heads.
	Head twhead.Config
	// OnRefused is called for a head that exceeds a limit; it may be nil.
	OnRefused func(from net.Addr, err *turmericwall.LimitError)
}

// Conn is a connection of a server. From New or BeginHead until EndHead, what is read counts towards the limits. A few bytes
// of a body that are read with its head count too, and those that a client sends before the answer to its last call may not.
type Conn struct {
	net.Conn
	onRefused func(from net.Addr, err *turmericwall.LimitError)
	// mu protects head: while a call is served, the server reads ahead in another goroutine.
	mu   sync.Mutex
	head *twhead.Head
}

// New returns a connection on which a head is expected.
func New(config Config) *Conn {
	config.Head.Request = true
	c := &Conn{Conn: config.Conn, onRefused: config.OnRefused, head: twhead.New(config.Head)}
	c.BeginHead()
	return c
}

// BeginHead begins the next head.
func (c *Conn) BeginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A head of which nothing was received yet exceeds no limit.
	_ = c.head.Begin(nil)
}

// EndHead ends the head, which the server has read. Its memory is released when the next one begins.
func (c *Conn) EndHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.End()
}

// Read reads from the connection. It fails with a LimitError once a head exceeds a limit.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	isFirst := c.head.Err() == nil
	limitErr := c.head.Scan(b[:n])
	c.mu.Unlock()
	if limitErr == nil {
		return n, err
	}
	var refused *turmericwall.LimitError
	if isFirst && c.onRefused != nil && errors.As(limitErr, &refused) {
		c.onRefused(c.RemoteAddr(), refused)
	}
	return 0, limitErr
}

// CloseWrite closes the sending side of the connection, so that a server's last answer isn't lost with what it didn't read.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return c.Conn.Close()
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.head.End()
	c.head.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// heads are the methods of connections that follow heads, also of those that wrap a Conn.
type heads interface {
	BeginHead()
	EndHead()
}

type connectionKey struct{}

// Serve makes a server follow the heads on its connections, which must be, or wrap, those of New. It keeps the server's
// ConnContext.
func Serve(server *http.Server) {
	next, handler := server.ConnContext, server.Handler
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, connection)
		}
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if c, ok := connection.(heads); ok && state == http.StateIdle {
			c.BeginHead()
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if c, ok := request.Context().Value(connectionKey{}).(heads); ok {
			c.EndHead()
		}
		handler.ServeHTTP(w, request)
	})
}
