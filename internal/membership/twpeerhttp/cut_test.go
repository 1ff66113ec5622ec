package twpeerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/membership/twpeerhttp"
)

// Guards against the answer of a peer that terminates at any byte of it, in the line before the upstream's answer too, and is
// taken for a whole answer or for a refusal of the peer.
func TestPeerThatTerminatesAtAnyByteLeavesNoWholeAnswer(t *testing.T) {
	line := `{"status":200,"header":{"X-Server-Signature":["s"]},"length":4,"framing":"length"}` + "\nbody"
	refusal := `{"refused":"unreachable","length":0}` + "\n"
	for name, text := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line),
		"chunks":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n4\r\nbody\r\n0\r\n\r\n", len(line)-4, line[:len(line)-4]),
		"refusal": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = listener.Close() }()
			go func() {
				for n := 0; ; n++ {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
					}
					_, _ = io.WriteString(connection, text[:min(n, len(text))])
					_ = connection.Close()
				}
			}()
			for n := range len(text) {
				answer, err := twpeerhttp.NewClient(nil).Exchange(
					context.Background(), listener.Addr().String(), exchangeTarget, exchangeRequest())
				if err != nil {
					g.Expect(asSendError(err)).NotTo(BeNil(), "%d bytes: %v", n, err)
					g.Expect(asSendError(err).Sent).To(BeTrue(), "%d bytes", n)
					continue
				}
				_, err = io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				g.Expect(err).To(HaveOccurred(), "%d bytes", n)
			}
		})
	}
}
