package twevidence_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
)

// Guards against ends that count for nothing because they couldn't be judged at once, and against runs that are blamed for ever
// although their upstreams lived.
func TestOpenEndsCountUntilTheyAreSettled(t *testing.T) {
	for name, test := range map[string]struct {
		result    turmericwall.EndResult
		queriedAt time.Time
		verdict   turmericwall.Verdict
		open      bool
	}{
		"not settled":                         {turmericwall.EndUnknown, start.Add(time.Second), turmericwall.VerdictQuarantined, true},
		"ended":                               {turmericwall.EndProved, start.Add(time.Second), turmericwall.VerdictQuarantined, false},
		"alive":                               {turmericwall.EndRefuted, start.Add(time.Second), turmericwall.VerdictClear, false},
		"alive before the run had broken off": {turmericwall.EndRefuted, start, turmericwall.VerdictQuarantined, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := twevidence.New()
			for n := range 3 {
				l.RecordEnd(start, engine(n), start, request("r"), turmericwall.EndUnknown)
			}
			g.Expect(l.Judge(start, request("r"))).To(HaveField("Open", true))
			for _, open := range l.OpenEnds() {
				l.Settle(start, open.EndID, test.queriedAt, test.result)
			}
			judged := l.Judge(start, request("r"))
			g.Expect(judged.Verdict).To(Equal(test.verdict))
			g.Expect(judged.Open).To(Equal(test.open))
			g.Expect(len(l.OpenEnds()) > 0).To(Equal(test.open))
		})
	}
}

// Guards against a proof that is lost because another daemon had seen the upstream alive after an earlier run.
func TestProofOutweighsARefutation(t *testing.T) {
	g := NewWithT(t)
	l, other := twevidence.New(), twevidence.New()
	l.RecordEnd(start, engine(0), start, request("r"), turmericwall.EndUnknown)
	l.Settle(start, l.OpenEnds()[0].EndID, start.Add(time.Second), turmericwall.EndRefuted)
	other.RecordEnd(start, engine(0), start, request("r"), turmericwall.EndProved)
	l.Merge(start, other.Export(start))
	g.Expect(l.Judge(start, request("r")).Ends).To(Equal(1))
}

// Guards against a look-up that everybody makes and that is refused because all upstreams crashed at once under it, and against
// one that goes on to end them.
func TestRequestThatRanWellIsCompanyUnlessItEndsAnUpstreamAlone(t *testing.T) {
	g := NewWithT(t)
	l := twevidence.New()
	for n := range 5 {
		l.RecordEnd(start, engine(n), start, request("look-up"), turmericwall.EndProved)
	}
	l.RecordAnswer(start.Add(-time.Second), request("look-up"))
	g.Expect(l.Judge(start, request("look-up")).Verdict).To(Equal(turmericwall.VerdictSuspect))
	alone := request("look-up")
	alone.Alone = true
	l.RecordEnd(start.Add(time.Second), engine(5), start, alone, turmericwall.EndProved)
	l.RecordAnswer(start.Add(-time.Second), request("look-up"))
	g.Expect(l.Judge(start, request("look-up")).Verdict).To(Equal(turmericwall.VerdictQuarantined))
}

// Guards against a caller that gets around the bound by asking for the rest of its stream in another way.
func TestStreamIsRecognizedThoughItsRequestDiffers(t *testing.T) {
	g := NewWithT(t)
	l := twevidence.New()
	for n, name := range []string{"a", "b", "c"} {
		input := turmericwall.Input{Service: "s", Request: name, Stream: "stream"}
		l.RecordEnd(start, engine(n), start, input, turmericwall.EndProved)
	}
	g.Expect(l.Judge(start, turmericwall.Input{Service: "s", Request: "d", Stream: "stream"}).Verdict).
		To(Equal(turmericwall.VerdictQuarantined))
	g.Expect(l.Judge(start, request("d")).Verdict).To(Equal(turmericwall.VerdictClear))
}
