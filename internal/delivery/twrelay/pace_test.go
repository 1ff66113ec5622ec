package twrelay_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// pacedAnswer is an answer whose events arrive so many milliseconds apart; after a gap of -n, n events arrive together,
// 240 ms late. It ends after them, or when stop is closed.
func pacedAnswer(gaps []int, stop <-chan struct{}) *turmericwall.Answer {
	reader, writer := io.Pipe()
	go func() {
		defer func() { _ = writer.Close() }()
		sent := 0
		for _, gap := range gaps {
			count := 1
			if gap < 0 {
				gap, count = 240, -gap
			}
			select {
			case <-time.After(time.Duration(gap) * time.Millisecond):
			case <-stop:
				return
			}
			_, _ = io.WriteString(writer, events(sent+1, sent+count))
			sent += count
		}
	}()
	return &turmericwall.Answer{Status: 200, Length: -1, Header: map[string][]string{}, Body: reader}
}

// servePaced serves a call whose engine d1 sends events so far apart. A move to d2 succeeds if that is placed.
func servePaced(t *testing.T, gaps []int, places ...turmericwall.Placement) (*fixture, string) {
	t.Helper()
	s := newModelFixture(append([]turmericwall.Placement{splitPlacement("d1")}, places...)...)
	stop := make(chan struct{})
	s.upstreams.send = func(
		_ context.Context, to turmericwall.Upstream, call turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		if to.ID == "d1" {
			return pacedAnswer(gaps, stop), nil
		}
		return answer(200, events(int(call.ResumeAfter)+1, 20)), nil
	}
	s.upstreams.move = func(turmericwall.Upstream, turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		close(stop)
		return turmericwall.EngineExport{Address: "d1:1", Handle: "m"}, true, nil
	}
	w, err := s.serveWithin(context.Background(), "/m/x", 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	s.placer.updates = slices.DeleteFunc(s.placer.updates, func(u turmericwall.PlacementUpdate) bool {
		return u.PaceTokens == 0
	})
	return s, w.Body.String()
}

// Guards against an engine that becomes slow under a stream and gets further calls until the stream's end, and against a
// report for each event, on sound engines, or for a lost packet.
func TestPaceNearTheLimitIsReportedTwiceASecond(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, _ := servePaced(t, slices.Concat(slices.Repeat([]int{20}, 6), slices.Repeat([]int{150}, 8), slices.Repeat([]int{20}, 6)))
	reports := s.placer.updates
	g.Expect(len(reports)).To(BeNumerically("~", 3, 1))
	g.Expect(reports[0].PaceTokens).To(Equal(150))
	g.Expect(reports[0].PaceMillis).To(BeNumerically(">", 250))
	g.Expect(reports[len(reports)-1].PaceMillis).To(BeNumerically("<", 270), "it is regained")
	s, _ = servePaced(t, []int{40, 40, 40, 40, 40, -6, 40, 40, 40, 40, 40})
	g.Expect(s.placer.updates).To(BeEmpty())
}

// Guards against streams that stay on an engine that has become too slow for them. The run must go on elsewhere as the
// same run, for the route allows one only.
func TestStreamLeavesAnEngineThatBecameSlow(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, body := servePaced(t, append([]int{20, 20, 20}, slices.Repeat([]int{280}, 10)...),
		turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	g.Expect(body).To(Equal(events(1, 20)))
	g.Expect(s.placer.lastRequest().SlowEngine).To(Equal("d1"))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1", "d2"}))
	g.Expect(s.log.String()).To(ContainSubstring(`"cause":"slow"`))
}

// Guards against a stream that is broken off, or asks for ever, because no engine is better than its slow one.
func TestStreamStaysOnASlowEngineIfNoneIsBetter(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, body := servePaced(t, append([]int{20, 20}, slices.Repeat([]int{280}, 6)...))
	g.Expect(body).To(Equal(events(1, 8)))
	g.Expect(len(s.placer.requests)).To(BeNumerically("~", 3, 1), "the first placement and some requests for a move")
}
