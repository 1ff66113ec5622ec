package twrunend_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

type runState int

const (
	runQueued runState = iota
	runWorks
	runPreempted
	runOver
)

type processState int

const (
	processUp processState = iota
	processPortClosed
	processStandsStill
	processDead
	processReplaced
)

type connectionState int

const (
	connectionNone connectionState = iota
	connectionOpen
	connectionEnded
)

// world is an engine with one run of the call, another run of it if shared is set, and the daemon's connections to it.
type world struct {
	run, other runState
	process    processState
	// own is the connection of the run, busy and second those of other calls, and idle one without a call.
	own, busy, second, idle connectionState
	// busyEndedAlone and secondEndedAlone are set if those connections ended at another moment than the own one.
	busyEndedAlone, secondEndedAlone, leaving bool
}

// mayWork reports whether a run of the call works now, or may work later.
func (w world) mayWork() bool {
	return w.process != processDead && w.process != processReplaced && (w.run != runOver || w.other != runOver)
}

// next returns the worlds after one more event.
func (w world) next() map[string]world {
	after := make(map[string]world)
	add := func(name string, may bool, change func(n *world)) {
		if may {
			n := w
			change(&n)
			after[name] = n
		}
	}
	works := w.process == processUp || w.process == processPortClosed
	add("begin", works && w.run == runQueued, func(n *world) { n.run = runWorks })
	add("preempt", works && w.run == runWorks, func(n *world) { n.run = runPreempted })
	add("read in again", works && w.run == runPreempted, func(n *world) { n.run = runWorks })
	add("end the run", works && w.run == runWorks, func(n *world) { n.run = runOver })
	add("preempt the other", works && w.other == runWorks, func(n *world) { n.other = runPreempted })
	add("end the other", works && w.other == runWorks, func(n *world) { n.other = runOver })
	add("lose the answer", w.own == connectionOpen, func(n *world) { n.own = connectionEnded })
	add("lose another answer", w.busy == connectionOpen, func(n *world) { n.busy, n.busyEndedAlone = connectionEnded, true })
	add("lose the second answer", w.second == connectionOpen, func(n *world) { n.second, n.secondEndedAlone = connectionEnded, true })
	add("lose two answers at once", w.own == connectionOpen && w.busy == connectionOpen, func(n *world) {
		n.own, n.busy = connectionEnded, connectionEnded
	})
	add("lose all answers at once", w.own == connectionOpen, func(n *world) {
		n.own = connectionEnded
		for _, c := range []*connectionState{&n.busy, &n.second} {
			if *c == connectionOpen {
				*c = connectionEnded
			}
		}
	})
	add("announce", works, func(n *world) { n.leaving = true })
	add("close the port", w.process == processUp, func(n *world) {
		n.process = processPortClosed
	})
	add("close the port in order", w.process == processUp, func(n *world) {
		n.process = processPortClosed
		if n.idle == connectionOpen {
			n.idle = connectionEnded
		}
	})
	add("open the port", w.process == processPortClosed, func(n *world) { n.process = processUp })
	add("stand still", w.process == processUp, func(n *world) { n.process = processStandsStill })
	add("go on", w.process == processStandsStill, func(n *world) { n.process = processUp })
	add("crash", w.process != processDead && w.process != processReplaced, func(n *world) {
		// Connections that end later than the run's one say nothing about it.
		n.busyEndedAlone = n.busyEndedAlone || (n.busy == connectionOpen && n.own == connectionEnded)
		n.secondEndedAlone = n.secondEndedAlone || (n.second == connectionOpen && n.own == connectionEnded)
		n.process, n.own = processDead, connectionEnded
		for _, c := range []*connectionState{&n.busy, &n.second, &n.idle} {
			if *c == connectionOpen {
				*c = connectionEnded
			}
		}
	})
	add("start again", w.process == processDead, func(n *world) { n.process = processReplaced })
	return after
}

// facts returns what a daemon learns that asks for the end now, at most.
func (w world) facts() twrunend.Facts {
	facts := twrunend.Facts{Shared: w.other != runOver}
	switch w.process {
	case processUp:
		facts.Order = twrunend.OrderAbsent
		if w.run == runWorks || w.other == runWorks {
			facts.Order = twrunend.OrderStopped
		}
	case processReplaced:
		facts.Replaced = true
	}
	return facts
}

// stopped returns the world after the engine has carried the order out.
func (w world) stopped() world {
	if w.process == processUp && w.run == runWorks {
		w.run = runOver
	} else if w.process == processUp && w.other == runWorks {
		w.other = runOver
	}
	return w
}

// Guards against a series of events after which a run counts as ended and works on.
func TestNoSeriesOfEventsEndsARunThatMayWorkOn(t *testing.T) {
	var begins []world
	for _, other := range []runState{runWorks, runOver} {
		for _, busy := range []connectionState{connectionNone, connectionOpen} {
			for _, idle := range []connectionState{connectionNone, connectionOpen} {
				for _, second := range []connectionState{connectionNone, connectionOpen} {
					begins = append(begins, world{other: other, own: connectionOpen, busy: busy, second: second, idle: idle})
				}
			}
		}
	}
	seen, proofs := make(map[world]bool), make(map[twrunend.Proof]int)
	var search func(w world, series string)
	search = func(w world, series string) {
		if seen[w] {
			return
		}
		seen[w] = true
		if w.own == connectionEnded {
			proof := w.facts().Proof()
			proofs[proof]++
			NewWithT(t).Expect(proof != "" && w.stopped().mayWork()).To(BeFalse(), "%s: %s, %+v", series, proof, w)
		}
		for name, after := range w.next() {
			search(after, series+", "+name)
		}
	}
	for _, w := range begins {
		search(w, fmt.Sprintf("%+v", w))
	}
	NewWithT(t).Expect(proofs).To(And(HaveKey(twrunend.ProofStopped), HaveKey(twrunend.ProofReplaced)))
	t.Logf("%d worlds, %v", len(seen), proofs)
}
