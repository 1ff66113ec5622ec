package twsocket_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/operations/twsocket"
)

// Guards against a caller that doesn't read, for whom the system holds megabytes of a small VM's memory, so that the engine
// doesn't notice either.
func TestSystemHoldsLittleForAPeerThatDoesNotRead(t *testing.T) {
	g := NewWithT(t)
	rule := twsocket.New(twsocket.Config{
		ProbeSeconds: 1, DeadMillis: 5000, SendBufferBytes: 128 << 10, ReceiveBufferBytes: 128 << 10,
	})
	config := rule.ListenConfig()
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	dialer := net.Dialer{Control: rule.Control}
	reader, err := dialer.Dial("tcp4", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = reader.Close() }()
	writer, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = writer.Close() }()
	_ = writer.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	n, err := writer.Write(make([]byte, 8<<20))
	g.Expect(err).To(HaveOccurred())
	t.Logf("%d bytes were written", n)
	g.Expect(n).To(BeNumerically("<", 600<<10))
}
