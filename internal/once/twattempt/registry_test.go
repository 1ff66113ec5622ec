package twattempt_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/once/twattempt"
)

// Guards against an attempt that is sent after it was reported as sealed, and against one that is reported as sealed
// after it was sent. The attempt is sealed, sent, ended and queried in any order, as paused goroutines would resume.
func TestSealedAttemptIsNeverSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		r := twattempt.New("d:1")
		name := r.Begin()
		sealed, sent := false, false
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if r.MarkSent(name) {
					g.Expect(sealed).To(BeFalse(), "the attempt was sent although it is sealed")
					g.Expect(sent).To(BeFalse(), "the attempt was sent twice")
					sent = true
				}
			case 1:
				if r.Seal(name) {
					g.Expect(sent).To(BeFalse(), "the attempt was sealed although it was sent")
					sealed = true
				}
			case 2:
				if sent {
					r.End(name, turmericwall.AttemptDone)
				}
			default:
				g.Expect(r.State(name) == turmericwall.AttemptSealed).To(Equal(sealed))
			}
		}
	})
}

// Two goroutines race for the same attempt, one to send it and one to seal it. Exactly one of them wins.
func TestSealAndSendExcludeEachOther(t *testing.T) {
	g := NewWithT(t)
	r := twattempt.New("d:1")
	for range 2000 {
		name := r.Begin()
		sent, sealed := make(chan bool), make(chan bool)
		go func() { sent <- r.MarkSent(name) }()
		go func() { sealed <- r.Seal(name) }()
		g.Expect([]bool{<-sent, <-sealed}).To(ConsistOf(true, false))
	}
}

// An attempt of an earlier incarnation, or one whose state was evicted, is unknown: it is never reported as sealed.
func TestUnknownAttemptIsNotSealed(t *testing.T) {
	g := NewWithT(t)
	r := twattempt.New("d:2")
	g.Expect(r.State("d:1/c1")).To(Equal(turmericwall.AttemptUnknown))
	g.Expect(r.Seal("d:1/c1")).To(BeFalse())
	g.Expect(r.MarkSent("d:1/c1")).To(BeFalse())
}
