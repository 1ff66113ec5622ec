// Package twpace estimates how long each engine of a service takes for a token, from the reports of its streams. It is
// made for overload with up to a third of the engines three times as slow, when the placement allocator must know which
// engines still keep the longest allowed time between two events.
package twpace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// slowFactor is how much slower than the service's common pace an engine is that counts as slow. Sound engines of one
	// service reach 1.8 of the mean; a slow one is only left out if its streams would exceed their limit.
	slowFactor = 1.5
	// minSamples is how many runs an estimate of an engine needs to replace the one before; with fewer it is blended.
	minSamples = 3
	// minMeasurements is how many reports the common pace of the service needs.
	minMeasurements = 5
	// maxSamples is how many runs an estimate keeps.
	maxSamples = 8
	// sampleHalfLife is the time in which the weight of a sample halves, and sampleValidity how long one counts.
	sampleHalfLife = time.Second
	sampleValidity = 3 * time.Second
	// freshSpan is how long an estimate counts fully. After it, its distance from the common pace halves in each halfLife,
	// which is initialHalfLife and doubles up to maxHalfLife with each trial that finds the engine slow again.
	freshSpan       = time.Second
	initialHalfLife = 2 * time.Second
	maxHalfLife     = 16 * time.Second
	// maxSampleMillis bounds the weight of one report, so that the report on a long answer doesn't outweigh the present.
	maxSampleMillis = 500
	// minPartMillis is the shortest part of an answer that counts: a few events before the end would replace the run's
	// longer measurement.
	minPartMillis = 200
	// minFactor and maxFactor bound one sample.
	minFactor, maxFactor = 0.2, 20
	// gapSpan is the time within which the gaps of two streams of one engine have one cause. A lost packet delays the
	// events of one stream only, by about 200 ms.
	gapSpan = 500 * time.Millisecond
)

// Pace estimates the pace of the engines of one service. It has no clock of its own and is not safe for concurrent use.
//
// The common pace is a function of an engine's runs and memory, fitted to the reports on all engines. Each engine has a
// factor to it: the median of the factors of its latest runs, so that one stream with late events changes nothing.
type Pace struct {
	engines map[string]*engine
	runs    map[string]*run
	common  curve
	// unsettled are the runs whose pace was measured by another leader, or while the engines' load was not known.
	unsettled []*run
}

// Run is a run that was placed on an engine.
type Run struct {
	ID, Engine string
	// MemoryTokens is the memory that the run takes on average.
	MemoryTokens float64
	// Tokens and Millis are the latest known pace of a run that another leader placed, AgeMillis old; 0 if there is none.
	Tokens, Millis, AgeMillis int64
}

// Report is a daemon's report on a run.
type Report struct {
	Run string
	// Tokens were generated in Millis, of which the daemon itself may have added OwnDelayMillis.
	Tokens, Millis, OwnDelayMillis int64
	// Total is set if the report covers the time since the run's first event, and otherwise it is the latest part of it.
	Total bool
}

// Load is what is asked of an engine: its runs with one more.
type Load struct {
	// MemoryTokens is the memory of the further run.
	MemoryTokens float64
	// Runs is the number of further runs, -1 for one less.
	Runs int
}

// engine is what is known of one engine.
type engine struct {
	// placed counts the runs that were placed and placedTokens their memory; those that decode are in load.
	placed       int
	placedTokens float64
	load         load
	samples      []sample
	// factor is the estimate as of at; at is zero while there is none.
	factor   float64
	at       time.Time
	halfLife time.Duration
	// gapAt is when a stream, gapRun, last exceeded its limit.
	gapAt  time.Time
	gapRun *run
}

// run is one placed run.
type run struct {
	id           string
	engine       *engine
	memoryTokens float64
	decoding     bool
	// mark is the engine's load when the part of the answer began that the next report covers.
	mark load
	// totalTokens and totalMillis are those of the last report of the whole answer.
	totalTokens, totalMillis int64
	// departed is set once the run had a report of its latest part, which is newer than the mean of the answer.
	departed bool
	// millisPerToken is the last reported pace, as of reportedAt.
	millisPerToken float64
	reportedAt     time.Time
}

// sample is one measurement of a run: tokens took millis beside the mean load, whose prefills took prefillMillis.
type sample struct {
	run            string
	at             time.Time
	tokens, millis float64
	load           meanLoad
}

// expectedMillis returns how long the tokens take at the common pace.
func (s sample) expectedMillis(common *curve) float64 {
	return s.tokens*common.at(s.load.runs, s.load.memoryTokens) + s.load.prefillMillis
}

// New returns a pace without estimates.
func New() *Pace { return &Pace{engines: make(map[string]*engine), runs: make(map[string]*run)} }

// Place records that a run was placed on its engine.
func (p *Pace) Place(now time.Time, placed Run) {
	if _, ok := p.runs[placed.ID]; ok {
		return
	}
	e, ok := p.engines[placed.Engine]
	if !ok {
		e = &engine{factor: 1, halfLife: initialHalfLife}
		p.engines[placed.Engine] = e
	}
	r := &run{id: placed.ID, engine: e, memoryTokens: placed.MemoryTokens}
	p.runs[placed.ID] = r
	e.placed++
	e.placedTokens += r.memoryTokens
	if placed.Tokens > 0 && placed.Millis > 0 {
		r.millisPerToken = float64(placed.Millis) / float64(placed.Tokens)
		r.reportedAt = now.Add(-time.Duration(placed.AgeMillis) * time.Millisecond)
		p.unsettled = append(p.unsettled, r)
	}
}

// Begin records that a run has begun to decode.
func (p *Pace) Begin(now time.Time, id string) {
	r, ok := p.runs[id]
	if !ok || r.decoding {
		return
	}
	r.decoding = true
	r.engine.load.add(now, 1, r.memoryTokens)
	r.mark = r.engine.load
}

// End records the end of a run. The engine's estimate remains. With a zero time the run counts until the last change of
// the engine's load.
func (p *Pace) End(now time.Time, id string) {
	r, ok := p.runs[id]
	if !ok {
		return
	}
	delete(p.runs, id)
	e := r.engine
	e.placed--
	e.placedTokens -= r.memoryTokens
	if r.decoding {
		if now.IsZero() {
			now = e.load.at
		}
		e.load.add(now, -1, -r.memoryTokens)
	}
	if e.gapRun == r {
		e.gapRun = nil
	}
}

// RecordPrefill records a prefill of the engine beside its runs that takes so long at the common speed.
func (p *Pace) RecordPrefill(id string, millis float64) {
	if e, ok := p.engines[id]; ok {
		e.load.prefillMillis += millis
	}
}

// Remove removes an engine that is no longer listed, or was restarted. Its runs must have ended.
func (p *Pace) Remove(id string) { delete(p.engines, id) }

// Record records a report on a run. It returns false if the report is no measurement.
func (p *Pace) Record(now time.Time, report Report) bool {
	r, ok := p.runs[report.Run]
	if !ok || !r.decoding {
		return false
	}
	tokens, millis := report.Tokens, report.Millis
	if report.Total {
		tokens, millis = tokens-r.totalTokens, millis-r.totalMillis
		if r.totalMillis > 0 && millis < minPartMillis {
			return false
		}
		r.totalTokens, r.totalMillis = report.Tokens, report.Millis
		if r.departed {
			return false
		}
	} else {
		r.departed = true
	}
	millis -= report.OwnDelayMillis
	if tokens <= 0 || millis <= 0 {
		return false
	}
	r.engine.load.advance(now)
	mean := r.engine.load.since(r.mark)
	// The part that a report covers may be shorter than the time since the last report.
	mean.prefillMillis *= math.Min(1, float64(millis)/math.Max(mean.spanMillis, 1))
	r.mark = r.engine.load
	r.reportedAt = now
	r.millisPerToken = float64(millis) / float64(tokens)
	if report.Total || p.common.count == 0 {
		// Runs on slow engines are reported more often, and would make their pace the common one.
		p.common.add(mean.runs, mean.memoryTokens, (float64(millis)-mean.prefillMillis)/float64(tokens))
	}
	p.sample(r, sample{at: now, tokens: float64(tokens), millis: float64(millis), load: mean})
	return true
}

// RecordGap records that a stream waited longer for an event than it may. It is a measurement only if two streams of the
// engine did at the same time: one may have lost a packet. tokens are those of one event.
func (p *Pace) RecordGap(now time.Time, id string, tokens, millis int64) bool {
	r, ok := p.runs[id]
	if !ok || !r.decoding || p.common.count == 0 || tokens <= 0 {
		return false
	}
	e := r.engine
	other, at := e.gapRun, e.gapAt
	e.gapRun, e.gapAt = r, now
	if other == nil || other == r || now.Sub(at) > gapSpan {
		return false
	}
	e.load.advance(now)
	mean := e.load.since(r.mark)
	mean.prefillMillis *= math.Min(1, float64(millis)/math.Max(mean.spanMillis, 1))
	for _, late := range []*run{other, r} {
		p.sample(late, sample{at: now, tokens: float64(tokens), millis: float64(millis), load: mean})
	}
	return true
}

// Restart discards the estimates of a daemon that has become the leader: it knew only its own runs, so that engines
// seemed slow for their load. What its runs measured is used again by Settle.
func (p *Pace) Restart() {
	p.common = curve{}
	p.unsettled = p.unsettled[:0]
	for _, e := range p.engines {
		e.samples, e.factor, e.at, e.halfLife = nil, 1, time.Time{}, initialHalfLife
	}
	for _, r := range p.runs {
		if r.millisPerToken > 0 {
			p.unsettled = append(p.unsettled, r)
		}
	}
}

// Settle uses the pace of the runs that were measured while the engines' load was not known, with the present load. It
// returns the ids of the engines that are slow afterwards.
func (p *Pace) Settle(now time.Time) []string {
	if len(p.unsettled) == 0 {
		return nil
	}
	runs := slices.DeleteFunc(p.unsettled, func(r *run) bool { return p.runs[r.id] != r || !r.decoding })
	p.unsettled = nil
	if len(runs) == 0 {
		return nil
	}
	slices.SortFunc(runs, func(x, y *run) int { return cmp.Compare(x.millisPerToken, y.millisPerToken) })
	median := runs[len(runs)/2].millisPerToken
	// The order of the ids is that of no pace, so that the latest of them stand for all.
	slices.SortFunc(runs, func(x, y *run) int { return cmp.Compare(x.id, y.id) })
	for _, r := range runs {
		p.common.addExpected(float64(r.engine.load.runs), r.engine.load.memoryTokens, r.millisPerToken, median)
	}
	for _, r := range runs {
		if now.Sub(r.reportedAt) < sampleValidity {
			p.sample(r, sample{
				at: r.reportedAt, tokens: maxSampleMillis / r.millisPerToken, millis: maxSampleMillis,
				load: meanLoad{runs: float64(r.engine.load.runs), memoryTokens: r.engine.load.memoryTokens},
			})
		}
	}
	var slow []string
	for id, e := range p.engines {
		if e.isSlow() {
			slow = append(slow, id)
		}
	}
	slices.Sort(slow)
	return slow
}

// sample records a measurement of one run, which replaces an earlier one of the same run, and estimates the engine anew.
func (p *Pace) sample(r *run, added sample) {
	if added.expectedMillis(&p.common) <= 0 {
		return
	}
	e, now := r.engine, added.at
	added.run = r.id
	e.samples = slices.DeleteFunc(e.samples, func(s sample) bool {
		return s.run == r.id || now.Sub(s.at) > sampleValidity
	})
	if len(e.samples) == maxSamples {
		e.samples = slices.Delete(e.samples, 0, 1)
	}
	e.samples = append(e.samples, added)
	before, wasTrial := e.factorAt(now), e.isSlow() && now.Sub(e.at) > freshSpan
	confidence := math.Min(1, float64(len(e.samples))/minSamples)
	e.factor = before + (p.medianFactor(now, e.samples)-before)*confidence
	if now.After(e.at) {
		e.at = now
	}
	switch {
	case !e.isSlow():
		e.halfLife = initialHalfLife
	case wasTrial:
		e.halfLife = min(2*e.halfLife, maxHalfLife)
	}
}

// medianFactor returns the median of the samples' factors to the common pace, weighted by age and by how much was
// measured.
func (p *Pace) medianFactor(now time.Time, samples []sample) float64 {
	type weighted struct{ factor, weight float64 }
	ordered, total := make([]weighted, 0, maxSamples), 0.0
	for _, s := range samples {
		factor := s.millis / math.Max(s.expectedMillis(&p.common), 1)
		age := float64(now.Sub(s.at)) / float64(sampleHalfLife)
		w := weighted{
			factor: math.Min(math.Max(factor, minFactor), maxFactor),
			weight: math.Min(s.millis, maxSampleMillis) * math.Exp2(-age),
		}
		ordered, total = append(ordered, w), total+w.weight
	}
	slices.SortFunc(ordered, func(x, y weighted) int { return cmp.Compare(x.factor, y.factor) })
	sum := 0.0
	for _, w := range ordered {
		if sum += w.weight; sum >= total/2 {
			return w.factor
		}
	}
	return ordered[len(ordered)-1].factor
}

// factorAt returns the engine's factor at a time: an old estimate tends to the common pace.
func (e *engine) factorAt(now time.Time) float64 {
	age := now.Sub(e.at) - freshSpan
	if age <= 0 {
		return e.factor
	}
	return 1 + (e.factor-1)*math.Exp2(-float64(age)/float64(e.halfLife))
}

// isSlow reports whether the engine was slow when it was last measured.
func (e *engine) isSlow() bool { return e.factor >= slowFactor }

// IsSlow reports whether the engine was slow when it was last measured.
func (p *Pace) IsSlow(id string) bool {
	e, ok := p.engines[id]
	return ok && e.isSlow()
}

// Factor returns how much slower the engine is than the common pace.
func (p *Pace) Factor(now time.Time, id string) float64 {
	if e, ok := p.engines[id]; ok {
		return e.factorAt(now)
	}
	return 1
}

// CommonMillis returns the common time for a token on an engine with so many runs and so much memory; 0 while too little
// was measured.
func (p *Pace) CommonMillis(runs int, memoryTokens float64) float64 {
	if p.common.count < minMeasurements {
		return 0
	}
	return p.common.at(float64(runs), memoryTokens)
}

// TokenMillis returns the time for a token on the engine with the further load; 0 while too little was measured. keeps reports whether it
// stays below the limit. An engine that was slow and whose estimate is old keeps it if the estimate has decayed enough,
// but only for one run: its report shows whether the engine has recovered.
func (p *Pace) TokenMillis(now time.Time, id string, further Load, limitMillis float64) (millis float64, keeps bool) {
	e, ok := p.engines[id]
	if !ok {
		millis = p.CommonMillis(further.Runs, further.MemoryTokens)
		return millis, millis <= limitMillis
	}
	common := p.CommonMillis(max(e.placed+further.Runs, 1), e.placedTokens+further.MemoryTokens)
	millis = common * e.factorAt(now)
	if common*e.factor <= limitMillis || e.factor < 1 {
		return millis, millis <= limitMillis
	}
	return millis, millis <= limitMillis && e.placed == 0
}

// Estimates returns the estimates of all engines, in no order.
func (p *Pace) Estimates(now time.Time) []turmericwall.EnginePace {
	var list []turmericwall.EnginePace
	for id, e := range p.engines {
		if e.at.IsZero() {
			continue
		}
		factor := e.factorAt(now)
		list = append(list, turmericwall.EnginePace{
			Engine: id, Runs: e.placed, Percent: int64(math.Round(100 * factor)),
			TokenMicros: int64(1000 * factor * p.common.at(float64(max(e.placed, 1)), e.placedTokens)),
			AgeMillis:   now.Sub(e.at).Milliseconds(), Slow: e.isSlow(),
		})
	}
	return list
}
