package twrates_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twrates"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

var (
	start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	key   = turmericwall.UpstreamKey{ID: "a", StartedMillis: 1}
)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// answer returns the statement of an answer that arrived 10 ms after its call was sent; a negative rate stands for
// none.
func answer(sentMillis int, rate float64) turmericwall.UpstreamStatement {
	return turmericwall.UpstreamStatement{
		SentAt: at(sentMillis), ReceivedAt: at(sentMillis + 10),
		PerSecond: max(rate, 0), RateStated: rate >= 0, RateLifted: rate < 0,
	}
}

func newRates(now *time.Time, log *bytes.Buffer) *twrates.Rates {
	return twrates.New(twrates.Config{
		Recorder: tweventlog.New(tweventlog.Config{Output: log}), Now: func() time.Time { return *now },
	})
}

// Guards against an answer to a call from before a statement that cancels this statement.
func TestOvertakenAnswerDoesNotLiftOrRaiseRate(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []turmericwall.UpstreamStatement
		rate    float64
		limited bool
	}{
		{"no statement", []turmericwall.UpstreamStatement{answer(0, -1)}, 0, false},
		{"a statement", []turmericwall.UpstreamStatement{answer(0, -1), answer(20, 3)}, 3, true},
		{"a zero rate", []turmericwall.UpstreamStatement{answer(0, 0)}, 0, true},
		{"an answer to an earlier call", []turmericwall.UpstreamStatement{answer(20, 3), answer(25, -1)}, 3, true},
		{"no longer stated", []turmericwall.UpstreamStatement{answer(20, 3), answer(31, -1)}, 0, false},
		{"stated again", []turmericwall.UpstreamStatement{answer(20, 3), answer(31, -1), answer(60, 2)}, 2, true},
		{"lowered at once", []turmericwall.UpstreamStatement{answer(20, 3), answer(21, 1)}, 1, true},
		{"raised by an earlier call's answer", []turmericwall.UpstreamStatement{answer(20, 3), answer(21, 9)}, 3, true},
		{"raised", []turmericwall.UpstreamStatement{answer(20, 3), answer(31, 9)}, 9, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			now := at(100)
			r := newRates(&now, &bytes.Buffer{})
			for _, a := range c.answers {
				r.RecordAnswer(key, a)
			}
			rate, limited := r.Rate(key)
			g.Expect(limited).To(Equal(c.limited))
			g.Expect(rate).To(Equal(c.rate))
		})
	}
}

func TestPeersGetNewestStatement(t *testing.T) {
	g := NewWithT(t)
	now := at(100)
	leader, other := newRates(&now, &bytes.Buffer{}), newRates(&now, &bytes.Buffer{})
	other.RecordAnswer(key, answer(20, 3))
	leader.RecordPeerRates(other.ListReceived())
	rate, limited := leader.Rate(key)
	g.Expect(limited).To(BeTrue())
	g.Expect(rate).To(Equal(3.0))
	now = at(300)
	leader.RecordAnswer(key, answer(200, -1))
	other.RecordPeerRates(leader.ListForPeers())
	_, limited = other.Rate(key)
	g.Expect(limited).To(BeFalse())
	leader.RecordPeerRates(other.ListReceived())
	_, limited = leader.Rate(key)
	g.Expect(limited).To(BeFalse())
	now = at(20_000)
	g.Expect(other.ListReceived()).To(BeEmpty())
	g.Expect(leader.ListForPeers()).To(BeEmpty())
}

func TestRestartedUpstreamHasNoRate(t *testing.T) {
	g := NewWithT(t)
	now := at(100)
	r := newRates(&now, &bytes.Buffer{})
	r.RecordAnswer(key, answer(20, 3))
	_, limited := r.Rate(turmericwall.UpstreamKey{ID: "a", StartedMillis: 2})
	g.Expect(limited).To(BeFalse())
	unknown := func(turmericwall.UpstreamKey) bool { return false }
	r.RemoveUnknown(unknown)
	_, limited = r.Rate(key)
	g.Expect(limited).To(BeTrue(), "its entry may have lapsed and be listed again")
	now = at(70_000)
	r.RemoveUnknown(unknown)
	_, limited = r.Rate(key)
	g.Expect(limited).To(BeFalse())
}

func TestOnlyChangedStatementsAreLogged(t *testing.T) {
	g := NewWithT(t)
	now := at(100)
	log := &bytes.Buffer{}
	r := newRates(&now, log)
	for i := range 5 {
		r.RecordAnswer(key, answer(20*i, 3))
	}
	r.RecordAnswer(key, answer(200, -1))
	g.Expect(bytes.Count(log.Bytes(), []byte("\n"))).To(Equal(2))
}

func BenchmarkRateWithoutStatements(b *testing.B) {
	now := at(0)
	r := newRates(&now, &bytes.Buffer{})
	b.ReportAllocs()
	for b.Loop() {
		r.Rate(key)
	}
}
