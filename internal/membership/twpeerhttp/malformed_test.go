package twpeerhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twpeerhttp"
)

// rawPeer answers each message, once it has read it, with the text.
func rawPeer(t *testing.T, answer string) string {
	t.Helper()
	return barePeer(t, func(connection *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, answer)
	})
}

// barePeer answers each message over its bare connection, which ends then.
func barePeer(t *testing.T, answer func(connection *net.TCPConn, request *http.Request)) string {
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
				_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
				if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					answer(connection.(*net.TCPConn), request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against an exchange that is sent again, since a peer in trouble, which may have sent it, seems to state that it did not.
func TestOnlyAPeersOwnRefusalStatesThatNothingWasSent(t *testing.T) {
	const reply = "\r\nContent-Length: 46\r\n\r\n" + `{"status":200,"length":4,"framing":"length"}` + "\n\n"
	for status, sent := range map[string]bool{
		"400 Bad Request": false, "404 Not Found": false, "413 Content Too Large": false, "503 Service Unavailable": false,
		"000 Trouble": true, "099 Trouble": true, "204 No Content": true, "302 Found": true, "500 Trouble": true, "502 Trouble": true,
		"504 Trouble": true, "700 Trouble": true,
	} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := twpeerhttp.NewClient(nil).Exchange(ctx, rawPeer(t, "HTTP/1.1 "+status+reply), exchangeTarget, exchangeRequest())
			g.Expect(asSendError(err)).NotTo(BeNil())
			g.Expect([]bool{asSendError(err).PathLost, asSendError(err).Sent}).To(Equal([]bool{true, sent}))
		})
	}
}

// Guards against an answer without a status that a peer of an earlier version passes on.
func TestAnswerWithoutAStatusDoesNotPassThroughAPeer(t *testing.T) {
	for _, status := range []int{0, 20, 99, 101, 199} {
		g := NewWithT(t)
		address := newPeer(t, func(
			context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
		) (*turmericwall.Answer, error) {
			return &turmericwall.Answer{Status: status, NotRun: true, Body: http.NoBody}, nil
		})
		_, err := twpeerhttp.NewClient(nil).Exchange(t.Context(), address, exchangeTarget, exchangeRequest())
		g.Expect(asSendError(err)).NotTo(BeNil(), "%d", status)
		g.Expect([]bool{asSendError(err).Sent, asSendError(err).NotRun, asSendError(err).PathLost}).To(Equal([]bool{true, false, false}))
		g.Expect(err).To(MatchError(ContainSubstring(string(turmericwall.LimitMalformed))))
	}
}

// Guards against a malformed answer of a peer that counts as one, or as the statement that nothing was sent.
func TestMalformedAnswerOfAPeerIsNoAnswer(t *testing.T) {
	const line = `{"status":200,"length":4,"framing":"length"}` + "\n"
	for _, status := range []string{"200 OK", "404 Not Found"} {
		for _, fields := range []string{
			"X Foo: a\r\nContent-Length: 49\r\n", "X-Foo : a\r\nContent-Length: 49\r\n", "Content-Length : 49\r\n", "X-\x01Foo: a\r\nContent-Length: 49\r\n",
		} {
			t.Run(status+" "+fields[:9], func(t *testing.T) {
				g := NewWithT(t)
				address := rawPeer(t, "HTTP/1.1 "+status+"\r\n"+fields+"\r\n"+line+"body")
				_, err := twpeerhttp.NewClient(nil).Exchange(t.Context(), address, exchangeTarget, exchangeRequest())
				g.Expect(asSendError(err)).NotTo(BeNil())
				g.Expect([]bool{asSendError(err).Sent, asSendError(err).NotRun, asSendError(err).PathLost}).To(Equal([]bool{true, false, true}))
				_, err = twpeerhttp.NewClient(nil).Heartbeat(t.Context(), address, turmericwall.Heartbeat{})
				g.Expect(err).To(HaveOccurred())
			})
		}
	}
}

// Guards against a malformed field of an upstream's answer that a peer of an earlier version passes on.
func TestMalformedFieldNameDoesNotPassThroughAPeer(t *testing.T) {
	for _, name := range []string{"X Foo", "X-Foo ", "Content-Length ", ""} {
		g := NewWithT(t)
		address := newPeer(t, func(
			context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
		) (*turmericwall.Answer, error) {
			return &turmericwall.Answer{Status: 503, NotRun: true, Header: http.Header{name: {"1"}}, Body: http.NoBody}, nil
		})
		_, err := twpeerhttp.NewClient(nil).Exchange(t.Context(), address, exchangeTarget, exchangeRequest())
		g.Expect(asSendError(err)).NotTo(BeNil(), "%q", name)
		g.Expect([]bool{asSendError(err).Sent, asSendError(err).NotRun, asSendError(err).PathLost}).To(Equal([]bool{true, false, false}))
		g.Expect(err).To(MatchError(ContainSubstring(string(turmericwall.LimitMalformed))))
	}
}
