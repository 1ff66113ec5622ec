package twinterference_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twinterference"
)

var start = time.Unix(5000, 0)

func TestTrialStreamsAreLimitedUntilEvaluated(t *testing.T) {
	g := NewWithT(t)
	interference := twinterference.New()
	before := interference.LateShare(start)
	g.Expect(before).To(BeNumerically("<", 0.5), "a trial beside a few streams is worth it")
	for i := range 4 {
		interference.Watch(fmt.Sprint(i), start.Add(200*time.Millisecond))
	}
	g.Expect(interference.LateShare(start.Add(100 * time.Millisecond))).To(Equal(1.0))
	g.Expect(interference.LateShare(start.Add(time.Second))).To(BeNumerically("<", before), "the streams did not pause")
}

func TestPausedStreamsRaiseLateShare(t *testing.T) {
	g := NewWithT(t)
	interference := twinterference.New()
	for i := range 4 {
		interference.Watch(fmt.Sprint(i), start)
		interference.RecordPause(fmt.Sprint(i))
	}
	g.Expect(interference.LateShare(start)).To(BeNumerically(">", 0.4))
}

// Guards against counting pauses with another cause, such as a lost packet, as an effect of prefills.
func TestPauseOfUnwatchedStreamIsIgnored(t *testing.T) {
	g := NewWithT(t)
	interference := twinterference.New()
	before := interference.LateShare(start)
	interference.RecordPause("other")
	g.Expect(interference.LateShare(start)).To(Equal(before))
}

func TestEndedStreamIsNotWatched(t *testing.T) {
	g := NewWithT(t)
	interference := twinterference.New()
	for i := range 4 {
		interference.Watch(fmt.Sprint(i), start.Add(time.Hour))
		interference.Unwatch(fmt.Sprint(i))
	}
	g.Expect(interference.LateShare(start)).To(BeNumerically("<", 0.5))
}
