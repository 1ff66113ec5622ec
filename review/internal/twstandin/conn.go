package twstandin

import (
	"bufio"
	"net"
	"sync"
)

// conn is a connection of a caller to an engine. It is read in the background, so that its end is noticed at once.
type conn struct {
	net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
	more   *sync.Cond
	held   []byte
	err    error
	// left is closed once the other side has closed the connection.
	left chan struct{}
	// extra is written before the next answer.
	extra []byte
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner, left: make(chan struct{})}
	c.more = sync.NewCond(&c.mu)
	c.reader = bufio.NewReader(readerFunc(c.take))
	go c.fill()
	return c
}

type readerFunc func(p []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func (c *conn) fill() {
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.held = append(c.held, buffer[:n]...)
		c.err = err
		c.more.Signal()
		c.mu.Unlock()
		if err != nil {
			close(c.left)
			return
		}
	}
}

func (c *conn) take(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.held) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		c.more.Wait()
	}
	n := copy(p, c.held)
	c.held = c.held[n:]
	return n, nil
}
