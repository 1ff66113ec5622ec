package twassembly_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twassembly"
)

func word(i int) string { return fmt.Sprintf(" w%d", i) }

// Chunks of several attempts arrive late, twice, out of order or not at all, and attempts end anywhere. The delivered
// text must always be a prefix of the answer, and the whole answer once the assembly is complete.
func TestDeliveredTextIsAlwaysAPrefixOfTheAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		length := rapid.IntRange(1, 20).Draw(t, "length")
		a := twassembly.New()
		var got strings.Builder
		for attempt := range rapid.IntRange(1, 4).Draw(t, "attempts") {
			name := fmt.Sprintf("a%d", attempt)
			a.BeginAttempt(name)
			base := a.DeliveredTokens()
			for range rapid.IntRange(0, 40).Draw(t, "chunks") {
				index := rapid.IntRange(base+1, length+1).Draw(t, "index")
				from := rapid.SampledFrom([]string{name, name, name, "a0", "other"}).Draw(t, "from")
				c := turmericwall.Chunk{Attempt: from, Index: index - base, Text: word(index)}
				if from != name {
					c.Text = "foreign"
				}
				if index >= length {
					c.Finish = "length"
				}
				got.WriteString(strings.Join(a.Add(c), ""))
			}
		}
		answer := ""
		for i := range length {
			answer += word(i + 1)
		}
		g.Expect(answer).To(HavePrefix(got.String()))
		g.Expect(a.Text()).To(Equal(got.String()))
		if a.Complete() {
			g.Expect(got.String()).To(Equal(answer))
		}
	})
}

// The chunk with the finish reason overtakes the one before it. The answer must be complete only when the missing token
// has arrived.
func TestFinishReasonWaitsForEarlierTokens(t *testing.T) {
	g := NewWithT(t)
	a := twassembly.New()
	a.BeginAttempt("a")
	g.Expect(a.Add(turmericwall.Chunk{Attempt: "a", Index: 2, Text: "2", Finish: "stop"})).To(BeEmpty())
	g.Expect(a.Complete()).To(BeFalse())
	g.Expect(a.Add(turmericwall.Chunk{Attempt: "a", Index: 1, Text: "1"})).To(Equal([]string{"1", "2"}))
	g.Expect(a.Complete()).To(BeTrue())
	g.Expect(a.FinishReason()).To(Equal("stop"))
}
