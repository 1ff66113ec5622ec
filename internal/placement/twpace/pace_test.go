package twpace_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twpace"
)

var start = time.Unix(20_000, 0)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// tokenMillis is the time for a token of the simulated engines with so many runs.
func tokenMillis(runs int) float64 { return 0.8 + 0.1*float64(runs) }

// begin starts runs on an engine and returns their ids.
func begin(p *twpace.Pace, now time.Time, engine string, runs int) []string {
	var ids []string
	for i := range runs {
		id := fmt.Sprintf("%s-%d-%d", engine, now.UnixMilli(), i)
		p.Place(now, twpace.Run{ID: id, Engine: engine, MemoryTokens: 6000})
		p.Begin(now, id)
		ids = append(ids, id)
	}
	return ids
}

// report reports that each run has generated tokens in the span since the last report.
func report(p *twpace.Pace, now time.Time, ids []string, spanMillis, factor float64) {
	for _, id := range ids {
		p.Record(now, twpace.Report{
			Run: id, Tokens: int64(spanMillis / tokenMillis(len(ids)) / factor), Millis: int64(spanMillis), Total: true,
		})
	}
}

// soundService returns a pace with sound engines e0 to e9 that have 1 to 10 runs.
func soundService() *twpace.Pace {
	p := twpace.New()
	for i := range 10 {
		ids := begin(p, start, fmt.Sprint("e", i), i+1)
		report(p, at(400), ids, 400, 1)
	}
	return p
}

// Guards against a slow engine that gets calls until whole answers have ended there, and against an idle engine that is
// thought as slow as full ones: the time for a token follows from the other engines' loads.
func TestThreeReportsShowASlowEngine(t *testing.T) {
	g := NewWithT(t)
	p := soundService()
	millis, _ := p.TokenMillis(at(400), "new", twpace.Load{Runs: 1, MemoryTokens: 6000}, 10)
	g.Expect(millis).To(BeNumerically("~", tokenMillis(1), 0.1), "an engine without an estimate is as the others")
	for id, factor := range map[string]float64{"slow": 3, "sound": 1} {
		report(p, at(800), begin(p, at(400), id, 6), 400, factor)
	}
	g.Expect(p.IsSlow("slow")).To(BeTrue())
	g.Expect(p.IsSlow("sound")).To(BeFalse())
	millis, _ = p.TokenMillis(at(800), "slow", twpace.Load{Runs: 1, MemoryTokens: 6000}, 10)
	g.Expect(millis).To(BeNumerically("~", 3*tokenMillis(7), 0.7))
	g.Expect(p.CommonMillis(6, 36_000)).To(BeNumerically("~", tokenMillis(6), 0.2), "the slow one hardly counts")
}

// Guards against an engine that is blamed for one lost packet, which delays the events of one stream by about 200 ms, or
// for the delay of one daemon.
func TestOneLateStreamBlamesNoEngine(t *testing.T) {
	g := NewWithT(t)
	p := soundService()
	ids := begin(p, at(400), "e", 5)
	report(p, at(800), ids[1:], 400, 1)
	g.Expect(p.RecordGap(at(800), ids[0], 50, 300)).To(BeFalse())
	g.Expect(p.RecordGap(at(900), ids[0], 50, 300)).To(BeFalse(), "the same stream")
	p.Record(at(900), twpace.Report{Run: ids[0], Tokens: 100, Millis: 400})
	p.Record(at(900), twpace.Report{Run: ids[1], Tokens: 100, Millis: 390, OwnDelayMillis: 250})
	g.Expect(p.IsSlow("e")).To(BeFalse())
	lone := begin(p, at(900), "lone", 1)
	p.Record(at(1300), twpace.Report{Run: lone[0], Tokens: 220, Millis: 400})
	g.Expect(p.IsSlow("lone")).To(BeFalse(), "200 of 400 ms were lost")
}

// Guards against an engine that stops for all its streams and is not noticed before their next events.
func TestGapsOfTwoStreamsBlameTheEngine(t *testing.T) {
	g := NewWithT(t)
	p := soundService()
	ids := begin(p, at(400), "e", 3)
	for i, id := range ids {
		p.RecordGap(at(800+i), id, 50, 300)
	}
	g.Expect(p.IsSlow("e")).To(BeTrue())
}

// Guards against an engine that is left out for ever because nothing is measured there, and against many calls at once on
// one that may still be slow.
func TestSlowEngineIsTriedAgainByOneRunAtATime(t *testing.T) {
	g := NewWithT(t)
	const limit = 2.0
	load := twpace.Load{Runs: 1, MemoryTokens: 6000}
	p := soundService()
	ids := begin(p, at(400), "e", 4)
	report(p, at(800), ids, 400, 4)
	for _, id := range ids {
		p.End(at(800), id)
	}
	keepsAt := func(millis int) bool {
		_, keeps := p.TokenMillis(at(millis), "e", load, limit)
		return keeps
	}
	firstTrial := 800
	for !keepsAt(firstTrial) {
		firstTrial += 100
	}
	g.Expect(firstTrial).To(BeNumerically("~", 4300, 1500))
	trial := begin(p, at(firstTrial), "e", 1)
	g.Expect(keepsAt(firstTrial)).To(BeFalse(), "one run at a time")
	report(p, at(firstTrial+400), trial, 400, 4)
	p.End(at(firstTrial+400), trial[0])
	secondTrial := firstTrial + 400
	for !keepsAt(secondTrial) {
		secondTrial += 100
	}
	for range 3 {
		trial = begin(p, at(secondTrial), "e", 1)
		secondTrial += 400
		report(p, at(secondTrial), trial, 400, 1)
		p.End(at(secondTrial), trial[0])
	}
	g.Expect(p.IsSlow("e")).To(BeFalse(), "recovered")
	_, keeps := p.TokenMillis(at(secondTrial), "e", twpace.Load{Runs: 4, MemoryTokens: 24_000}, limit)
	g.Expect(keeps).To(BeTrue())
}

// Guards against estimates that are wrong after reports were lost, came late, or came after the end of their run.
func TestLateAndLostReports(t *testing.T) {
	g := NewWithT(t)
	p := soundService()
	ids := begin(p, at(400), "e", 4)
	g.Expect(p.Record(at(800), twpace.Report{Run: "unknown", Tokens: 10, Millis: 400})).To(BeFalse())
	p.End(at(800), ids[0])
	g.Expect(p.Record(at(900), twpace.Report{Run: ids[0], Tokens: 10, Millis: 400})).To(BeFalse(), "after its end")
	g.Expect(p.Record(at(900), twpace.Report{Run: ids[1], Tokens: 10, Millis: 0})).To(BeFalse())
	p.Record(at(900), twpace.Report{Run: ids[1], Tokens: 400, Millis: 480, Total: true})
	g.Expect(p.Record(at(900), twpace.Report{Run: ids[1], Tokens: 400, Millis: 480, Total: true})).To(BeFalse(), "twice")
	g.Expect(p.IsSlow("e")).To(BeFalse())
	g.Expect(p.Factor(at(900+60_000), "e")).To(BeNumerically("~", 1, 0.01), "without reports it tends to the common pace")
}

// Guards against a new leader that fills slow engines because it knows no pace: the daemons' placed calls have it. The
// daemons' reports arrive in any order, and their own estimates as non-leaders must not count.
func TestNewLeaderHasTheEstimatesOfTheDaemonsReports(t *testing.T) {
	for _, daemons := range []int{6, 82, 986} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			g := NewWithT(t)
			engines := max(6, 2*daemons/5)
			p := twpace.New()
			for i, id := range begin(p, start, "e0", 2) {
				p.Record(at(400+i), twpace.Report{Run: id, Tokens: 10, Millis: 400})
			}
			p.Restart()
			for i := range 4 * daemons {
				engine := i % engines
				factor := 1.0
				if engine%3 == 1 {
					factor = 3
				}
				run := twpace.Run{
					ID: fmt.Sprint(i), Engine: fmt.Sprint("e", engine), MemoryTokens: 6000,
					Tokens: int64(300 / tokenMillis(4*daemons/engines) / factor), Millis: 300, AgeMillis: int64(i % 900),
				}
				p.Place(at(1000), run)
				p.Begin(at(1000), run.ID)
			}
			slow := p.Settle(at(1200))
			for engine := range engines {
				g.Expect(p.IsSlow(fmt.Sprint("e", engine))).To(Equal(engine%3 == 1), "engine %d", engine)
			}
			g.Expect(slow).To(HaveLen((engines + 1) / 3))
		})
	}
}
