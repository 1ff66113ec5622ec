package twforward_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/once/twforward"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

const (
	// uploadBytes is more than the sockets of both sides hold, so that the upload lasts until the upstream ends it.
	uploadBytes = 32 << 20
	// uploadTries is the number of calls that the upstream resets: which side notices a reset first is a matter of chance.
	uploadTries = 60
)

// rawUpstream answers each call, once it has read its head, with the text, and resets the connection.
func rawUpstream(t *testing.T, answer string) turmericwall.VM {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				tcp := connection.(*net.TCPConn)
				_ = tcp.SetReadBuffer(4 << 10)
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
					return
				}
				_, _ = io.WriteString(connection, answer)
				time.Sleep(30 * time.Millisecond)
				_ = tcp.SetLinger(0)
			}()
		}
	}()
	return turmericwall.VM{Name: "u", Address: listener.Addr().String(), State: turmericwall.VMLive}
}

// newForwarder returns a forwarder to one upstream.
func newForwarder(vm turmericwall.VM) *twforward.Forwarder {
	return twforward.New(twforward.Config{
		Fleet: fleet{vms: []turmericwall.VM{vm}}, Clock: clockwork.NewFakeClock(),
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
}

// Guards against a part of an answer that counts as the whole one, since the write of a call took the error of its connection's reset.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	forwarder := newForwarder(rawUpstream(t, "HTTP/1.1 200 OK\r\n\r\npart"))
	complete := 0
	for range uploadTries {
		response, err := forwarder.Forward(t.Context(), turmericwall.ServiceCall{
			Service: "s", Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, uploadBytes),
		}, func() error { return nil })
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(response.Body); err == nil {
			complete++
		}
		_ = response.Body.Close()
	}
	NewWithT(t).Expect(complete).To(BeZero(), "of %d answers", uploadTries)
}

// Guards against a malformed answer that is recorded as the answer to a call.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	const rest = "\r\nContent-Length: 4\r\n\r\nbody"
	for _, head := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 200 OK\r\nX Foo: a", "HTTP/1.1 200 OK\r\nX-Foo : a",
		"HTTP/1.1 404 Not Found\r\nX Foo: a", "HTTP/1.1 200 OK\r\nX-\x01Foo: a", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
	} {
		t.Run(head, func(t *testing.T) {
			g := NewWithT(t)
			_, err := newForwarder(rawUpstream(t, head+rest)).Forward(t.Context(), turmericwall.ServiceCall{
				Service: "s", Method: http.MethodGet, Path: "/", Header: http.Header{},
			}, func() error { return nil })
			var problem *turmericwall.Problem
			g.Expect(errors.As(err, &problem)).To(BeTrue())
			g.Expect(problem.Kind()).To(Equal(turmericwall.KindOutcomeUnknown))
		})
	}
}
