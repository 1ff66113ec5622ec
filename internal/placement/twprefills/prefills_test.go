package twprefills_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twprefills"
)

var start = time.Unix(1000, 0)

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// Guards against an engine that ends nothing and looks idle, since its backlog is predicted by its speed alone.
func TestOverdueEngineIsExpectedToNeedAsLongAgain(t *testing.T) {
	g := NewWithT(t)
	p := twprefills.New()
	p.Begin("a", 5000, after(100))
	p.Begin("b", 5000, after(200))
	g.Expect(p.BacklogMillis(after(120), 80, 50)).To(Equal(80.0), "the report of an end takes a moment")
	g.Expect(p.OverdueMillis(after(650))).To(Equal(500.0))
	g.Expect(p.BacklogMillis(after(650), 0, 50)).To(Equal(600.0), "as long again, and the prompt behind")
	p.Withdraw("a")
	p.Complete(after(700), "b")
	g.Expect(p.BacklogMillis(after(700), 0, 50)).To(BeZero())
	g.Expect(p.Tokens()).To(BeZero())
}

// Guards against engines that are shown as late after a single lost packet, or for good.
func TestErrorFollowsTheLatestPredictions(t *testing.T) {
	for name, c := range map[string]struct {
		errors   []int
		reported float64
	}{
		"none":            {nil, 0},
		"one lost packet": {[]int{-14, 240}, 0},
		"small ones":      {[]int{20, -10, 25, 5}, 0},
		"late":            {[]int{200, 240, 260, 300}, 260},
		"seldom late":     {[]int{-10, -10, -10, 5, 5, 5, -10, 240}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := twprefills.New()
			for i, millis := range c.errors {
				p.Begin(fmt.Sprint(i), 5000, start.Add(-time.Duration(millis)*time.Millisecond))
				p.Complete(start, fmt.Sprint(i))
			}
			g.Expect(p.ErrorMillis(start)).To(Equal(c.reported))
			g.Expect(p.ErrorMillis(after(3000))).To(BeZero(), "an old error doesn't count")
		})
	}
}
