package twbooks

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
)

// projectionSpan is how long a projection is used while its engine's runs stay the same: a run grows by some hundred
// tokens in it.
const projectionSpan = 150 * time.Millisecond

// span is one run in milliseconds from a projection's origin: its memory then, when it starts to grow and when it ends.
// variance is that of its length, in tokens squared.
type span struct{ held, first, end, variance float64 }

// at is the span's memory at a moment; it holds none after its end.
func (s span) at(moment, speed float64) float64 {
	if s.end < moment {
		return 0
	}
	return s.held + speed*math.Max(0, moment-s.first)
}

// later is the span as seen from an origin that lies so many milliseconds earlier.
func (s span) later(millis float64) span {
	s.first += millis
	s.end += millis
	return s
}

// need is the memory at one moment: what is expected, and its variance.
type need struct{ tokens, variance float64 }

func (n *need) add(s span, moment, speed float64) {
	if s.end < moment {
		return
	}
	n.tokens += s.at(moment, speed)
	n.variance += s.variance
}

// projection is the memory that one engine's runs will need.
type projection struct {
	origin time.Time
	spans  []span
	// before is the need just before the end of each span.
	before []need
	speed  float64
}

// project computes the projection of the engine's runs.
func (e *engine) project(now time.Time, speed, quantile float64) *projection {
	p := &projection{origin: now, spans: make([]span, 0, len(e.runs)+2), speed: speed}
	for _, r := range e.runs {
		made := r.made(now, speed)
		first := math.Max(0, float64(r.firstAt.Sub(now).Milliseconds()))
		p.spans = append(p.spans, forecastOf(r.work, made, quantile).span(first, speed))
	}
	p.before = make([]need, len(p.spans), len(p.spans)+2)
	for i, s := range p.spans {
		p.before[i] = p.sum(s.end)
	}
	return p
}

// forecast is what a run will need, in tokens: what it holds, and how much its answer is expected to grow.
type forecast struct{ held, growth, variance float64 }

// forecastOf is the forecast of a call that has made tokens already.
func forecastOf(work turmericwall.ModelWork, made, quantile float64) forecast {
	length := expectedLength(work.HintTokens, work.MaxTokens, made, quantile)
	deviation := expectedLength(work.HintTokens, work.MaxTokens, made, math.Min(quantile+oneDeviation, 0.99)) - length
	return forecast{held: float64(work.PromptTokens) + made, growth: length - made, variance: deviation * deviation}
}

// span is the run on an engine of this speed, growing from the moment first on.
func (f forecast) span(first, speed float64) span {
	return span{held: f.held, first: first, end: first + f.growth/speed, variance: f.variance}
}

// oneDeviation is the probability between the middle of a distribution and one standard deviation above it.
const oneDeviation = 0.34

// peak is the most memory that the runs and one more need together at any time from now on, in tokens, with so many
// standard deviations above what is expected. Memory only grows between the ends of runs, so only the moments just
// before an end are looked at.
func (p *projection) peak(added span, deviations float64) float64 {
	last := p.sum(added.end)
	last.add(added, added.end, p.speed)
	highest := last.tokens + deviations*math.Sqrt(last.variance)
	for i, s := range p.spans {
		n := p.before[i]
		n.add(added, s.end, p.speed)
		highest = math.Max(highest, n.tokens+deviations*math.Sqrt(n.variance))
	}
	return highest
}

// add takes one more run into the projection.
func (p *projection) add(added span) {
	for i, s := range p.spans {
		p.before[i].add(added, s.end, p.speed)
	}
	p.spans = append(p.spans, added)
	p.before = append(p.before, p.sum(added.end))
}

func (p *projection) sum(moment float64) need {
	var total need
	for _, s := range p.spans {
		total.add(s, moment, p.speed)
	}
	return total
}
