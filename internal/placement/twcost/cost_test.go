package twcost_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twcost"
)

func learned(calls int, call twcost.Call) *twcost.Cost {
	c := twcost.New()
	for range calls {
		c.Learn(call)
		c.Answered(200, 1000)
	}
	return c
}

func TestTooFewCallsSayNothing(t *testing.T) {
	g := NewWithT(t)
	_, ok := learned(10, twcost.Call{PromptTokens: 5000, Length: 500, Slots: 64, MemoryTokens: 50_000}).Mean(50)
	g.Expect(ok).To(BeFalse())
}

func TestAnAnswerCostsItsPartOfTheMemoryOrOfTheSlots(t *testing.T) {
	g := NewWithT(t)
	cost, ok := learned(100, twcost.Call{PromptTokens: 5000, Length: 1000, Slots: 64, MemoryTokens: 55_000}).Mean(50)
	g.Expect(ok).To(BeTrue())
	g.Expect(cost.ReadMillis).To(BeNumerically("~", 100, 0.1))
	g.Expect(cost.AnswerMillis).To(BeNumerically("~", 510, 0.1), "a tenth of the memory for 5,100 ms")
	cost, _ = learned(100, twcost.Call{PromptTokens: 5000, Length: 1000, Slots: 4, MemoryTokens: 55_000}).Mean(50)
	g.Expect(cost.AnswerMillis).To(BeNumerically("~", 1275, 0.1), "a quarter of the slots")
}

// The traffic turns from long answers to long prompts. The mean follows within some hundred calls.
func TestTheMeanFollowsTheLoad(t *testing.T) {
	g := NewWithT(t)
	c := learned(500, twcost.Call{PromptTokens: 1000, Length: 2000, Slots: 64, MemoryTokens: 50_000})
	before, _ := c.Mean(50)
	for range 600 {
		c.Learn(twcost.Call{PromptTokens: 9000, Length: 200, Slots: 64, MemoryTokens: 50_000})
	}
	after, _ := c.Mean(50)
	g.Expect(after.ReadMillis).To(BeNumerically(">", 8*before.ReadMillis))
}

func TestTheSpeedOfReadingIsLearnedFromPromptsThatFollowEachOther(t *testing.T) {
	g := NewWithT(t)
	c := learned(100, twcost.Call{PromptTokens: 5000, Length: 1000, Slots: 64, MemoryTokens: 55_000})
	for range 20 {
		c.Read(5000, 200)
	}
	cost, _ := c.Mean(50)
	g.Expect(cost.ReadMillis).To(BeNumerically("~", 200, 0.1))
}
