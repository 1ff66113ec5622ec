package twpauses_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twpauses"
)

var start = time.Unix(5000, 0)

func TestTrialsAreAwaitedWhileLittleIsKnown(t *testing.T) {
	g := NewWithT(t)
	p := twpauses.New()
	before := p.LateShare(start)
	g.Expect(before).To(BeNumerically("<", 0.5), "a trial beside a few streams is worth it")
	for i := range 4 {
		p.Watch(fmt.Sprint(i), start.Add(200*time.Millisecond))
	}
	g.Expect(p.LateShare(start.Add(100 * time.Millisecond))).To(Equal(1.0))
	g.Expect(p.LateShare(start.Add(time.Second))).To(BeNumerically("<", before), "the streams did not pause")
}

func TestStreamsThatPauseSpeakAgainstReadingBesideThem(t *testing.T) {
	g := NewWithT(t)
	p := twpauses.New()
	for i := range 4 {
		p.Watch(fmt.Sprint(i), start)
		p.Paused(fmt.Sprint(i))
	}
	g.Expect(p.LateShare(start)).To(BeNumerically(">", 0.4))
}

// Streams pause for other reasons too, by a lost packet for one. A pause beside which no prompt was read says nothing.
func TestAPauseOfAnUndisturbedStreamSaysNothing(t *testing.T) {
	g := NewWithT(t)
	p := twpauses.New()
	before := p.LateShare(start)
	p.Paused("other")
	g.Expect(p.LateShare(start)).To(Equal(before))
}

func TestAStreamThatEndedIsNotAwaited(t *testing.T) {
	g := NewWithT(t)
	p := twpauses.New()
	for i := range 4 {
		p.Watch(fmt.Sprint(i), start.Add(time.Hour))
		p.Ended(fmt.Sprint(i))
	}
	g.Expect(p.LateShare(start)).To(BeNumerically("<", 0.5))
}
