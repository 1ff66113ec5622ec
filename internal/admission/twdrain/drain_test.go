package twdrain_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/admission/twdrain"
)

// clock is a time that tests set.
type clock struct{ now time.Time }

func (c *clock) at(millis int) *clock {
	c.now = time.Unix(1_000, 0).Add(time.Duration(millis) * time.Millisecond)
	return c
}

// observe records an answer that ends now.
func observe(d *twdrain.Drain, c *clock, route string, span time.Duration) {
	d.Open(route, c.now.Add(-span))(true)
}

// newDrain returns a drain that began at 0 and exits at 4.1 s, after twenty answers of a route that took 1 s, the last one 6 s, of
// another one that took 2.5 s, and of one that took 10 ms, where a call has been open for 2.5 s.
func newDrain() (*twdrain.Drain, *clock) {
	c := (&clock{}).at(0)
	d := twdrain.New(twdrain.Config{Now: func() time.Time { return c.now }})
	for i := range 20 {
		span := time.Second
		if i == 19 {
			span = 6 * time.Second
		}
		observe(d, c, "short", span)
		observe(d, c, "long", 2500*time.Millisecond)
		observe(d, c, "open", 10*time.Millisecond)
	}
	d.Open("open", c.now.Add(-2500*time.Millisecond))
	d.Begin(c.now.Add(4100 * time.Millisecond))
	return d, c
}

// Guards against calls that are taken in a planned stop and cut at its end.
func TestStoppingDaemonTakesCallsThatEndInTime(t *testing.T) {
	for _, c := range []struct {
		name           string
		route          string
		deadlineMillis int
		atMillis       int
		taken          bool
	}{
		{"the deadline is before the exit", "unknown", 4000, 3500, true},
		{"the deadline is after the exit, nothing known", "unknown", 4200, 100, false},
		{"usually in time, nobody knows of the stop", "short", 9000, 2900, true},
		{"usually in time, but late", "short", 9000, 3040, false},
		{"long, early", "long", 9000, 1400, true},
		{"long, usually not in time", "long", 9000, 1600, false},
		{"an open call is long, early", "open", 9000, 1400, true},
		{"an open call is long", "open", 9000, 1600, false},
		{"long, the deadline is before the exit", "long", 4000, 3000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, clock := newDrain()
			call := twdrain.Call{Route: c.route, Deadline: clock.at(c.deadlineMillis).now}
			clock.at(c.atMillis)
			NewWithT(t).Expect(d.Takes(call)).To(Equal(c.taken))
		})
	}
}

// Guards against what one slow answer, long ago, decides, and against routes whose number has no bound.
func TestOnlyTheLatestAnswersCount(t *testing.T) {
	g := NewWithT(t)
	d, c := twdrain.New(twdrain.Config{}), &clock{now: time.Now()}
	for i := range 200 {
		observe(d, c, "r", max(time.Minute-time.Duration(i)*time.Second, time.Millisecond))
		observe(d, c, fmt.Sprint("other", 2*i), time.Millisecond)
		observe(d, c, fmt.Sprint("other", 2*i+1), time.Millisecond)
	}
	d.Begin(time.Now().Add(time.Second))
	g.Expect(d.Takes(twdrain.Call{Route: "r", Deadline: time.Now().Add(time.Hour)})).To(BeTrue())
	g.Expect(d.Takes(twdrain.Call{Route: "other399", Deadline: time.Now().Add(time.Hour)})).To(BeFalse())
}

func TestDaemonThatDoesNotStopTakesAllCalls(t *testing.T) {
	g := NewWithT(t)
	d := twdrain.New(twdrain.Config{})
	g.Expect(d.Takes(twdrain.Call{Deadline: time.Now().Add(time.Hour)})).To(BeTrue())
	g.Expect(d.ExitAt()).To(BeZero())
}

// Guards against calls that wait here while the daemon stops, until nothing can answer them in time.
func TestWaitingCallIsReleasedOnceItCannotEndInTime(t *testing.T) {
	g := NewWithT(t)
	d := twdrain.New(twdrain.Config{})
	long, releaseLong := d.Hold(context.Background(), twdrain.Call{Deadline: time.Now().Add(time.Minute)})
	defer releaseLong()
	short, releaseShort := d.Hold(context.Background(), twdrain.Call{Deadline: time.Now().Add(100 * time.Millisecond)})
	g.Expect(long.Err()).NotTo(HaveOccurred())
	d.Begin(time.Now().Add(time.Second))
	g.Eventually(long.Done()).Should(BeClosed())
	g.Expect(context.Cause(long)).To(MatchError(twdrain.ErrStopping))
	g.Consistently(short.Done(), 150*time.Millisecond).ShouldNot(BeClosed())
	releaseShort()
	g.Expect(short.Err()).To(HaveOccurred())
	later, releaseLater := d.Hold(context.Background(), twdrain.Call{Deadline: time.Now().Add(time.Minute)})
	defer releaseLater()
	g.Eventually(later.Done()).Should(BeClosed())
}
