package twload

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary aggregates the results of one run.
type Summary struct {
	Offered int `json:"offered"`
	// Good counts the requests whose answer was complete, correct and, if urgent, within both targets.
	Good               int     `json:"good"`
	OfferedWorth       float64 `json:"offeredWorth"`
	GoodWorth          float64 `json:"goodWorth"`
	Refused            int     `json:"refused"`
	Failed             int     `json:"failed"`
	Wrong              int     `json:"wrong"`
	Late               int     `json:"late"`
	Cancelled          int     `json:"cancelled"`
	Deferrable         int     `json:"deferrable"`
	DeferrableAnswered int     `json:"deferrableEnded"`
	// FirstTokenMillis and GapMillis are the 95th percentiles of urgent work that was answered.
	FirstTokenMillis float64 `json:"firstTokenMillis"`
	GapMillis        float64 `json:"gapMillis"`
	// Retried counts the refused requests that were retried at the stated time, RetriesServed those of them with a good
	// answer.
	Retried       int `json:"cameBack"`
	RetriesServed int `json:"served"`
	// ByWork counts the good and offered requests of each kind.
	ByWork map[string]*WorkCounts `json:"byWork"`
	// GoodBySecond counts the good requests that are not deferrable, by the second of the run in which they ended.
	GoodBySecond []int `json:"goodBySecond"`
}

// WorkCounts counts the requests of one kind of work.
type WorkCounts struct {
	Good    int `json:"good"`
	Offered int `json:"offered"`
}

// Parameters of the percentiles; the histograms hold microseconds, up to one minute.
const (
	percentile         = 95
	histogramMaxMicros = 60_000_000
	histogramDigits    = 3
)

// Summarize aggregates the results of a run.
func Summarize(results []Result) Summary {
	s := Summary{ByWork: make(map[string]*WorkCounts)}
	first := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	gap := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	for _, r := range results {
		s.count(r)
		if !r.Request.Plain && !r.Request.Deferrable && r.Complete {
			_ = first.RecordValue(r.FirstToken.Microseconds())
			_ = gap.RecordValue(r.Gap.Microseconds())
		}
	}
	s.FirstTokenMillis = float64(first.ValueAtQuantile(percentile)) / 1000
	s.GapMillis = float64(gap.ValueAtQuantile(percentile)) / 1000
	return s
}

func (s *Summary) count(r Result) {
	s.Offered++
	s.OfferedWorth += r.Request.Worth
	workCounts := s.workCounts(r)
	workCounts.Offered++
	if r.Request.Deferrable {
		s.Deferrable++
		if r.Complete {
			s.DeferrableAnswered++
		}
	}
	if r.Good() {
		s.Good++
		s.GoodWorth += r.Request.Worth
		workCounts.Good++
		s.countSecond(r)
	}
	s.countFailure(r)
	if r.Retried != nil {
		s.Retried++
		if r.Retried.Good() {
			s.RetriesServed++
		}
	}
}

// countFailure counts a request that is not good by its reason.
func (s *Summary) countFailure(r Result) {
	switch {
	case r.Cancelled:
		s.Cancelled++
	case r.Complete && !r.Correct:
		s.Wrong++
	case r.Complete && !r.Good():
		s.Late++
	case r.Complete || r.Status == http.StatusAccepted:
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		s.Refused++
	default:
		s.Failed++
	}
}

func (s *Summary) workCounts(r Result) *WorkCounts {
	name := r.Request.Work
	if r.Request.Plain {
		name = "plain"
	}
	if s.ByWork[name] == nil {
		s.ByWork[name] = &WorkCounts{}
	}
	return s.ByWork[name]
}

func (s *Summary) countSecond(r Result) {
	if r.Request.Deferrable {
		return
	}
	second := int(r.Ended / time.Second)
	for len(s.GoodBySecond) <= second {
		s.GoodBySecond = append(s.GoodBySecond, 0)
	}
	s.GoodBySecond[second]++
}

// Good reports whether the answer is complete and correct, and within both targets if the request is urgent.
func (r Result) Good() bool {
	switch {
	case !r.Complete || !r.Correct || r.Cancelled:
		return false
	case r.Request.Deferrable || r.Request.Plain:
		return true
	}
	return r.FirstToken <= millis(r.Request.FirstTokenMillis) && r.Gap <= millis(r.Request.TokenGapMillis)
}

// millis converts milliseconds to a duration.
func millis(m float64) time.Duration { return time.Duration(m * float64(time.Millisecond)) }
