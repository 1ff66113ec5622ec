package twbooks_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// readersGone replays a peak after all prefill engines but one left: prompts of 5,000 tokens come at three times the
// speed of the one, and nine decode engines have room for the answers.
func readersGone(pauses bool) (w *world, asked int) {
	w = newWorld(1, 9)
	w.pauses = pauses
	for at := start; at.Before(start.Add(12 * time.Second)); at = at.Add(40 * time.Millisecond) {
		w.step(at)
		id := fmt.Sprintf("gone%04d", asked)
		prompts[id] = 5000
		w.lengths[id] = 800
		w.due[id] = at.Add(time.Second)
		w.books.Ask(at, ask(id, at, 5000, 800))
		w.decide()
		asked++
	}
	for range 40 {
		w.step(w.now.Add(100 * time.Millisecond))
	}
	return w, asked
}

// Two of three prefill engines leave at the peak. The decode engines have memory for twice the answers, and their streams
// hardly pause while they read. Callers were refused for a minute, one in three, because no engine could be known to bear
// it. The first trials show that streams do bear it, and then nearly all callers are served.
func TestDecodeEnginesReadWhenTheReadersAreGone(t *testing.T) {
	g := NewWithT(t)
	w, asked := readersGone(false)
	t.Logf("asked %d, on time %d, late %d, refused %d", asked, w.onTime, w.late, w.refused)
	g.Expect(w.onTime).To(BeNumerically(">", asked*4/5))
}

// The same with engines that read so much at once that each stream beside it pauses too long. A few trials show it; going
// on would make a stream late for each call that is served.
func TestEnginesWhoseStreamsPauseDoNotGoOnReading(t *testing.T) {
	g := NewWithT(t)
	w, asked := readersGone(true)
	t.Logf("asked %d, on time %d, late %d, refused %d, paused %d", asked, w.onTime, w.late, w.refused, len(w.paused))
	g.Expect(len(w.paused)).To(BeNumerically("<", asked/20))
}
