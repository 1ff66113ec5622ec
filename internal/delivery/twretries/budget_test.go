package twretries_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/delivery/twretries"
)

var start = time.Unix(5000, 0)

func newBudget() *twretries.Budget {
	return twretries.New(twretries.Config{Ratio: 0.2, Slack: 50, WindowMillis: 10_000})
}

func countSpent(b *twretries.Budget, at time.Time, tries int) int {
	granted := 0
	for range tries {
		if b.Spend(at, "s", 5) {
			granted++
		}
	}
	return granted
}

func TestADaemonSpendsOnlyItsPartOfTheSlack(t *testing.T) {
	g := NewWithT(t)
	g.Expect(countSpent(newBudget(), start, 100)).To(Equal(8), "0.8 of a fifth of 50")
}

func TestCallsEarnRetries(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	for range 100 {
		b.Earn(start, "s")
	}
	g.Expect(countSpent(b, start, 100)).To(Equal(24), "0.8 of the 20 earned and the slack of 10")
	g.Expect(b.Spend(start, "other", 5)).To(BeTrue(), "services have separate budgets")
}

func TestSpentRetriesAreAvailableAgainAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	g.Expect(countSpent(b, start, 100)).To(Equal(8))
	g.Expect(countSpent(b, start.Add(9*time.Second), 100)).To(BeZero())
	g.Expect(countSpent(b, start.Add(10*time.Second), 100)).To(BeZero(), "any window of ten seconds counts")
	g.Expect(countSpent(b, start.Add(11500*time.Millisecond), 100)).To(Equal(8))
}

// A daemon spends its part of the slack and is killed. The daemon started in its place must not spend that part again
// within the window; it may only make the retries that its own calls earn.
func TestARestartedDaemonHasNoSlackForAWindow(t *testing.T) {
	g := NewWithT(t)
	b := twretries.New(twretries.Config{Ratio: 0.2, Slack: 50, WindowMillis: 10_000, Restarted: true})
	for range 100 {
		b.Earn(start, "s")
	}
	g.Expect(countSpent(b, start, 100)).To(Equal(16), "0.8 of 20")
	g.Expect(countSpent(b, start.Add(11_500*time.Millisecond), 100)).To(Equal(8), "0.8 of a fifth of 50")
}

// All daemons start while the store is unavailable and have no leader, so that none knows how many they are. Each may
// make the retries that its own calls earn, but use no shared slack.
func TestThereIsNoSlackWhileTheNumberOfDaemonsIsUnknown(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	for range 100 {
		b.Earn(start, "s")
	}
	granted := 0
	for b.Spend(start, "s", 0) {
		granted++
	}
	g.Expect(granted).To(Equal(16), "0.8 of 20")
}

// One of five daemons is lost. What it spent still counts in the window, so its part goes to the others only
// afterwards.
func TestALostDaemonsPartIsSharedAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	g.Expect(countSpent(b, start, 100)).To(Equal(8))
	spendAsOnlyDaemon := func(at time.Time) int {
		n := 0
		for b.Spend(at, "s", 1) {
			n++
		}
		return n
	}
	g.Expect(spendAsOnlyDaemon(start.Add(time.Second))).To(BeZero())
	g.Expect(spendAsOnlyDaemon(start.Add(21*time.Second))).To(Equal(40), "0.8 of 50")
}

// Guards against runs that are prepared, and their prompts read, for which the budget does not suffice.
func TestAllowsOnlyWhatCanBeSpent(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	for left := 8; left >= 0; left-- {
		g.Expect(b.Allows(start, "s", 5, left)).To(BeTrue())
		g.Expect(b.Allows(start, "s", 5, left+1)).To(BeFalse())
		b.Spend(start, "s", 5)
	}
}

func TestReturnedRetriesAreAvailableAgain(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	g.Expect(countSpent(b, start, 100)).To(Equal(8))
	b.Return(start.Add(2*time.Second), "s")
	g.Expect(countSpent(b, start.Add(2*time.Second), 100)).To(Equal(1))
	b.Return(start.Add(time.Minute), "s")
	g.Expect(countSpent(b, start.Add(time.Minute), 100)).To(Equal(8), "what left the window can't be returned")
}
