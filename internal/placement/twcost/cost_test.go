package twcost_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/placement/twcost"
)

func costAfterCalls(calls int, call twcost.Call) *twcost.Cost {
	c := twcost.New()
	for range calls {
		c.RecordCall(call)
		c.RecordAnswer(200, 1000)
	}
	return c
}

func TestMeanIsUnknownAfterTooFewCalls(t *testing.T) {
	g := NewWithT(t)
	_, ok := costAfterCalls(10, twcost.Call{
		PromptTokens: 5000, AnswerTokens: 500, Slots: 64, MemoryTokens: 50_000,
	}).Mean(50)
	g.Expect(ok).To(BeFalse())
}

func TestAnswerCostsLargerShareOfMemoryOrSlots(t *testing.T) {
	g := NewWithT(t)
	cost, ok := costAfterCalls(100, twcost.Call{
		PromptTokens: 5000, AnswerTokens: 1000, Slots: 64, MemoryTokens: 55_000,
	}).Mean(50)
	g.Expect(ok).To(BeTrue())
	g.Expect(cost.PrefillMillis).To(BeNumerically("~", 100, 0.1))
	g.Expect(cost.DecodeMillis).To(BeNumerically("~", 510, 0.1), "a tenth of the memory for 5,100 ms")
	cost, _ = costAfterCalls(100, twcost.Call{
		PromptTokens: 5000, AnswerTokens: 1000, Slots: 4, MemoryTokens: 55_000,
	}).Mean(50)
	g.Expect(cost.DecodeMillis).To(BeNumerically("~", 1275, 0.1), "a quarter of the slots")
}

// Guards against a mean that lags behind when the traffic changes from long answers to long prompts. It must follow
// within 600 calls.
func TestMeanFollowsLoad(t *testing.T) {
	g := NewWithT(t)
	c := costAfterCalls(500, twcost.Call{PromptTokens: 1000, AnswerTokens: 2000, Slots: 64, MemoryTokens: 50_000})
	before, _ := c.Mean(50)
	for range 600 {
		c.RecordCall(twcost.Call{PromptTokens: 9000, AnswerTokens: 200, Slots: 64, MemoryTokens: 50_000})
	}
	after, _ := c.Mean(50)
	g.Expect(after.PrefillMillis).To(BeNumerically(">", 8*before.PrefillMillis))
}

func TestPrefillSpeedIsMeasuredFromConsecutivePrompts(t *testing.T) {
	g := NewWithT(t)
	c := costAfterCalls(100, twcost.Call{PromptTokens: 5000, AnswerTokens: 1000, Slots: 64, MemoryTokens: 55_000})
	for range 20 {
		c.RecordPrefill(5000, 200)
	}
	cost, _ := c.Mean(50)
	g.Expect(cost.PrefillMillis).To(BeNumerically("~", 200, 0.1))
}
