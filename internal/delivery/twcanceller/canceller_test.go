package twcanceller_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twcanceller"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/operations/twtrace"
)

// engine simulates an engine that holds attempts; a cancel of an attempt that it does not hold has no effect.
type engine struct {
	mu           sync.Mutex
	held         map[string]bool
	cancels      int
	unresponsive bool
}

func (e *engine) Engine(string) turmericwall.Engine { return e }

func (e *engine) Cancel(_ context.Context, attempt string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels++
	if e.unresponsive {
		return context.DeadlineExceeded
	}
	delete(e.held, attempt)
	return nil
}

func (e *engine) Report(context.Context, bool) (turmericwall.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var report turmericwall.Report
	for attempt := range e.held {
		report.Attempts = append(report.Attempts, attempt)
	}
	return report, nil
}

func (e *engine) Prefill(context.Context, turmericwall.EngineCall) (turmericwall.Export, error) {
	return turmericwall.Export{}, nil
}

func (e *engine) Decode(context.Context, turmericwall.EngineCall, turmericwall.Export, func(turmericwall.Chunk) error) error {
	return nil
}

func (e *engine) Events(context.Context, uint64) (turmericwall.CacheEvents, error) {
	return turmericwall.CacheEvents{}, nil
}

func (e *engine) cancelCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels
}

func (e *engine) hold(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[attempt] = true
}

func (e *engine) holds(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held[attempt]
}

func (e *engine) setUnresponsive(unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = unresponsive
}

func startCanceller(t *testing.T, e *engine) (*twcanceller.Canceller, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	c := twcanceller.New(twcanceller.Config{
		Engines: e, Clock: clock, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard, Trace: twtrace.New()}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return c, clock
}

// advanceUntil advances the clock until the condition holds.
func advanceUntil(g *WithT, clock *clockwork.FakeClock, condition func() bool) {
	g.Eventually(func() bool {
		clock.Advance(200 * time.Millisecond)
		return condition()
	}).Should(BeTrue())
}

// A cancel overtakes its attempt: the engine answers that it holds nothing, and then the attempt arrives. A later
// report lists the attempt, and the cancel must be sent again.
func TestCancelThatOvertakesItsStartIsRepeated(t *testing.T) {
	g := NewWithT(t)
	e := &engine{held: map[string]bool{}}
	c, clock := startCanceller(t, e)
	c.Cancel(turmericwall.VM{Name: "e", Address: "e"}, "a")
	g.Eventually(e.cancelCount).Should(BeNumerically(">=", 1))
	e.hold("a")
	advanceUntil(g, clock, func() bool { return !e.holds("a") })
	advanceUntil(g, clock, func() bool { return c.Pending() == 0 })
}

// The engine does not answer for a while. The cancel must be repeated until it does, and be confirmed only by a report
// that does not list the attempt.
func TestCancelIsRepeatedUntilConfirmed(t *testing.T) {
	g := NewWithT(t)
	e := &engine{held: map[string]bool{"a": true}, unresponsive: true}
	c, clock := startCanceller(t, e)
	c.Cancel(turmericwall.VM{Name: "e", Address: "e"}, "a")
	advanceUntil(g, clock, func() bool { return e.cancelCount() >= 3 })
	g.Expect(c.Pending()).To(Equal(1))
	e.setUnresponsive(false)
	advanceUntil(g, clock, func() bool { return c.Pending() == 0 })
	g.Expect(e.holds("a")).To(BeFalse())
}
