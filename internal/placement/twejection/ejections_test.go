package twejection_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twejection"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// An engine that answers each call with an error at once seems empty and draws all calls.
func TestAFailingEngineGetsFewCalls(t *testing.T) {
	g := NewWithT(t)
	e := twejection.New()
	calls := 0
	for millis := 0; millis < 6500; millis += 10 {
		if e.Out(after(millis), "a") {
			continue
		}
		calls++
		e.Tried(after(millis), "a")
		e.Failed(after(millis), "a")
	}
	g.Expect(calls).To(Equal(4), "0.5, 1, 2 and 4 seconds lie between them")
}

// All waiting calls are placed on a mended engine in the moment in which it may be tried again.
func TestOneCallTriesAnEjectedEngine(t *testing.T) {
	g := NewWithT(t)
	e := twejection.New()
	e.Failed(start, "a")
	g.Expect(e.Out(after(499), "a")).To(BeTrue())
	g.Expect(e.Out(after(500), "a")).To(BeFalse())
	e.Tried(after(500), "a")
	g.Expect(e.Out(after(501), "a")).To(BeTrue())
	g.Expect(e.Out(after(1500), "a")).To(BeFalse(), "the trial's outcome was lost")
	e.Succeeded(after(900), "a")
	g.Expect(e.Out(after(901), "a")).To(BeFalse())
}

// Calls that were under way when their engine failed end later: each lengthens the ejection, or ends it.
func TestCallsUnderWayChangeNothing(t *testing.T) {
	g := NewWithT(t)
	e := twejection.New()
	for millis := range 20 {
		e.Failed(after(millis), "a")
	}
	e.Succeeded(after(100), "a")
	g.Expect(e.Out(after(400), "a")).To(BeTrue())
	g.Expect(e.Out(after(500), "a")).To(BeFalse())
}

// An engine that fails now and then starts each time as if it had never failed.
func TestFailuresAreRemembered(t *testing.T) {
	g := NewWithT(t)
	e := twejection.New()
	e.Failed(start, "a")
	e.Tried(after(600), "a")
	e.Succeeded(after(700), "a")
	e.Failed(after(800), "a")
	g.Expect(e.Out(after(1700), "a")).To(BeTrue(), "a second failure within ten seconds counts twice")
	g.Expect(e.Out(after(1800), "a")).To(BeFalse())
	e.Succeeded(after(1900), "a")
	e.Failed(after(12000), "a")
	g.Expect(e.Out(after(12499), "a")).To(BeTrue())
	g.Expect(e.Out(after(12500), "a")).To(BeFalse())
	e.Forget("a")
	e.Failed(after(12600), "a")
	g.Expect(e.Out(after(13100), "a")).To(BeFalse())
}
