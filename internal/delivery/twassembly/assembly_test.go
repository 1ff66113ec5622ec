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

// Chunks of several attempts arrive late, doubled, swapped or not at all, and attempts break off
// anywhere. What the caller got is always a prefix of the answer, and the whole of it once the
// assembly says so.
func TestAnswerIsAPrefixWhateverArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		length := rapid.IntRange(1, 20).Draw(t, "length")
		a := twassembly.New()
		var got strings.Builder
		for attempt := range rapid.IntRange(1, 4).Draw(t, "attempts") {
			name := fmt.Sprintf("a%d", attempt)
			a.Begin(name)
			base := a.Delivered()
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
				got.WriteString(strings.Join(a.Take(c), ""))
			}
		}
		whole := ""
		for i := range length {
			whole += word(i + 1)
		}
		g.Expect(whole).To(HavePrefix(got.String()))
		g.Expect(a.Text()).To(Equal(got.String()))
		if a.Whole() {
			g.Expect(got.String()).To(Equal(whole))
		}
	})
}

// The chunk with the finish reason overtakes the one before it. The answer is whole only when the
// missing token has come.
func TestFinishReasonWaitsForItsTurn(t *testing.T) {
	g := NewWithT(t)
	a := twassembly.New()
	a.Begin("a")
	g.Expect(a.Take(turmericwall.Chunk{Attempt: "a", Index: 2, Text: "2", Finish: "stop"})).To(BeEmpty())
	g.Expect(a.Whole()).To(BeFalse())
	g.Expect(a.Take(turmericwall.Chunk{Attempt: "a", Index: 1, Text: "1"})).To(Equal([]string{"1", "2"}))
	g.Expect(a.Whole()).To(BeTrue())
	g.Expect(a.Finish()).To(Equal("stop"))
}
