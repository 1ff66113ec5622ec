package twevidence_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
)

var start = time.Unix(1_000, 0)

func engine(n int) turmericwall.UpstreamKey {
	return turmericwall.UpstreamKey{ID: fmt.Sprint("e", n), StartedMillis: 1}
}

func request(name string) turmericwall.Input {
	return turmericwall.Input{Service: "s", Request: name}
}

func TestThirdEndQuarantinesARequest(t *testing.T) {
	g := NewWithT(t)
	l := twevidence.New()
	g.Expect(l.Judge(start, request("r")).Verdict).To(Equal(turmericwall.VerdictClear))
	l.RecordEnd(start, engine(0), start, request("r"), turmericwall.EndProved)
	l.RecordEnd(start.Add(5*time.Second), engine(0), start.Add(-time.Second), request("r"), turmericwall.EndProved)
	g.Expect(l.Judge(start, request("r"))).To(HaveField("Ends", 1), "a daemon that was suspended notices the same end later")
	g.Expect(l.Judge(start, request("r")).Verdict).To(Equal(turmericwall.VerdictSuspect))
	l.RecordEnd(start.Add(2*time.Second), engine(0), start.Add(time.Second), request("r"), turmericwall.EndProved)
	g.Expect(l.Judge(start, request("r"))).To(HaveField("Ends", 2), "the engine started again, which its entry doesn't state yet")
	l.RecordEnd(start.Add(3*time.Second), engine(1), start, request("r"), turmericwall.EndProved)
	g.Expect(l.Judge(start, request("r")).Verdict).To(Equal(turmericwall.VerdictQuarantined))
	g.Expect(l.Judge(start, request("other")).Verdict).To(Equal(turmericwall.VerdictClear))
	g.Expect(l.Judge(start, turmericwall.Input{Service: "t", Request: "r"}).Verdict).To(Equal(turmericwall.VerdictClear))
}

// Guards against a sound request that is refused for ends of engines under earlier tries that it has nothing to do with.
func TestAnswerClearsARequest(t *testing.T) {
	g := NewWithT(t)
	l := twevidence.New()
	for n := range 3 {
		l.RecordEnd(start.Add(time.Duration(n)*time.Second), engine(n), start, request("r"), turmericwall.EndProved)
	}
	l.RecordAnswer(start.Add(5*time.Second), request("r"))
	g.Expect(l.Judge(start, request("r")).Verdict).To(Equal(turmericwall.VerdictClear))
}

func TestQuarantineLastsWhileItIsAskedFor(t *testing.T) {
	g := NewWithT(t)
	l := twevidence.New()
	for n := range 3 {
		l.RecordEnd(start, engine(n), start, request("r"), turmericwall.EndProved)
	}
	for minutes := 0; minutes <= 60; minutes += 9 {
		now := start.Add(time.Duration(minutes) * time.Minute)
		l.Expire(now)
		g.Expect(l.Judge(now, request("r")).Verdict).To(Equal(turmericwall.VerdictQuarantined), "after %d minutes", minutes)
	}
	l.Expire(start.Add(74 * time.Minute))
	g.Expect(l.IsEmpty()).To(BeTrue())
}

// Guards against a ledger that grows with the ends of engines, and against one whose quarantine ends in a series of them.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := twevidence.New()
	for n := range 3 {
		l.RecordEnd(start, engine(n), start, request("r"), turmericwall.EndProved)
	}
	for n := range 10_000 {
		l.RecordEnd(start.Add(time.Duration(n)*time.Millisecond), engine(10+n/100), start, request(fmt.Sprint("sound", n)), turmericwall.EndProved)
	}
	ends := l.Export(start)
	g.Expect(len(ends)).To(BeNumerically("<=", 64))
	for _, e := range ends {
		g.Expect(len(e.Inputs)).To(BeNumerically("<=", 32))
	}
	g.Expect(l.Judge(start, request("r")).Verdict).To(Equal(turmericwall.VerdictQuarantined))
}

// Guards against daemons that judge otherwise because they learnt of the ends in another order, or twice.
func TestDaemonsThatKnowTheSameJudgeAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*twevidence.Ledger{twevidence.New(), twevidence.New(), twevidence.New()}
		now := start
		names := []string{"a", "b", "c"}
		daemon, name := rapid.IntRange(0, 2), rapid.SampledFrom(names)
		// What daemons send may arrive seconds later, as one of them may be suspended.
		late := func() time.Time {
			return now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * time.Millisecond)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond)
			l := ledgers[daemon.Draw(t, "daemon")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				l.RecordEnd(now, engine(rapid.IntRange(0, 5).Draw(t, "engine")), start, request(name.Draw(t, "request")), turmericwall.EndProved)
			case 2:
				l.RecordAnswer(now, request(name.Draw(t, "request")))
			default:
				l.Merge(late(), ledgers[daemon.Draw(t, "from")].Export(now))
			}
		}
		for range 2 {
			for _, from := range ledgers {
				for _, to := range ledgers {
					to.Merge(now, from.Export(now))
				}
			}
		}
		for _, name := range names {
			want := ledgers[0].Judge(now, request(name))
			for _, l := range ledgers[1:] {
				if got := l.Judge(now, request(name)); got.Verdict != want.Verdict || got.Ends != want.Ends {
					t.Fatalf("%s: %+v and %+v", name, got, want)
				}
			}
		}
		version := ledgers[0].Version()
		if ledgers[0].Merge(now, ledgers[1].Export(now)) || ledgers[0].Version() != version {
			t.Fatalf("what is known already changes the version, so that daemons send it for ever")
		}
	})
}
