package twloads_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twloads"
)

var start = time.Unix(1000, 0)

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func report(pressed bool, upstreams ...turmericwall.UpstreamLoad) []turmericwall.ServiceLoad {
	return []turmericwall.ServiceLoad{{Service: "filings", Arrivals: 4, LateArrivals: 1, Pressed: pressed, Upstreams: upstreams}}
}

// Guards against an upstream that counts as silent because one daemon gets no answers from it while another does.
func TestMergeSumsWhatDaemonsObserved(t *testing.T) {
	g := NewWithT(t)
	b := twloads.New()
	b.Record(start, "a", report(true, turmericwall.UpstreamLoad{ID: "u", Open: 2, Unanswered: 2, UnansweredMillis: 900}))
	b.Record(after(10), "b", report(false, turmericwall.UpstreamLoad{ID: "u", Open: 1, Answers: 3, AnswerMillis: 20, AnsweredMillis: 110}))
	b.Record(after(20), "c", report(false, turmericwall.UpstreamLoad{ID: "u", Answers: 1, AnswerMillis: 40, AnsweredMillis: 520}))
	g.Expect(b.Merge(after(30))).To(Equal([]turmericwall.ServiceLoad{{
		Service: "filings", Partial: true, Arrivals: 12, LateArrivals: 3, AgeMillis: 20, Upstreams: []turmericwall.UpstreamLoad{{
			ID: "u", Open: 3, Answers: 4, AnswerMillis: 25, Unanswered: 2, UnansweredMillis: 100, AnsweredMillis: 130,
		}},
	}}))
	g.Expect(b.Merge(after(180))[0].Partial).To(BeFalse())
	b.Remove("c")
	g.Expect(b.Merge(after(30))[0].Arrivals).To(BeEquivalentTo(8))
}

// Guards against messages that go on after the problems, because daemons report what others report.
func TestServiceIsSentOnlyWhileADaemonReportsProblems(t *testing.T) {
	g := NewWithT(t)
	b := twloads.New()
	b.Record(start, "a", report(false, turmericwall.UpstreamLoad{ID: "u", Open: 1}))
	g.Expect(b.Merge(start)).To(BeNil())
	b.Record(start, "b", report(true))
	g.Expect(b.Merge(start)).To(HaveLen(1))
	b.Record(after(100), "b", nil)
	g.Expect(b.Merge(after(751))).To(BeNil())
}

// Guards against numbers of a daemon that is lost.
func TestReportsExpireAfterTwoSeconds(t *testing.T) {
	g := NewWithT(t)
	b := twloads.New()
	b.Record(start, "a", report(true, turmericwall.UpstreamLoad{ID: "u", Open: 5}))
	b.Record(after(1900), "b", report(true, turmericwall.UpstreamLoad{ID: "u", Open: 1}))
	g.Expect(b.Merge(after(2001))[0].Upstreams[0].Open).To(Equal(1))
}

// Guards against messages that grow with the number of upstreams, and against numbers that make no sense.
func TestMessageIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := twloads.New()
	for i := range 986 {
		var upstreams []turmericwall.UpstreamLoad
		for n := range 100 {
			upstreams = append(upstreams, turmericwall.UpstreamLoad{
				ID: fmt.Sprintf("upstream-of-the-fleet-%04d", 100*i+n), StartedMillis: 1_790_000_000_000, Open: 1 << 40, Answers: math.NaN(),
				Refusals: math.Inf(1), AnswerMillis: -1, Unanswered: n, UnansweredMillis: math.MaxInt64, AnsweredMillis: 1,
			})
		}
		b.Record(start, fmt.Sprint(i), report(true, upstreams...))
	}
	merged := b.Merge(start)
	g.Expect(merged[0].Upstreams).To(HaveLen(turmericwall.MaxLoadEntries))
	g.Expect(merged[0].Upstreams[0].Unanswered).To(Equal(99))
	encoded, err := json.Marshal(merged)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(encoded)).To(BeNumerically("<", 4096))
}
