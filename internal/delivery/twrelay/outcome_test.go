package twrelay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// endingBody returns its events, and then the error of end.
type endingBody struct {
	events *strings.Reader
	end    func() error
}

func (b *endingBody) Read(p []byte) (int, error) {
	if b.events.Len() > 0 {
		return b.events.Read(p)
	}
	return 0, b.end()
}

func (*endingBody) Close() error { return nil }

// Guards against logs and metrics that don't tell who ended an answer, and that count callers who left as broken off.
func TestOutcomeNamesWhoEndedTheCallAndAtWhichStep(t *testing.T) {
	type ending struct {
		result, by, step string
	}
	for _, c := range []struct {
		name string
		end  func(leave context.CancelFunc) error
		want ending
	}{
		{"the caller leaves", func(leave context.CancelFunc) error {
			leave()
			return errors.New("use of closed network connection")
		}, ending{"left", "caller", "events"}},
		{"the deadline passes", func(context.CancelFunc) error {
			time.Sleep(250 * time.Millisecond)
			return errors.New("use of closed network connection")
		}, ending{"brokenOff", "deadline", "events"}},
		{"the upstream resets", func(context.CancelFunc) error { return syscall.ECONNRESET }, ending{"brokenOff", "upstream", "events"}},
		{"the answer ends early", func(context.CancelFunc) error { return io.ErrUnexpectedEOF }, ending{"brokenOff", "upstream", "events"}},
		{"the network is silent", func(context.CancelFunc) error { return syscall.ETIMEDOUT }, ending{"brokenOff", "network", "events"}},
		{"the handler panics", func(context.CancelFunc) error { panic("index out of range") }, ending{"brokenOff", "process", "events"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newModelFixture(splitPlacement("d1"))
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			s.upstreams.send = func(
				context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
			) (*turmericwall.Answer, error) {
				body := &endingBody{events: strings.NewReader(events(1, 2)), end: func() error { return c.end(leave) }}
				return &turmericwall.Answer{Status: 200, Length: -1, Header: http.Header{}, Body: body}, nil
			}
			func() {
				defer func() { _ = recover() }()
				_, _ = s.serveWithin(ctx, "/m/x", 200*time.Millisecond)
			}()
			g.Expect(s.outcomes).To(HaveLen(1))
			line := s.log.String()[strings.Index(s.log.String(), `"event":2004`):]
			step := line[strings.Index(line, `"step":"`)+len(`"step":"`):]
			got := ending{s.outcomes[0].Result, s.outcomes[0].EndedBy, step[:strings.IndexByte(step, '"')]}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// Guards against lines of one request under different ids, and against a process that ends without a trace of what it
// had sent.
func TestEachStepOfARequestIsLoggedUnderItsPlainID(t *testing.T) {
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	_, err := s.serve(context.Background(), "/m/x")
	g.Expect(err).NotTo(HaveOccurred())
	for _, event := range []string{"3001", "3010", "2005", "2003"} {
		g.Expect(s.log.String()).To(MatchRegexp(`"event":` + event + `,[^\n]*"request":"id1"`))
	}
}
