package twconnend_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/operations/twconnend"
)

const (
	sentPart = "part"
	// pause lets what was sent arrive.
	pause = 20 * time.Millisecond
)

// Guards against a reset that looks like an orderly close since a write took its error, and against an orderly close that looks like a reset since
// the connection was reset afterwards.
func TestReadAfterAFailedWriteTellsResetFromOrderlyClose(t *testing.T) {
	for _, test := range []struct {
		name      string
		isOrderly bool
		writes    bool
	}{
		{"reset, noticed by a read", false, false},
		{"reset, noticed by a write", false, true},
		{"closed, then reset, noticed by a read", true, false},
		{"closed, then reset, noticed by a write", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			near, far := connect(g)
			defer func() { _ = near.Close() }()
			_, err := io.WriteString(far, sentPart)
			g.Expect(err).NotTo(HaveOccurred())
			if test.isOrderly {
				g.Expect(far.CloseWrite()).To(Succeed())
			}
			time.Sleep(pause)
			g.Expect(far.SetLinger(0)).To(Succeed())
			g.Expect(far.Close()).To(Succeed())
			time.Sleep(pause)
			if test.writes {
				_, err := io.WriteString(near, "call")
				g.Expect(err).To(HaveOccurred())
			}
			received, err := io.ReadAll(near)
			g.Expect(string(received)).To(Equal(sentPart))
			if test.isOrderly {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(syscall.ECONNRESET))
		})
	}
}

// Guards against a read that waits for a write that isn't over, and against an orderly close that isn't believed since that write fails later.
func TestOrderlyCloseDuringAWriteIsReadAtOnce(t *testing.T) {
	g := NewWithT(t)
	near, far := connect(g)
	written := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, 64<<20))
		written <- err
	}()
	g.Expect(far.CloseWrite()).To(Succeed())
	_, err := near.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(near.Close()).To(Succeed())
	g.Expect(<-written).To(HaveOccurred())
	_ = far.Close()
}

// connect returns both ends of a connection.
func connect(g *WithT) (*twconnend.Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	far, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return twconnend.New(near), far.(*net.TCPConn)
}
