package twload

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is what the results of one run come to.
type Summary struct {
	Offered int `json:"offered"`
	// Good requests were whole, right and within both targets; deferrable ones were whole and right.
	Good          int     `json:"good"`
	OfferedWorth  float64 `json:"offeredWorth"`
	GoodWorth     float64 `json:"goodWorth"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	Wrong         int     `json:"wrong"`
	Late          int     `json:"late"`
	Cancelled     int     `json:"cancelled"`
	Deferrable    int     `json:"deferrable"`
	DeferrableEnd int     `json:"deferrableEnded"`
	// FirstTokenMillis and GapMillis are the 95th percentiles of urgent work that was answered.
	FirstTokenMillis float64 `json:"firstTokenMillis"`
	GapMillis        float64 `json:"gapMillis"`
	// CameBack and Served tell how many refused requests came back at the time given, and were answered.
	CameBack int `json:"cameBack"`
	Served   int `json:"served"`
	// ByWork counts the good and offered requests of each kind.
	ByWork map[string]*Share `json:"byWork"`
	// GoodBySecond counts the good urgent requests by the second in which they ended.
	GoodBySecond []int `json:"goodBySecond"`
}

// Share is a part of what was offered.
type Share struct {
	Good    int `json:"good"`
	Offered int `json:"offered"`
}

const (
	percentile     = 95
	histogramMax   = 60_000_000
	histogramDigit = 3
)

// Summarize counts the results.
func Summarize(results []Result) Summary {
	s := Summary{ByWork: make(map[string]*Share)}
	first := hdrhistogram.New(1, histogramMax, histogramDigit)
	gap := hdrhistogram.New(1, histogramMax, histogramDigit)
	for _, r := range results {
		s.count(r)
		if !r.Request.Plain && !r.Request.Deferrable && r.Whole {
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
	share := s.share(r)
	share.Offered++
	if r.Request.Deferrable {
		s.Deferrable++
		if r.Whole {
			s.DeferrableEnd++
		}
	}
	if r.Good() {
		s.Good++
		s.GoodWorth += r.Request.Worth
		share.Good++
		s.countSecond(r)
	}
	s.countFault(r)
	if r.CameBack != nil {
		s.CameBack++
		if r.CameBack.Good() {
			s.Served++
		}
	}
}

func (s *Summary) countFault(r Result) {
	switch {
	case r.Cancelled:
		s.Cancelled++
	case r.Whole && !r.Right:
		s.Wrong++
	case r.Whole && !r.Good():
		s.Late++
	case r.Whole || r.Status == http.StatusAccepted:
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		s.Refused++
	default:
		s.Failed++
	}
}

func (s *Summary) share(r Result) *Share {
	name := r.Request.Work
	if r.Request.Plain {
		name = "plain"
	}
	if s.ByWork[name] == nil {
		s.ByWork[name] = &Share{}
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

// Good tells whether the request got all that it is worth.
func (r Result) Good() bool {
	switch {
	case !r.Whole || !r.Right || r.Cancelled:
		return false
	case r.Request.Deferrable || r.Request.Plain:
		return true
	}
	return r.FirstToken <= millis(r.Request.FirstTokenMillis) && r.Gap <= millis(r.Request.TokenGapMillis)
}

func millis(m float64) time.Duration { return time.Duration(m * float64(time.Millisecond)) }
