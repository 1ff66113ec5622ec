package twevidence_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
	"github.com/turmericwall/turmericwall/internal/quarantine/twrunregistry"
)

const (
	modelDaemons, modelUpstreams = 4, 5
	// deadly is the request under which each upstream ends.
	deadly = "deadly"
)

// boundModel is a model of daemons before upstreams, one of which may lead. A caller repeats the deadly request at any of them.
type boundModel struct {
	t   *rapid.T
	now time.Time
	// ledgers has the evidence of each daemon, and registry the runs under way that the leader knows.
	ledgers  [modelDaemons]*twevidence.Ledger
	leader   int
	registry *twrunregistry.Registry
	// started and listed are the starts of the upstreams, and those that their entries state.
	started, listed [modelUpstreams]int64
	// row is what the store has, and snapshots what is still on its way between daemons.
	row       []turmericwall.UpstreamEnd
	snapshots [][]turmericwall.UpstreamEnd
	tries     int
	ends      int
}

func newBoundModel(t *rapid.T) *boundModel {
	w := &boundModel{t: t, now: start, registry: twrunregistry.New()}
	for d := range w.ledgers {
		w.ledgers[d] = twevidence.New()
	}
	for u := range w.started {
		w.started[u], w.listed[u] = 1, 1
	}
	return w
}

func (w *boundModel) draw(n int, label string) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

// input is the deadly request, or a sound one.
func (w *boundModel) input(name string) turmericwall.Input {
	return turmericwall.Input{Service: "s", Request: name}
}

// key returns the incarnation of an upstream by its entry.
func (w *boundModel) key(u int) turmericwall.UpstreamKey {
	return turmericwall.UpstreamKey{ID: fmt.Sprint("u", u), StartedMillis: w.listed[u]}
}

// try sends the deadly request to a daemon, which has it placed by the leader.
func (w *boundModel) try() {
	daemon, leader := w.draw(modelDaemons, "daemon"), w.ledgers[w.leader]
	input := w.input(deadly)
	if w.ledgers[daemon].Judge(w.now, input).Verdict == turmericwall.VerdictQuarantined ||
		leader.Judge(w.now, input).Verdict == turmericwall.VerdictQuarantined {
		return
	}
	w.tries++
	id, owner := fmt.Sprint("try", w.tries), fmt.Sprint("daemon", daemon)
	ends, _ := leader.Ends(input)
	run := twrunregistry.Run{Call: id, Owner: owner, Input: input}
	if !w.registry.Begin(w.now, id, run, max(twevidence.MaxEndsPerRequest-ends, 1)) {
		return
	}
	u := w.draw(modelUpstreams, "upstream")
	placedAt, key := w.now, w.key(u)
	w.registry.Place(placedAt, id, key)
	w.now = w.now.Add(30 * time.Millisecond)
	w.crash(u)
	w.ends++
	w.report(daemon, id, key, placedAt, turmericwall.EndResult(2*w.draw(2, "result")))
}

// report tells the leader how a run ended: with the evidence, with the end of its placement only, or not at all, as the daemon is
// killed or its messages are held up.
func (w *boundModel) report(daemon int, id string, key turmericwall.UpstreamKey, placedAt time.Time, result turmericwall.EndResult) {
	leader, input := w.ledgers[w.leader], w.input(deadly)
	fate := w.draw(4, "fate")
	if fate == 3 && daemon != w.leader {
		w.kill(daemon)
		return
	}
	w.ledgers[daemon].RecordEnd(w.now, key, placedAt, input, result)
	switch fate {
	case 0:
		w.exchange(daemon, w.leader)
		for other := range w.ledgers {
			if w.draw(2, "pushed") == 0 {
				w.exchange(w.leader, other)
			}
		}
	case 1:
		// The report is lost.
	default:
		w.snapshots = append(w.snapshots, w.ledgers[daemon].Export(w.now))
	}
	w.registry.End(w.now, id, w.now)
	leader.RecordEnd(w.now, key, placedAt, input, turmericwall.EndUnknown)
	w.row = leader.Export(w.now)
}

// crash ends an upstream, which starts again; its entry may lag.
func (w *boundModel) crash(u int) {
	w.started[u]++
	if w.draw(2, "entry lags") == 0 {
		w.listed[u] = w.started[u]
	}
}

// crashBeside ends an upstream without a cause, while it runs sound requests.
func (w *boundModel) crashBeside() {
	u, daemon := w.draw(modelUpstreams, "upstream"), w.draw(modelDaemons, "daemon")
	key, sentAt := w.key(u), w.now
	w.now = w.now.Add(10 * time.Millisecond)
	w.crash(u)
	for n := range 1 + w.draw(3, "requests") {
		w.ledgers[daemon].RecordEnd(w.now, key, sentAt, w.input(fmt.Sprint("sound", n)), turmericwall.EndProved)
	}
}

// kill ends a daemon, which starts again and reads the row. The runs that it served become open ends at the leader.
func (w *boundModel) kill(daemon int) {
	for _, run := range w.registry.TakeOwner(fmt.Sprint("daemon", daemon)) {
		for _, upstream := range run.Upstreams {
			w.ledgers[w.leader].RecordEnd(w.now, upstream, run.PlacedAt, run.Input, turmericwall.EndUnknown)
		}
	}
	w.row = w.ledgers[w.leader].Export(w.now)
	w.ledgers[daemon] = twevidence.New()
	w.ledgers[daemon].Merge(w.now, w.row)
}

// killLeader ends the leader between two runs. The next one gets the evidence of the others, and reads the row.
func (w *boundModel) killLeader() {
	former := w.leader
	w.leader = (former + 1) % modelDaemons
	w.registry = twrunregistry.New()
	w.ledgers[former] = twevidence.New()
	for other := range w.ledgers {
		w.exchange(other, w.leader)
	}
	w.ledgers[w.leader].Merge(w.now, w.row)
	w.ledgers[former].Merge(w.now, w.row)
}

// settle settles the leader's open ends by what a query finds: the incarnation, or the next one.
func (w *boundModel) settle() {
	leader := w.ledgers[w.leader]
	queriedAt := w.now.Add(time.Millisecond)
	for _, open := range leader.OpenEnds() {
		var u int
		_, _ = fmt.Sscanf(open.Upstream.ID, "u%d", &u)
		result := turmericwall.EndRefuted
		if open.Upstream.StartedMillis < w.started[u] {
			result = turmericwall.EndProved
		}
		leader.Settle(w.now, open.EndID, queriedAt, result)
	}
	w.row = leader.Export(w.now)
}

func (w *boundModel) exchange(from, to int) {
	w.ledgers[to].Merge(w.now, w.ledgers[from].Export(w.now))
}

// deliverLate delivers evidence that was on its way for a while.
func (w *boundModel) deliverLate() {
	if len(w.snapshots) > 0 {
		w.ledgers[w.draw(modelDaemons, "to")].Merge(w.now, w.snapshots[w.draw(len(w.snapshots), "late")])
	}
}

// Guards against a request that ends a fourth upstream, whatever is killed, lost or late.
func TestNoRequestEndsAFourthUpstreamInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newBoundModel(t)
		for range 60 {
			w.now = w.now.Add(time.Duration(1+w.draw(400, "millis")) * time.Millisecond)
			switch w.draw(10, "step") {
			case 0:
				w.killLeader()
			case 1:
				if daemon := w.draw(modelDaemons, "killed"); daemon != w.leader {
					w.kill(daemon)
				}
			case 2:
				w.crashBeside()
			case 3:
				w.settle()
			case 4:
				w.deliverLate()
			case 5:
				w.exchange(w.draw(modelDaemons, "from"), w.draw(modelDaemons, "to"))
			case 6:
				u := w.draw(modelUpstreams, "registered")
				w.listed[u] = w.started[u]
			default:
				w.try()
			}
			if w.ends > twevidence.MaxEndsPerRequest {
				t.Fatalf("%d upstreams ended under the request", w.ends)
			}
		}
	})
}
