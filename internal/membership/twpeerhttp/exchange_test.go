package twpeerhttp_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twpeerhttp"
	"github.com/turmericwall/turmericwall/internal/operations/twbudget"
)

type exchangeFunc func(
	ctx context.Context, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error)

// newPeer returns the address of a daemon that handles the exchanges of peers with the function.
func newPeer(t *testing.T, exchange exchangeFunc) string {
	t.Helper()
	server := httptest.NewServer(twpeerhttp.NewServer(twpeerhttp.Config{Exchange: exchange}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

var exchangeTarget = turmericwall.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", StartedMillis: 5}

func exchangeRequest() turmericwall.UpstreamRequest {
	return turmericwall.UpstreamRequest{
		Head: []byte("POST /x HTTP/1.1\r\nX-Odd: \xff\xfe\r\n\r\n"), Body: bytes.Repeat([]byte("\n\x00b"), 9000),
		Method: http.MethodPost, CallID: "c", OwnConnection: true, IsOrder: true,
	}
}

func asSendError(err error) *turmericwall.SendError {
	var sent *turmericwall.SendError
	errors.As(err, &sent)
	return sent
}

// Guards against requests and answers that a peer changes, and against more time than is left.
func TestPeerSendsRequestUnchanged(t *testing.T) {
	g := NewWithT(t)
	var remaining time.Duration
	address := newPeer(t, func(
		ctx context.Context, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error) {
		deadline, _ := ctx.Deadline()
		remaining = time.Until(deadline)
		g.Expect(to).To(Equal(exchangeTarget))
		g.Expect(request).To(Equal(exchangeRequest()))
		return &turmericwall.Answer{
			Status: 503, Header: http.Header{"X-Not-Executed": {"1"}}, Length: -1, NotRun: true,
			Body: io.NopCloser(strings.NewReader("line\nrest")),
		}, nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, err := twpeerhttp.NewClient(nil).Exchange(ctx, address, exchangeTarget, exchangeRequest())
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(answer.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("line\nrest"))
	g.Expect([]any{answer.Status, answer.Length, answer.NotRun}).To(Equal([]any{503, int64(-1), true}))
	g.Expect(answer.Header.Get("X-Not-Executed")).To(Equal("1"))
	g.Expect(remaining).To(And(BeNumerically(">", time.Second), BeNumerically("<=", 2*time.Second)))
}

func TestPeerStatesWhetherItSentTheRequest(t *testing.T) {
	g := NewWithT(t)
	refusal := &turmericwall.EgressRefusal{Reason: turmericwall.EgressUnreachable, LostShare: 0.5}
	result := error(refusal)
	address := newPeer(t, func(
		context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error) {
		return nil, result
	})
	client := twpeerhttp.NewClient(nil)
	_, err := client.Exchange(context.Background(), address, exchangeTarget, exchangeRequest())
	g.Expect(err).To(Equal(refusal))
	result = &turmericwall.SendError{Sent: true, Err: errors.New("reset")}
	_, err = client.Exchange(context.Background(), address, exchangeTarget, exchangeRequest())
	g.Expect(asSendError(err).Sent).To(BeTrue())
	g.Expect(asSendError(err).PathLost).To(BeFalse())
}

// Guards against "not run" for a request that a peer may have sent before it fell silent or terminated.
func TestRequestCountsAsSentOncePeerMayHaveSentIt(t *testing.T) {
	g := NewWithT(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = silent.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = twpeerhttp.NewClient(nil).Exchange(ctx, silent.Addr().String(), exchangeTarget, exchangeRequest())
	g.Expect(asSendError(err).Sent).To(BeTrue())
	terminating := newPeer(t, func(
		context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error) {
		panic(http.ErrAbortHandler)
	})
	_, err = twpeerhttp.NewClient(nil).Exchange(context.Background(), terminating, exchangeTarget, exchangeRequest())
	g.Expect(asSendError(err).Sent).To(BeTrue())
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	_ = closed.Close()
	_, err = twpeerhttp.NewClient(nil).Exchange(context.Background(), closed.Addr().String(), exchangeTarget, exchangeRequest())
	g.Expect(asSendError(err).Sent).To(BeFalse())
}

// Guards against the first part of an answer that counts as the whole one.
func TestAnswerThatBreaksOffAtPeerReturnsError(t *testing.T) {
	g := NewWithT(t)
	address := newPeer(t, func(
		context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error) {
		return &turmericwall.Answer{Status: 200, Length: -1, Body: io.NopCloser(io.MultiReader(
			strings.NewReader("part"), brokenReader{},
		))}, nil
	})
	answer, err := twpeerhttp.NewClient(nil).Exchange(context.Background(), address, exchangeTarget, exchangeRequest())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(answer.Body)
	g.Expect(asSendError(err).PathLost).To(BeTrue())
}

// Guards against a body that counts as complete at its end because a peer doesn't state that only its connection ends it.
func TestStateOfTheConnectionPassesThroughAPeer(t *testing.T) {
	g := NewWithT(t)
	address := newPeer(t, func(
		context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error) {
		return &turmericwall.Answer{
			Status: 200, Length: -1, Framing: turmericwall.FramingConnection, Reused: true, Body: io.NopCloser(strings.NewReader("whole")),
		}, nil
	})
	answer, err := twpeerhttp.NewClient(nil).Exchange(context.Background(), address, exchangeTarget, exchangeRequest())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Framing).To(Equal(turmericwall.FramingConnection))
	g.Expect(answer.Reused).To(BeTrue(), "a refusal on it may be that of an earlier request")
	g.Expect(io.ReadAll(answer.Body)).To(BeEquivalentTo("whole"))
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// Guards against upstreams that work on after the caller has left.
func TestPeerEndsExchangeWhenCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	left := make(chan struct{})
	address := newPeer(t, func(
		ctx context.Context, _ turmericwall.Upstream, _ turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error) {
		<-ctx.Done()
		close(left)
		return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := twpeerhttp.NewClient(nil).Exchange(ctx, address, exchangeTarget, exchangeRequest())
	g.Expect(err).To(HaveOccurred())
	g.Eventually(left, time.Second).Should(BeClosed())
}

// Guards against an upstream that counts as ended because a peer's error doesn't say that it sent too much.
func TestExceededLimitPassesThroughAPeer(t *testing.T) {
	g := NewWithT(t)
	want := &turmericwall.LimitError{Limit: turmericwall.LimitHeadBytes, Max: 5}
	address := newPeer(t, func(
		context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error) {
		return nil, &turmericwall.SendError{Sent: true, Err: want}
	})
	_, err := twpeerhttp.NewClient(nil).Exchange(context.Background(), address, exchangeTarget, exchangeRequest())
	g.Expect(asSendError(err).Sent).To(BeTrue())
	var got *turmericwall.LimitError
	g.Expect(errors.As(err, &got)).To(BeTrue())
	g.Expect(got).To(Equal(want))
}

// Guards against requests of many peers that together take all memory of a daemon, and against small ones that are refused
// with them.
func TestMessagesOfAllPeersAreBounded(t *testing.T) {
	g := NewWithT(t)
	memory := twbudget.New(twbudget.Config{Bytes: 64 << 10})
	release, refused := make(chan struct{}), make(chan turmericwall.Limit, 9)
	entered := make(chan struct{}, 9)
	server := httptest.NewServer(twpeerhttp.NewServer(twpeerhttp.Config{
		BodyMemory:    memory,
		OnReadRefused: func(err *turmericwall.LimitError) { refused <- err.Limit },
		Exchange: func(
			context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
		) (*turmericwall.Answer, error) {
			entered <- struct{}{}
			<-release
			return &turmericwall.Answer{Status: 200, Length: -1, Body: io.NopCloser(strings.NewReader(""))}, nil
		},
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	send := func(size int) error {
		request := exchangeRequest()
		request.Body = make([]byte, size)
		answer, err := twpeerhttp.NewClient(nil).Exchange(context.Background(), address, exchangeTarget, request)
		if err != nil {
			return err
		}
		return answer.Body.Close()
	}
	done := make(chan error, 2)
	go func() { done <- send(50 << 10) }()
	<-entered
	err := send(50 << 10)
	g.Expect(asSendError(err).IsSafeToResend()).To(BeTrue(), "nothing was sent to the upstream")
	g.Expect(<-refused).To(Equal(turmericwall.LimitBufferMemory))
	go func() { done <- send(1 << 10) }()
	g.Eventually(entered).Should(Receive())
	close(release)
	g.Expect(<-done).To(Succeed())
	g.Expect(<-done).To(Succeed())
	g.Eventually(memory.Held).Should(BeZero())
	g.Expect(asSendError(send(10 << 20)).IsSafeToResend()).To(BeTrue())
	g.Expect(<-refused).To(Or(Equal(turmericwall.LimitBodyBytes), Equal(turmericwall.LimitBufferMemory)))
}
