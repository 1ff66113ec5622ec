package twrelay_test

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// arrival is a number of events that arrive together, so long after the ones before.
type arrival struct {
	gapMillis time.Duration
	events    int
}

// repeated returns n arrivals of one event.
func repeated(n int, gapMillis time.Duration) []arrival {
	list := make([]arrival, n)
	for i := range list {
		list[i] = arrival{gapMillis, 1}
	}
	return list
}

// pacedAnswer is an answer whose events arrive as stated. It ends after them, or when stop is closed.
func pacedAnswer(arrivals []arrival, stop <-chan struct{}) *turmericwall.Answer {
	reader, writer := io.Pipe()
	go func() {
		sent := 0
		for _, v := range arrivals {
			select {
			case <-time.After(v.gapMillis * time.Millisecond):
			case <-stop:
				_ = writer.Close()
				return
			}
			_, _ = io.WriteString(writer, events(sent+1, sent+v.events))
			sent += v.events
		}
		_ = writer.Close()
	}()
	return &turmericwall.Answer{Status: 200, Length: -1, Header: map[string][]string{}, Body: reader}
}

// paceReports serves a call and returns the reports on its pace.
func paceReports(t *testing.T, arrivals []arrival) []turmericwall.PlacementUpdate {
	t.Helper()
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return pacedAnswer(arrivals, nil), nil
	}
	if _, err := s.serveWithin(context.Background(), "/m/x", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	var reports []turmericwall.PlacementUpdate
	for _, update := range s.placer.updates {
		if update.PaceTokens > 0 {
			reports = append(reports, update)
		}
	}
	return reports
}

// Guards against an engine that becomes slow under a stream and gets further calls until the stream's end, and against a
// report for each event.
func TestPaceNearTheLimitIsReportedTwiceASecond(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	reports := paceReports(t, append(repeated(6, 20), append(repeated(8, 150), repeated(6, 20)...)...))
	g.Expect(len(reports)).To(BeNumerically("~", 3, 1))
	g.Expect(reports[0].PaceTokens).To(Equal(150))
	g.Expect(reports[0].PaceMillis).To(BeNumerically(">", 250))
	g.Expect(reports[len(reports)-1].PaceMillis).To(BeNumerically("<", 270), "it is regained")
}

// Guards against reports while an engine keeps its pace, also where a lost packet delays some events by 200 ms.
func TestLateEventIsNoReportOfPace(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	g.Expect(paceReports(t, repeated(12, 40))).To(BeEmpty())
	lossy := append(repeated(5, 40), append([]arrival{{240, 6}}, repeated(5, 40)...)...)
	g.Expect(paceReports(t, lossy)).To(BeEmpty())
}

// Guards against streams that stay on an engine that has become too slow for them. The run must go on elsewhere as the
// same run, for the route allows one only.
func TestStreamLeavesAnEngineThatBecameSlow(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"), turmericwall.Placement{Decode: engine("d2", turmericwall.RoleDecode)})
	stop := make(chan struct{})
	s.upstreams.send = func(
		_ context.Context, to turmericwall.Upstream, call turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		if to.ID == "d1" {
			return pacedAnswer(append(repeated(3, 20), repeated(10, 280)...), stop), nil
		}
		return answer(200, events(int(call.ResumeAfter)+1, 20)), nil
	}
	s.upstreams.move = func(turmericwall.Upstream, turmericwall.Upstream) (turmericwall.EngineExport, bool, error) {
		close(stop)
		return turmericwall.EngineExport{Address: "d1:1", Handle: "m"}, true, nil
	}
	w, err := s.serveWithin(context.Background(), "/m/x", 5*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 20)))
	g.Expect(s.placer.lastRequest().SlowEngine).To(Equal("d1"))
	g.Expect(s.upstreams.sentTo()).To(Equal([]string{"d1", "d2"}))
	g.Expect(s.log.String()).To(MatchRegexp(`Run moved.*"cause":"slow"|"cause":"slow".*Run moved`))
}

// Guards against a stream that is broken off, or asks for ever, because no engine is better than its slow one.
func TestStreamStaysOnASlowEngineIfNoneIsBetter(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newModelFixture(splitPlacement("d1"))
	s.upstreams.send = func(
		context.Context, turmericwall.Upstream, turmericwall.OutgoingCall,
	) (*turmericwall.Answer, error) {
		return pacedAnswer(repeated(12, 280), nil), nil
	}
	w, err := s.serveWithin(context.Background(), "/r/x", 5*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Body.String()).To(Equal(events(1, 12)))
	g.Expect(len(s.placer.requests)).To(BeNumerically("~", 4, 1), "the first placement and some requests for a move")
}
