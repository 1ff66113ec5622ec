package twpace_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twpace"
)

func at(millis int) time.Time { return time.UnixMilli(20_000_000 + int64(millis)) }

// tokenMillis is the time for a token of the simulated engines with so many runs.
func tokenMillis(runs int) float64 { return 0.8 + 0.1*float64(runs) }

var oneRun = twpace.Load{Runs: 1, MemoryTokens: 6000}

// run lets runs decode on an engine for 400 ms, so many times slower than a sound one does, and returns their ids.
func run(p *twpace.Pace, from int, engine string, runs int, factor float64) []string {
	var ids []string
	for i := range runs {
		ids = append(ids, fmt.Sprintf("%s-%d-%d", engine, from, i))
		p.Place(at(from), twpace.Run{ID: ids[i], Engine: engine, MemoryTokens: 6000})
		p.Begin(at(from), ids[i])
	}
	for _, id := range ids {
		tokens := int64(400 / tokenMillis(runs) / factor)
		p.Record(at(from+400), twpace.Report{Run: id, Tokens: tokens, Millis: 400, Total: true})
	}
	return ids
}

// end ends runs.
func end(p *twpace.Pace, millis int, ids []string) {
	for _, id := range ids {
		p.End(at(millis), id)
	}
}

// soundService returns a pace with sound engines e0 to e9 that have 1 to 10 runs since 0, and reported at 400.
func soundService() *twpace.Pace {
	p := twpace.New()
	for i := range 10 {
		run(p, 0, fmt.Sprint("e", i), i+1, 1)
	}
	return p
}

// Guards against a slow engine that gets calls until whole answers have ended there, and against an idle engine that is
// thought as slow as full ones: the time for a token follows from the other engines' loads.
func TestThreeReportsShowASlowEngine(t *testing.T) {
	g := NewWithT(t)
	p := soundService()
	millis, _ := p.TokenMillis(at(400), "new", oneRun, 10)
	g.Expect(millis).To(BeNumerically("~", tokenMillis(1), 0.1), "an engine without an estimate is as the others")
	run(p, 400, "slow", 3, 3)
	run(p, 400, "sound", 3, 1)
	g.Expect([]bool{p.IsSlow("slow"), p.IsSlow("sound")}).To(Equal([]bool{true, false}))
	millis, _ = p.TokenMillis(at(800), "slow", oneRun, 10)
	g.Expect(millis).To(BeNumerically("~", 3*tokenMillis(4), 0.7))
	g.Expect(p.CommonMillis(6, 36_000)).To(BeNumerically("~", tokenMillis(6), 0.2), "the slow one hardly counts")
}

// Guards against an engine that is blamed for a lost packet, which delays one stream by about 200 ms, or for the delay of
// one daemon; and against one that stops for all its streams and is not blamed.
func TestOneLateStreamBlamesNoEngine(t *testing.T) {
	g := NewWithT(t)
	p := soundService()
	ids := run(p, 400, "e", 5, 1)
	g.Expect(p.RecordGap(at(900), ids[0], 50, 300)).To(BeFalse())
	g.Expect(p.RecordGap(at(1000), ids[0], 50, 300)).To(BeFalse(), "the same stream")
	p.Record(at(1200), twpace.Report{Run: ids[0], Tokens: 100, Millis: 400})
	p.Record(at(1200), twpace.Report{Run: ids[1], Tokens: 100, Millis: 390, OwnDelayMillis: 250})
	run(p, 400, "lone", 1, 2)
	g.Expect([]bool{p.IsSlow("e"), p.IsSlow("lone")}).To(Equal([]bool{false, false}))
	for i, id := range run(p, 1200, "stopped", 3, 1) {
		p.RecordGap(at(1900+i), id, 50, 300)
	}
	g.Expect(p.IsSlow("stopped")).To(BeTrue())
}

// Guards against an engine that is left out for ever because nothing is measured there, and against many calls at once on
// one that may still be slow.
func TestSlowEngineIsTriedAgainByOneRunAtATime(t *testing.T) {
	g := NewWithT(t)
	p := soundService()
	keeps := func(millis int) bool {
		_, keeps := p.TokenMillis(at(millis), "e", oneRun, 2)
		return keeps
	}
	end(p, 800, run(p, 400, "e", 4, 4))
	var waits []int
	now := 800
	for _, factor := range []float64{4, 4, 1, 1, 1} {
		began := now
		for !keeps(now) {
			now += 100
		}
		waits = append(waits, now-began)
		trial := run(p, now, "e", 1, factor)
		if p.IsSlow("e") {
			g.Expect(keeps(now)).To(BeFalse(), "one run at a time")
		}
		now += 400
		end(p, now, trial)
	}
	g.Expect(waits[0]).To(BeNumerically("~", 3000, 1500))
	g.Expect(waits[2]).To(BeNumerically(">", waits[1]), "trials become rarer")
	g.Expect(p.IsSlow("e")).To(BeFalse(), "recovered")
}

// Guards against estimates that are wrong after reports were lost, came late, or came after the end of their run.
func TestLateAndLostReports(t *testing.T) {
	g := NewWithT(t)
	p := soundService()
	ids := run(p, 400, "e", 4, 1)
	end(p, 800, ids[:1])
	late := twpace.Report{Tokens: 10, Millis: 400}
	for _, id := range []string{"unknown", ids[0]} {
		late.Run = id
		g.Expect(p.Record(at(900), late)).To(BeFalse())
	}
	again := twpace.Report{Run: ids[1], Tokens: int64(400 / tokenMillis(4)), Millis: 400, Total: true}
	g.Expect(p.Record(at(900), again)).To(BeFalse(), "twice")
	g.Expect(p.IsSlow("e")).To(BeFalse())
	run(p, 900, "slow", 4, 4)
	g.Expect(p.Factor(at(60_000), "slow")).To(BeNumerically("~", 1, 0.01), "without reports it tends to the common pace")
}

// Guards against a new leader that fills slow engines because it knows no pace: the daemons' placed calls have it. What it
// estimated itself as a daemon must not count.
func TestNewLeaderHasTheEstimatesOfTheDaemonsReports(t *testing.T) {
	for _, daemons := range []int{6, 82, 986} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			g := NewWithT(t)
			engines := max(6, 2*daemons/5)
			p := twpace.New()
			end(p, 400, run(p, 0, "e0", 2, 4))
			p.Restart()
			for i := range 4 * daemons {
				engine, factor := i%engines, 1.0
				if engine%3 == 1 {
					factor = 3
				}
				id := fmt.Sprint(i)
				p.Place(at(1000), twpace.Run{
					ID: id, Engine: fmt.Sprint("e", engine), MemoryTokens: 6000,
					Tokens: int64(300 / tokenMillis(4*daemons/engines) / factor), Millis: 300, AgeMillis: int64(i % 900),
				})
				p.Begin(at(1000), id)
			}
			g.Expect(p.Settle(at(1200))).To(HaveLen((engines + 1) / 3))
			for engine := range engines {
				g.Expect(p.IsSlow(fmt.Sprint("e", engine))).To(Equal(engine%3 == 1), "engine %d", engine)
			}
		})
	}
}
