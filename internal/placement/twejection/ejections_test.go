package twejection_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twejection"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// Guards against an engine that answers each call with an error at once, looks idle and gets all calls.
func TestFailingEngineGetsFewCalls(t *testing.T) {
	g := NewWithT(t)
	e := twejection.New()
	calls := 0
	for millis := 0; millis < 6500; millis += 10 {
		if e.IsEjected(after(millis), "a") {
			continue
		}
		calls++
		e.RecordTrial(after(millis), "a")
		e.RecordFailure(after(millis), "a")
	}
	g.Expect(calls).To(Equal(4), "ejections of 0.5, 1, 2 and 4 seconds separate the calls")
}

// Guards against placing all waiting calls on an engine as soon as its ejection expires.
func TestEjectedEngineGetsOneTrialCall(t *testing.T) {
	g := NewWithT(t)
	e := twejection.New()
	e.RecordFailure(start, "a")
	g.Expect(e.IsEjected(after(499), "a")).To(BeTrue())
	g.Expect(e.IsEjected(after(500), "a")).To(BeFalse())
	e.RecordTrial(after(500), "a")
	g.Expect(e.IsEjected(after(501), "a")).To(BeTrue())
	g.Expect(e.IsEjected(after(1500), "a")).To(BeFalse(), "the outcome of the trial call was lost")
	e.RecordSuccess(after(900), "a")
	g.Expect(e.IsEjected(after(901), "a")).To(BeFalse())
}

// Guards against calls placed before the ejection whose later ends would extend or end it.
func TestCallsFromBeforeEjectionAreIgnored(t *testing.T) {
	g := NewWithT(t)
	e := twejection.New()
	for millis := range 20 {
		e.RecordFailure(after(millis), "a")
	}
	e.RecordSuccess(after(100), "a")
	g.Expect(e.IsEjected(after(400), "a")).To(BeTrue())
	g.Expect(e.IsEjected(after(500), "a")).To(BeFalse())
}

// Guards against an engine that fails now and then and is ejected for the shortest time each time.
func TestRecentFailuresExtendEjection(t *testing.T) {
	g := NewWithT(t)
	e := twejection.New()
	e.RecordFailure(start, "a")
	e.RecordTrial(after(600), "a")
	e.RecordSuccess(after(700), "a")
	e.RecordFailure(after(800), "a")
	g.Expect(e.IsEjected(after(1700), "a")).To(BeTrue(), "a second failure within ten seconds counts twice")
	g.Expect(e.IsEjected(after(1800), "a")).To(BeFalse())
	e.RecordSuccess(after(1900), "a")
	e.RecordFailure(after(12000), "a")
	g.Expect(e.IsEjected(after(12499), "a")).To(BeTrue())
	g.Expect(e.IsEjected(after(12500), "a")).To(BeFalse())
	e.Remove("a")
	e.RecordFailure(after(12600), "a")
	g.Expect(e.IsEjected(after(13100), "a")).To(BeFalse())
}
