package twdirect_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twdirect"
	"github.com/turmericwall/turmericwall/internal/delivery/twpath"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

var (
	target  = turmericwall.Upstream{ID: "u", Service: "s", Address: "u:1"}
	request = turmericwall.UpstreamRequest{Method: "GET", CallID: "c"}
)

// fakeConnections simulates the connections to upstreams.
type fakeConnections struct {
	mu             sync.Mutex
	exchange       func(ctx context.Context) (*turmericwall.Answer, error)
	connectErr     error
	connects       int
	idleClosed     int
	lastReceivedAt time.Time
	ownDelay       time.Duration
}

func (c *fakeConnections) Exchange(
	ctx context.Context, _ turmericwall.Upstream, _ turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	return c.exchange(ctx)
}

func (c *fakeConnections) Connect(context.Context, turmericwall.Upstream) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connects++
	return c.connectErr
}

func (c *fakeConnections) States(turmericwall.Upstream, string, time.Time) turmericwall.ConnectionStates {
	return turmericwall.ConnectionStates{}
}

func (c *fakeConnections) CloseIdle(turmericwall.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleClosed++
}

func (c *fakeConnections) LastReceivedAt(turmericwall.Upstream) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceivedAt
}

func (c *fakeConnections) counts() (connects, idleClosed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connects, c.idleClosed
}

func run(t *testing.T, connections *fakeConnections) (*twdirect.Transport, *twpath.Paths) {
	t.Helper()
	paths := twpath.New()
	transport := twdirect.New(twdirect.Config{
		Connections: connections, Paths: paths, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
		OwnDelay: func() time.Duration { return connections.ownDelay },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- transport.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return transport, paths
}

func untilDeadline(ctx context.Context) (*turmericwall.Answer, error) {
	<-ctx.Done()
	return nil, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
}

var errTimeout = errors.New("timeout")

// Guards against calls that follow others onto open connections of a path that is lost.
func TestSilentPathIsCheckedWhileItsFirstExchangeWaits(t *testing.T) {
	g := NewWithT(t)
	connections := &fakeConnections{
		exchange: untilDeadline, connectErr: &turmericwall.SendError{ConnectFailed: true, Err: errTimeout},
	}
	transport, paths := run(t, connections)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	go func() { _, _ = transport.Exchange(ctx, target, request) }()
	g.Eventually(func() bool { return paths.IsLost(time.Now(), target.Key()) }, 500*time.Millisecond).Should(BeTrue())
	_, idleClosed := connections.counts()
	g.Expect(idleClosed).To(Equal(1))
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the exchange must not be broken off")
}

// Guards against connections that are opened for each call of a slow upstream.
func TestUpstreamThatSendsIsNotChecked(t *testing.T) {
	g := NewWithT(t)
	connections := &fakeConnections{exchange: untilDeadline, lastReceivedAt: time.Now().Add(time.Second)}
	transport, _ := run(t, connections)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	_, err := transport.Exchange(ctx, target, request)
	g.Expect(err).To(HaveOccurred())
	connects, _ := connections.counts()
	g.Expect(connects).To(BeZero())
}

// Guards against a path that counts as lost because this daemon delays the answers itself.
func TestUpstreamIsNotCheckedForThisDaemonsOwnDelay(t *testing.T) {
	g := NewWithT(t)
	connections := &fakeConnections{exchange: untilDeadline, lastReceivedAt: time.Now(), ownDelay: time.Second}
	transport, _ := run(t, connections)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	_, err := transport.Exchange(ctx, target, request)
	g.Expect(err).To(HaveOccurred())
	connects, _ := connections.counts()
	g.Expect(connects).To(BeZero())
}

func TestLostPathIsRegainedByProbe(t *testing.T) {
	g := NewWithT(t)
	connections := &fakeConnections{exchange: func(context.Context) (*turmericwall.Answer, error) {
		return nil, &turmericwall.SendError{ConnectFailed: true, Err: errTimeout}
	}}
	transport, paths := run(t, connections)
	_, err := transport.Exchange(context.Background(), target, request)
	g.Expect(err).To(HaveOccurred())
	g.Expect(paths.IsLost(time.Now(), target.Key())).To(BeTrue())
	g.Eventually(func() bool { return paths.IsLost(time.Now(), target.Key()) }, 2*time.Second).Should(BeFalse())
}

// Guards against engines that are reported as failed when a stream breaks off because of a lost path.
func TestStreamBrokenOffByLostPathStatesIt(t *testing.T) {
	g := NewWithT(t)
	broken, breakOff := io.Pipe()
	connections := &fakeConnections{
		exchange: func(context.Context) (*turmericwall.Answer, error) {
			return &turmericwall.Answer{Status: 200, Body: broken}, nil
		},
		connectErr: &turmericwall.SendError{ConnectFailed: true, Err: errTimeout},
	}
	transport, paths := run(t, connections)
	answer, err := transport.Exchange(context.Background(), target, request)
	g.Expect(err).NotTo(HaveOccurred())
	paths.RecordLoss(time.Now(), target)
	_ = breakOff.CloseWithError(errTimeout)
	_, err = answer.Body.Read(make([]byte, 1))
	var sent *turmericwall.SendError
	g.Expect(errors.As(err, &sent)).To(BeTrue())
	g.Expect(sent.PathLost).To(BeTrue())
}
