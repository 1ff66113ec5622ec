package twrelay_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Guards against events of other callers at the end of a stream, whose read buffer was given to the next stream too
// early.
func TestStreamsAtTheSameTimeKeepTheirOwnEvents(t *testing.T) {
	const streams, rounds = 16, 60
	var running sync.WaitGroup
	for n := range streams {
		running.Go(func() {
			body := strings.Repeat(fmt.Sprintf("id: 1\ndata: %d\n\n", n), 200)
			for range rounds {
				s := newModelFixture(splitPlacement("d1"))
				s.upstreams.send = func(
					context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
				) (*turmericwall.Answer, error) {
					a := answer(200, body)
					a.Body = io.NopCloser(iotest.DataErrReader(strings.NewReader(body)))
					return a, nil
				}
				w, err := s.serve(context.Background(), "/m/x")
				if err != nil || w.Body.String() != body {
					t.Errorf("stream %d got other bytes than its own, or %v", n, err)
				}
			}
		})
	}
	running.Wait()
	NewWithT(t).Expect(t.Failed()).To(BeFalse())
}
