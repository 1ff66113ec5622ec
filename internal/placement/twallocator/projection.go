package twallocator

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
)

// projectionValidity is how long a projection is used while its engine's runs stay the same. A run generates about a
// hundred tokens in it.
const projectionValidity = 150 * time.Millisecond

// memoryProfile is the expected memory of one run over time, in milliseconds from a projection's origin: the run holds
// heldTokens, grows from startMillis on and releases its memory after endMillis. variance is that of its length, in
// tokens squared.
type memoryProfile struct{ heldTokens, startMillis, endMillis, variance float64 }

// tokensAt returns the run's memory at the offset; 0 after its end.
func (p memoryProfile) tokensAt(offsetMillis, speed float64) float64 {
	if p.endMillis < offsetMillis {
		return 0
	}
	return p.heldTokens + speed*math.Max(0, offsetMillis-p.startMillis)
}

// shifted returns the profile relative to an origin that lies the given milliseconds earlier.
func (p memoryProfile) shifted(millis float64) memoryProfile {
	p.startMillis += millis
	p.endMillis += millis
	return p
}

// memoryNeed is the expected memory of all runs at one time, and its variance.
type memoryNeed struct{ tokens, variance float64 }

func (n *memoryNeed) add(s memoryProfile, offsetMillis, speed float64) {
	if s.endMillis < offsetMillis {
		return
	}
	n.tokens += s.tokensAt(offsetMillis, speed)
	n.variance += s.variance
}

// projection is the expected memory of one engine's runs over time.
type projection struct {
	origin   time.Time
	profiles []memoryProfile
	// needBeforeEnd is the memory need just before the end of each profile.
	needBeforeEnd []memoryNeed
	speed         float64
}

// project computes the projection of the engine's runs. The speed is in tokens per millisecond.
func (e *engine) project(now time.Time, speed, quantile float64) *projection {
	p := &projection{origin: now, profiles: make([]memoryProfile, 0, len(e.runs)+2), speed: speed}
	for _, r := range e.runs {
		generated := r.generatedTokens(now, speed)
		startMillis := math.Max(0, float64(r.firstTokenAt.Sub(now).Milliseconds()))
		p.profiles = append(p.profiles, forecastOf(r.work, generated, quantile).profile(startMillis, speed))
	}
	p.needBeforeEnd = make([]memoryNeed, len(p.profiles), len(p.profiles)+2)
	for i, s := range p.profiles {
		p.needBeforeEnd[i] = p.needAt(s.endMillis)
	}
	return p
}

// forecast is the expected memory of a run in tokens: what it holds, how much its answer is expected to grow, and the
// variance of that.
type forecast struct{ heldTokens, growth, variance float64 }

// forecastOf returns the forecast of a call that has generated tokens already.
func forecastOf(work turmericwall.ModelWork, generated, quantile float64) forecast {
	length := expectedLength(work.HintTokens, work.MaxTokens, generated, quantile)
	deviation := expectedLength(work.HintTokens, work.MaxTokens, generated,
		math.Min(quantile+deviationProbability, 0.99)) - length
	return forecast{
		heldTokens: float64(work.PromptTokens) + generated, growth: length - generated, variance: deviation * deviation,
	}
}

// profile returns the run's memory on an engine of this speed, growing from startMillis on.
func (f forecast) profile(startMillis, speed float64) memoryProfile {
	return memoryProfile{
		heldTokens: f.heldTokens, startMillis: startMillis, endMillis: startMillis + f.growth/speed, variance: f.variance,
	}
}

// deviationProbability is the probability between the mean of a normal distribution and one standard deviation above
// it.
const deviationProbability = 0.34

// peak returns the highest memory need of the runs and the added one from now on, in tokens, with the given number of
// standard deviations above the expected value. Between two ends of runs the need only grows, so only the times just
// before an end are computed.
func (p *projection) peak(added memoryProfile, deviations float64) float64 {
	last := p.needAt(added.endMillis)
	last.add(added, added.endMillis, p.speed)
	highest := last.tokens + deviations*math.Sqrt(last.variance)
	for i, s := range p.profiles {
		n := p.needBeforeEnd[i]
		n.add(added, s.endMillis, p.speed)
		highest = math.Max(highest, n.tokens+deviations*math.Sqrt(n.variance))
	}
	return highest
}

// add adds one run to the projection.
func (p *projection) add(added memoryProfile) {
	for i, s := range p.profiles {
		p.needBeforeEnd[i].add(added, s.endMillis, p.speed)
	}
	p.profiles = append(p.profiles, added)
	p.needBeforeEnd = append(p.needBeforeEnd, p.needAt(added.endMillis))
}

// needAt returns the memory need of all runs at the offset.
func (p *projection) needAt(offsetMillis float64) memoryNeed {
	var total memoryNeed
	for _, s := range p.profiles {
		total.add(s, offsetMillis, p.speed)
	}
	return total
}
