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

// engine holds attempts; it forgets cancels of attempts that it does not hold.
type engine struct {
	mu      sync.Mutex
	held    map[string]bool
	cancels int
	deaf    bool
}

func (e *engine) Engine(string) turmericwall.Engine { return e }

func (e *engine) Cancel(_ context.Context, attempt string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels++
	if e.deaf {
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

func (e *engine) count() int {
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

func (e *engine) setDeaf(deaf bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = deaf
}

func start(t *testing.T, e *engine) (*twcanceller.Canceller, *clockwork.FakeClock) {
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

// advance lets the canceller's time pass until the condition holds.
func advance(g *WithT, clock *clockwork.FakeClock, condition func() bool) {
	g.Eventually(func() bool {
		clock.Advance(200 * time.Millisecond)
		return condition()
	}).Should(BeTrue())
}

// The cancel overtakes its start: the engine answers that it holds nothing, and then the start arrives.
// A later report lists the attempt, and the cancel is sent again.
func TestCancelThatOvertakesItsStartIsRepeated(t *testing.T) {
	g := NewWithT(t)
	e := &engine{held: map[string]bool{}}
	c, clock := start(t, e)
	c.Cancel(turmericwall.VM{Name: "e", Address: "e"}, "a")
	g.Eventually(e.count).Should(BeNumerically(">=", 1))
	e.hold("a")
	advance(g, clock, func() bool { return !e.holds("a") })
	advance(g, clock, func() bool { return c.Pending() == 0 })
}

// The engine does not answer for a while. The cancel is repeated until it does, and confirmed only by a
// report that does not list the attempt.
func TestCancelIsRepeatedUntilConfirmed(t *testing.T) {
	g := NewWithT(t)
	e := &engine{held: map[string]bool{"a": true}, deaf: true}
	c, clock := start(t, e)
	c.Cancel(turmericwall.VM{Name: "e", Address: "e"}, "a")
	advance(g, clock, func() bool { return e.count() >= 3 })
	g.Expect(c.Pending()).To(Equal(1))
	e.setDeaf(false)
	advance(g, clock, func() bool { return c.Pending() == 0 })
	g.Expect(e.holds("a")).To(BeFalse())
}
