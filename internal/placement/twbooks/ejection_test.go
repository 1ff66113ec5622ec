package twbooks_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Load: forty calls a second for 6.5 seconds, of which two in twenty decode engines fail each at once. An engine that
// fails its calls at once is always the emptiest, and draws them all.
func TestEnginesThatFailAtOnceDrawFewCalls(t *testing.T) {
	g := NewWithT(t)
	b := books(5, 20)
	failing := map[string]bool{"d00": true, "d01": true}
	lost, served := 0, 0
	ends := make(map[time.Time][]turmericwall.PlacementEnd)
	for millis := 0; millis < 6500; millis += 25 {
		at := start.Add(time.Duration(millis) * time.Millisecond)
		for due, list := range ends {
			if due.After(at) {
				continue
			}
			for _, end := range list {
				b.News(at, end)
			}
			delete(ends, due)
		}
		id := fmt.Sprint("call", millis)
		b.Ask(at, ask(id, at, 2000, 300))
		for _, p := range b.Decide(at).Placed {
			end := turmericwall.PlacementEnd{ID: p.ID, PromptRead: true, PromptMillis: 40}
			if failing[p.Decode.ID] {
				lost++
				end.Failed = p.Decode.ID
				ends[at.Add(10*time.Millisecond)] = append(ends[at.Add(10*time.Millisecond)], end)
				continue
			}
			served++
			end.AnswerTokens, end.AnswerMillis = 300, 500
			ends[at.Add(500*time.Millisecond)] = append(ends[at.Add(500*time.Millisecond)], end)
		}
	}
	g.Expect(lost).To(BeNumerically("<=", 8), "at most four calls for each failing engine")
	g.Expect(lost).To(BeNumerically(">=", 2))
	g.Expect(served).To(BeNumerically(">=", 250))
}

// The network between daemons and engines fails for a moment; every engine is ejected and all calls are refused.
func TestMostEnginesStayInUseWhenAllFail(t *testing.T) {
	g := NewWithT(t)
	b := books(5, 20)
	for _, u := range engines(5, 20) {
		b.News(start, turmericwall.PlacementEnd{ID: "none", Failed: u.ID})
	}
	at := start.Add(100 * time.Millisecond)
	used := make(map[string]bool)
	for n := range 24 {
		b.Ask(at, ask(fmt.Sprint("call", n), at, 500, 300))
	}
	for _, p := range b.Decide(at).Placed {
		used[p.Decode.ID] = true
	}
	g.Expect(len(used)).To(BeNumerically(">=", 12))
}

// Exports lapse one after the other, and the only reader that can be on time is out for seconds.
func TestADoubtedEngineIsSoonUsedAgain(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 2)
	for millis := 0; millis < 2000; millis += 100 {
		b.News(start.Add(time.Duration(millis)*time.Millisecond), turmericwall.PlacementEnd{ID: "none", Doubted: "p00"})
	}
	at := start.Add(2500 * time.Millisecond)
	b.Ask(at, ask("call", at, 500, 300))
	placed := b.Decide(at).Placed
	g.Expect(placed).To(HaveLen(1))
	g.Expect(placed[0].Prefill.ID).To(Equal("p00"))
}
