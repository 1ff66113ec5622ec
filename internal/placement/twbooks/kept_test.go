package twbooks_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twbooks"
)

// callersCutOff are books of engines that answer so many callers, whose daemon is then killed. Their first events came
// at start.
func callersCutOff(g *WithT, callers int) *twbooks.Books {
	b := books(1, 4)
	for i := range callers {
		call := ask(fmt.Sprint("c", i), start, 5000, 2000)
		call.Owner = "killed"
		b.Ask(start, call)
		g.Expect(b.Decide(start).Placed).To(HaveLen(1))
		b.News(start, turmericwall.PlacementEnd{ID: call.ID, Running: true, PromptRead: true, PromptMillis: 100})
	}
	b.Forget("killed")
	return b
}

// back is the call of a caller that comes back after a second with a new id.
func back(i int, at time.Time) turmericwall.PlaceAsk {
	again := ask(fmt.Sprint("again", i), at, 5000, 2000)
	again.Work.Subject, again.CallerDeadline = fmt.Sprint("c", i), start.Add(13*time.Second)
	return again
}

// A daemon is killed, and its eight callers come back through others within a moment. Their prompts were read, and their
// engines keep them. Queued before the one prefill engine again, the last of them would wait for a second, and a fresh
// caller behind them too.
func TestCallersThatComeBackAreAnsweredWhereTheirPromptIsKept(t *testing.T) {
	g := NewWithT(t)
	b := callersCutOff(g, 8)
	at := start.Add(500 * time.Millisecond)
	for i := range 8 {
		b.Ask(at, back(i, at))
	}
	b.Ask(at, ask("fresh", at, 5000, 2000))
	d := b.Decide(at)
	g.Expect(d.Placed).To(HaveLen(9))
	for _, p := range d.Placed {
		if p.ID == "fresh" {
			g.Expect(p.Prefill.ID).To(Equal("p00"))
			continue
		}
		g.Expect(p.Prefill.ID).To(BeEmpty())
		g.Expect(p.ReadDeadline.Sub(at)).To(BeNumerically("<", 50*time.Millisecond))
	}
}

// The engine crashed and started again under its id. It keeps nothing of before.
func TestARestartedEngineKeepsNothing(t *testing.T) {
	g := NewWithT(t)
	b := callersCutOff(g, 1)
	list := engines(1, 4)
	for i := range list {
		list[i].StartedMillis = 7
	}
	b.List(start, list)
	at := start.Add(500 * time.Millisecond)
	b.Ask(at, back(0, at))
	g.Expect(b.Decide(at).Placed[0].Prefill.ID).To(Equal("p00"))
}

// Engines that are full throw kept prompts out for the next run. Callers that come back are sent there a few times, wait
// for the whole prompt beside other streams, and after that go by the engines that read.
func TestEnginesThatForgetPromptsAreNotReliedOn(t *testing.T) {
	g := NewWithT(t)
	b := callersCutOff(g, 8)
	at := start.Add(500 * time.Millisecond)
	read := 0
	for i := range 8 {
		b.Ask(at, back(i, at))
		placed := b.Decide(at).Placed
		g.Expect(placed).To(HaveLen(1))
		if placed[0].Prefill.ID != "" {
			read++
		}
		b.News(at, turmericwall.PlacementEnd{ID: placed[0].ID, Running: true, PromptRead: true, PromptMillis: 240})
		b.News(at, turmericwall.PlacementEnd{ID: placed[0].ID})
		at = at.Add(300 * time.Millisecond)
	}
	g.Expect(read).To(BeNumerically(">=", 4))
	at = at.Add(11 * time.Second)
	b.Keeps(at, turmericwall.UpstreamKey{ID: "d00"}, []turmericwall.KeptPrompt{{Subject: "later", Tokens: 4900}})
	again := ask("later", at, 5000, 2000)
	b.Ask(at, again)
	g.Expect(b.Decide(at).Placed[0].Prefill.ID).To(BeEmpty(), "tried again: the load may have gone")
}

// All daemons lose power. The new leader knows no caller, but its engines told what they keep: callers that come back are
// answered there, as if it had placed them before.
func TestANewLeaderPlacesByWhatEnginesKeep(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 4)
	b.Keeps(start, turmericwall.UpstreamKey{ID: "d02"}, []turmericwall.KeptPrompt{{Subject: "c0", Tokens: 4900}})
	b.Keeps(start, turmericwall.UpstreamKey{ID: "gone"}, []turmericwall.KeptPrompt{{Subject: "c1", Tokens: 4900}})
	at := start.Add(200 * time.Millisecond)
	b.Ask(at, back(0, at))
	b.Ask(at, back(1, at))
	d := b.Decide(at)
	g.Expect(d.Placed).To(HaveLen(2))
	places := map[string]turmericwall.Placement{d.Placed[0].ID: d.Placed[0], d.Placed[1].ID: d.Placed[1]}
	g.Expect(places["again0"].Decode.ID).To(Equal("d02"))
	g.Expect(places["again0"].Prefill.ID).To(BeEmpty())
	g.Expect(places["again1"].Prefill.ID).To(Equal("p00"))
}

// An engine told that it keeps a prompt. Since then it was given more calls than it has memory for, and has thrown the
// prompt out. Placed there, the caller would wait for a prompt read beside the others' streams.
func TestAPromptThatWasSurelyThrownOutIsReadElsewhere(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 1)
	b.Keeps(start, turmericwall.UpstreamKey{ID: "d00"}, []turmericwall.KeptPrompt{{Subject: "c0", Tokens: 4900}})
	at := start
	for i := range 12 {
		call := ask(fmt.Sprint("other", i), at, 8000, 1000)
		b.Ask(at, call)
		g.Expect(b.Decide(at).Placed).To(HaveLen(1))
		b.News(at, turmericwall.PlacementEnd{ID: call.ID, Running: true, PromptRead: true, PromptMillis: 100})
		at = at.Add(300 * time.Millisecond)
		b.News(at, turmericwall.PlacementEnd{ID: call.ID})
	}
	b.Ask(at, back(0, at))
	d := b.Decide(at)
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].Prefill.ID).To(Equal("p00"))
}
