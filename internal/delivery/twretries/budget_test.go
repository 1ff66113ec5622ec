package twretries_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/delivery/twretries"
)

var start = time.Unix(5000, 0)

func budget() *twretries.Budget {
	return twretries.New(twretries.Config{Ratio: 0.2, Slack: 50, WindowMillis: 10_000})
}

func spend(b *twretries.Budget, at time.Time, tries int) int {
	granted := 0
	for range tries {
		if b.Spend(at, "s", 5) {
			granted++
		}
	}
	return granted
}

func TestOneDaemonTakesItsPartOfTheSlackOnly(t *testing.T) {
	g := NewWithT(t)
	g.Expect(spend(budget(), start, 100)).To(Equal(8), "0.8 of a fifth of 50")
}

func TestCallsEarnRepeats(t *testing.T) {
	g := NewWithT(t)
	b := budget()
	for range 100 {
		b.Earn(start, "s")
	}
	g.Expect(spend(b, start, 100)).To(Equal(24), "0.8 of 20 and 10")
	g.Expect(b.Spend(start, "other", 5)).To(BeTrue(), "services are apart")
}

func TestWhatWasSpentComesBackAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := budget()
	g.Expect(spend(b, start, 100)).To(Equal(8))
	g.Expect(spend(b, start.Add(9*time.Second), 100)).To(BeZero())
	g.Expect(spend(b, start.Add(10*time.Second), 100)).To(BeZero(), "any ten seconds count")
	g.Expect(spend(b, start.Add(11500*time.Millisecond), 100)).To(Equal(8))
}

// A daemon spends its part of the slack and is killed. The one that starts in its place knows nothing of that. It must not
// spend the part again within the window, but repeats its share of the calls that it gets itself.
func TestARestartedDaemonHasNoSlackForAWindow(t *testing.T) {
	g := NewWithT(t)
	b := twretries.New(twretries.Config{Ratio: 0.2, Slack: 50, WindowMillis: 10_000, Restarted: true})
	for range 100 {
		b.Earn(start, "s")
	}
	g.Expect(spend(b, start, 100)).To(Equal(16), "0.8 of 20")
	g.Expect(spend(b, start.Add(11_500*time.Millisecond), 100)).To(Equal(8), "0.8 of a fifth of 50")
}

// All daemons start while the store is down and hear no leader. None knows how many they are; each may repeat its share of
// the calls that it gets, and nothing of what all share.
func TestThereIsNoSlackWhileTheOthersAreUnknown(t *testing.T) {
	g := NewWithT(t)
	b := budget()
	for range 100 {
		b.Earn(start, "s")
	}
	granted := 0
	for b.Spend(start, "s", 0) {
		granted++
	}
	g.Expect(granted).To(Equal(16), "0.8 of 20")
}

// One of five daemons is lost. What it spent still counts in the window, so the others get its part only afterwards.
func TestALostDaemonsPartIsSharedAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := budget()
	g.Expect(spend(b, start, 100)).To(Equal(8))
	alone := func(at time.Time) int {
		n := 0
		for b.Spend(at, "s", 1) {
			n++
		}
		return n
	}
	g.Expect(alone(start.Add(time.Second))).To(BeZero())
	g.Expect(alone(start.Add(21*time.Second))).To(Equal(40), "0.8 of 50")
}

func TestChargedRepeatsCount(t *testing.T) {
	g := NewWithT(t)
	b := budget()
	for range 8 {
		b.Charge(start, "s")
	}
	g.Expect(b.Spend(start, "s", 5)).To(BeFalse())
}
