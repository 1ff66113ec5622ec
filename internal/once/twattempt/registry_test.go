package twattempt_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/once/twattempt"
)

// Attempts are sealed, sent, ended and asked after in any order, as goroutines that were paused wake up.
// Once somebody was told that an attempt is sealed it is never sent, and once it was sent nobody is told
// that it is sealed.
func TestSealedIsNeverSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		r := twattempt.New("d:1")
		name := r.Begin()
		sealed, sent := false, false
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if r.Send(name) {
					g.Expect(sealed).To(BeFalse(), "sent although sealed")
					g.Expect(sent).To(BeFalse(), "sent twice")
					sent = true
				}
			case 1:
				if r.Seal(name) {
					g.Expect(sent).To(BeFalse(), "sealed although sent")
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

// Two goroutines reach the same attempt at once, one to send and one to seal. Exactly one of them wins.
func TestSealAndSendExcludeEachOther(t *testing.T) {
	g := NewWithT(t)
	r := twattempt.New("d:1")
	for range 2000 {
		name := r.Begin()
		sent, sealed := make(chan bool), make(chan bool)
		go func() { sent <- r.Send(name) }()
		go func() { sealed <- r.Seal(name) }()
		g.Expect([]bool{<-sent, <-sealed}).To(ConsistOf(true, false))
	}
}

// An attempt of another start of the daemon, or one that was forgotten, is unknown: never sealed.
func TestUnknownAttemptIsNotSealed(t *testing.T) {
	g := NewWithT(t)
	r := twattempt.New("d:2")
	g.Expect(r.State("d:1/c1")).To(Equal(turmericwall.AttemptUnknown))
	g.Expect(r.Seal("d:1/c1")).To(BeFalse())
	g.Expect(r.Send("d:1/c1")).To(BeFalse())
}
