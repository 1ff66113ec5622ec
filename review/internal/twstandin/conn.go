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
	// awaitPath returns once the path to the other side isn't cut.
	awaitPath func()
	// unsent is what is to be sent, and sending is set while a goroutine sends it.
	unsent  []byte
	sending bool
	sendErr error
	closing bool
}

func newConn(inner net.Conn, awaitPath func()) *conn {
	c := &conn{Conn: inner, left: make(chan struct{}), awaitPath: awaitPath}
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
		c.awaitPath()
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

// Write has p sent, once the path isn't cut. What is held back meanwhile takes no time of the engine.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sendErr != nil {
		return 0, c.sendErr
	}
	c.unsent = append(c.unsent, p...)
	if !c.sending {
		c.sending = true
		go c.send()
	}
	return len(p), nil
}

func (c *conn) send() {
	for {
		c.awaitPath()
		c.mu.Lock()
		part := c.unsent
		c.unsent = nil
		if len(part) == 0 || c.sendErr != nil {
			c.sending = false
			closing := c.closing
			c.mu.Unlock()
			if closing {
				_ = c.Conn.Close()
			}
			return
		}
		c.mu.Unlock()
		_, err := c.Conn.Write(part)
		c.mu.Lock()
		c.sendErr = err
		c.mu.Unlock()
	}
}

// Close closes the connection once all was sent.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.sending {
		return nil
	}
	c.sending = true
	go c.send()
	return nil
}

// peer returns the address of the other side's machine.
func (c *conn) peer() string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return host
}
