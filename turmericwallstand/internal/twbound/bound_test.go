package twbound_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twbound"
)

func config() twbound.Config {
	return twbound.Config{
		Decodes: 1, Prefills: 1, MemoryTokens: 20_000, PrefillTokensPerMilli: 50, DecodeTokensPerMilli: 1,
		TargetMillis: 1000, TokensPerEvent: 50,
	}
}

// attempts returns log lines of calls with 5,000 prompt tokens and 3,000 answer tokens that arrive at the given
// times, in milliseconds.
func attempts(result string, events int, at ...int) string {
	var b strings.Builder
	for i, millis := range at {
		ended := time.UnixMilli(int64(1_000_000 + millis)).UTC().Format("2006-01-02T15:04:05.000Z")
		fmt.Fprintf(&b, `a-1 {"message":"Request %s","time":%q,"service":"s","millis":0,"promptTokens":5000,"hintTokens":%d,"maxTokens":6500,"events":%d}`+"\n",
			result, ended, 3000+i, events)
	}
	return b.String()
}

func TestCallsAreBoundedByDecodeMemory(t *testing.T) {
	g := NewWithT(t)
	got, err := twbound.Compute(config(), strings.NewReader(attempts("answered", 60, 0, 0, 0, 0)+"no log line\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]int{got.Calls, got.OnTimeCalls}).To(Equal([]int{4, 2}), "each needs 8,000 of 20,000 tokens at its end")
	g.Expect(got.OnTimeShare).To(BeNumerically("~", 0.5, 0.01))
}

func TestCallsAreBoundedByPrefillRate(t *testing.T) {
	g := NewWithT(t)
	c := config()
	c.Decodes = 100
	got, err := twbound.Compute(c, strings.NewReader(attempts("answered", 60, make([]int, 15)...)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.OnTimeCalls).To(Equal(10),
		"a prefill engine computes 50 tokens a millisecond, for the second of the target")
}

// A refused call and its retry count as one call, which could have been served at the first attempt.
func TestRetriedCallCountsOnce(t *testing.T) {
	g := NewWithT(t)
	got, err := twbound.Compute(config(), strings.NewReader(attempts("refused", 0, 0)+attempts("answered", 60, 2000)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]int{got.Calls, got.OnTimeCalls}).To(Equal([]int{1, 1}))
}

func TestPacketLossLowersLossFreeShareOnly(t *testing.T) {
	g := NewWithT(t)
	c := config()
	c.PacketLoss = 0.01
	got, err := twbound.Compute(c, strings.NewReader(attempts("answered", 60, 0)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.LossFreeShare).To(BeNumerically("~", 0.2935, 0.001), "0.99 to the power of 122")
	g.Expect(got.OnTimeShare).To(BeNumerically("~", 1, 0.001))
}

func TestLogWithoutCallsIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := twbound.Compute(config(), strings.NewReader("nothing\n"))
	g.Expect(err).To(MatchError(ContainSubstring("no line reports a model call")))
}
