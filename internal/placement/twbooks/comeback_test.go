package twbooks_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load: after a burst, large prompts of callers that were turned away wait for a reader while two thirds of the memory is
// free. They were refused for good, as if they waited for memory.
func TestCallersThatComeBackWaitForAReader(t *testing.T) {
	g := NewWithT(t)
	b := books(1, 5)
	returning := func(n int) string { return fmt.Sprint("return", n) }
	for n := range 6 {
		b.Ask(start, ask(returning(n), start, 15_000, 3000))
		b.Withdraw(returning(n))
	}
	later := start.Add(4 * time.Second)
	for n := range 5 {
		b.Ask(later, ask(fmt.Sprint("fresh", n), later, 5000, 4500))
	}
	g.Expect(b.Decide(later).Placed).To(HaveLen(5))
	for n := range 6 {
		again := ask(returning(n)+"again", later, 15_000, 3000)
		again.Work.Subject, again.CallerDeadline = returning(n), start.Add(13*time.Second)
		b.Ask(later, again)
	}
	placed := 0
	for at := later; at.Before(later.Add(4 * time.Second)); at = at.Add(20 * time.Millisecond) {
		d := b.Decide(at)
		placed += len(d.Placed)
		g.Expect(d.Refused).To(BeEmpty())
	}
	g.Expect(placed).To(Equal(6))
}
