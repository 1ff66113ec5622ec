package twbooks_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// overload asks for calls at forty a second from one engine that reads eight, over the span, and returns the moment after.
func overload(w *world, span time.Duration) time.Time {
	at := start
	for n := 0; at.Before(start.Add(span)); n++ {
		w.step(at)
		id := fmt.Sprint("over", n)
		prompts[id] = 5000
		w.lengths[id] = 300
		w.due[id] = at.Add(time.Second)
		w.books.Ask(at, ask(id, at, 5000, 300))
		w.decide()
		at = at.Add(25 * time.Millisecond)
	}
	return at
}

// Engines that read are missing, and the others have room. An engine that changes is away for longer than a burst lasts,
// so only a shortage that lasts for two seconds counts.
func TestReadersAreShortOnlyWhenThatLasts(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 9)
	w.pauses = true
	at := overload(w, 1500*time.Millisecond)
	g.Expect(w.books.Need(at).Readers.Short).To(BeFalse(), "a burst")
	w = newWorld(1, 9)
	w.pauses = true
	at = overload(w, 5*time.Second)
	need := w.books.Need(at)
	g.Expect(need.Readers).To(Equal(turmericwall.RoleNeed{Short: true}))
	g.Expect(need.Answerers).To(Equal(turmericwall.RoleNeed{Spare: true}))
	g.Expect(need.Known).To(BeTrue())
	g.Expect(w.books.Need(at.Add(16*time.Second)).Readers).To(Equal(turmericwall.RoleNeed{Spare: true}), "long over")
}

// The engines' memory is full at the peak, and prompts wait for it. None of those that answer can be spared, also shortly
// after: bursts come again.
func TestEnginesThatAnswerAreNotSpareAroundAPeak(t *testing.T) {
	g := NewWithT(t)
	b := books(6, 1)
	at := start
	for i := range 60 {
		b.Ask(at, ask(fmt.Sprint("peak", i), at, 8000, 4000))
		b.Decide(at)
		at = at.Add(50 * time.Millisecond)
	}
	g.Expect(b.Need(at).Answerers).To(Equal(turmericwall.RoleNeed{Short: true}))
	g.Expect(b.Need(at.Add(10 * time.Second)).Answerers.Spare).To(BeFalse())
}
