// Package twpicker picks the upstream of a plain service for each send of a call. It prefers the lowest expected answer
// time, ejects upstreams that fail repeatedly, and keeps calls off upstreams that have stopped answering.
package twpicker

import (
	"math"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// otherZonePenaltyMillis is added to the score of an upstream in another zone: about one round trip.
	otherZonePenaltyMillis = 9
	// initialAnswerMillis is the answer time assumed before the first answer.
	initialAnswerMillis = 15
	// newestWeight is the weight of the newest answer in the moving averages, which then cover about ten answers.
	newestWeight = 0.15
	// maxAverageAge is how long an average is used without a new answer, so that an upstream that was slow once is tried
	// again.
	maxAverageAge = 3 * time.Second
	// unknownShare is the share of the lowest average that is assumed of an upstream without a recent answer.
	unknownShare = 0.9
	// minEjectionMillis is the first ejection after failuresBeforeEjection failures; each further one doubles, up to
	// maxEjectionMillis.
	minEjectionMillis      = 700
	maxEjectionMillis      = 4000
	failuresBeforeEjection = 2
	// minSuccessRate keeps the score of a failing upstream finite.
	minSuccessRate = 0.05
)

// Picker tracks the results of recent calls to each upstream. Its callers pass the time.
//
// Upstreams that fail or hang while their health check passes can only be detected by the calls themselves. A failing
// upstream is ejected for a short time and then probed by a single call.
type Picker struct {
	config Config
	mu     sync.Mutex
	stats  map[turmericwall.UpstreamKey]*upstreamStats
	// services has what is counted of each service, by its name.
	services map[string]*serviceStats
}

// Config holds the settings of a picker.
type Config struct {
	// Zone is the data centre of the daemon.
	Zone string
	// FirstChoice selects the first choice among equal upstreams. Daemons must have different ones: each of hundreds of
	// daemons has so few calls that it knows no answer times, and all would pick the same upstream.
	FirstChoice uint64
	// Daemons returns the number of live daemons, which probe silent upstreams together; it may be nil.
	Daemons func() int
	// OwnDelay returns by how much this daemon may delay what it waits for; it may be nil.
	OwnDelay func() time.Duration
}

// Call is what the picker has to know of a call.
type Call struct {
	// TargetMillis is the time within which the answer is expected; 0 if the route has no target.
	TargetMillis int64
	// RunsOnce is set for a call that may run only once.
	RunsOnce bool
	// Avoid are the IDs of the upstreams that must not be picked.
	Avoid map[string]bool
}

type upstreamStats struct {
	openCalls int
	silence   silence
	observed  observed
	shared    shared
	// targetMillis is the target of the last call that was sent.
	targetMillis int64
	answerMillis float64
	// usualMillis is the average of the answers alone, without failures.
	usualMillis         float64
	failureRate         float64
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	updatedAt           time.Time
}

// New returns a picker that knows no results.
func New(config Config) *Picker {
	return &Picker{
		config: config, stats: make(map[turmericwall.UpstreamKey]*upstreamStats), services: make(map[string]*serviceStats),
	}
}

// Pick returns the upstream with the lowest expected answer time. Each pick must be ended by RecordAnswer,
// RecordFailure, ReleaseSent or ReleasePick. It returns ok=false when every upstream is leaving, to be avoided, or silent
// and not to be probed by this call.
func (p *Picker) Pick(
	now time.Time, call Call, upstreams []turmericwall.Upstream,
) (upstream turmericwall.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1
	bestScore := math.Inf(1)
	unknownMillis := p.unknownAnswerMillis(now, upstreams)
	for n := range upstreams {
		i := int((p.config.FirstChoice + uint64(n)) % uint64(len(upstreams)))
		u := upstreams[i]
		if u.Leaving || call.Avoid[u.ID] || p.isClosedTo(now, call, p.statsOf(u)) {
			continue
		}
		if score := p.score(now, call, u, unknownMillis); score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return turmericwall.Upstream{}, false
	}
	p.statsOf(upstreams[best]).openCalls++
	return upstreams[best], true
}

// IsOpenTo reports whether the call may be sent to the upstream: it is not leaving, to be avoided, silent or ejected.
func (p *Picker) IsOpenTo(now time.Time, call Call, u turmericwall.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(u)
	ejected := now.Before(r.ejectedUntil) || (r.ejections > 0 && r.openCalls > 0)
	return !u.Leaving && !call.Avoid[u.ID] && !ejected && !p.isSilent(now, call, r)
}

// PickProbe picks a silent upstream to which the call is to be sent as a probe; ok is false if there is none. It is ended as
// Pick is.
func (p *Picker) PickProbe(
	now time.Time, call Call, upstreams []turmericwall.Upstream,
) (upstream turmericwall.Upstream, ok bool) {
	if call.RunsOnce {
		return turmericwall.Upstream{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range upstreams {
		r := p.statsOf(u)
		if !u.Leaving && !call.Avoid[u.ID] && p.isSilent(now, call, r) && !p.isClosedTo(now, call, r) {
			r.openCalls++
			return u, true
		}
	}
	return turmericwall.Upstream{}, false
}

// Take picks the given upstream. It is ended as Pick is.
func (p *Picker) Take(u turmericwall.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statsOf(u).openCalls++
}

// MarkSent records that a picked call was sent at the time.
func (p *Picker) MarkSent(at time.Time, call Call, u turmericwall.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(u)
	r.targetMillis = int64(targetMillis(call))
	r.silence.send(at, r.silentAfter(call))
}

// RecordAnswer ends a pick whose upstream answered; good is false for an answer that reports a failure of the upstream.
func (p *Picker) RecordAnswer(now time.Time, u turmericwall.Upstream, span time.Duration, good bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(u)
	r.observeAnswer(now, span)
	r.recordAnswer(now, span, good)
}

func (r *upstreamStats) recordAnswer(now time.Time, span time.Duration, good bool) {
	r.openCalls--
	r.silence.answer(now.Add(-span), now)
	if good {
		r.usualMillis += newestWeight * (float64(span.Milliseconds()) - r.usualMillis)
	}
	if r.ejections > 0 && good {
		// The averages are from before the ejection and would keep a recovered upstream idle.
		r.answerMillis, r.failureRate = float64(span.Milliseconds()), 0
	}
	r.consecutiveFailures = 0
	r.ejections = 0
	r.ejectedUntil = time.Time{}
	r.update(now, float64(span.Milliseconds()), good)
}

// RecordRefusal ends a pick whose upstream refused the call unrun.
func (p *Picker) RecordRefusal(now time.Time, u turmericwall.Upstream, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(u)
	r.observed.refusals.add(now, 1)
	r.observed.pressedAt = now
	r.recordAnswer(now, span, false)
}

// RecordFailure ends a pick whose upstream gave no usable answer.
func (p *Picker) RecordFailure(now time.Time, u turmericwall.Upstream, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(u)
	r.openCalls--
	r.silence.end(now, now.Add(-span), p.minProbeGap())
	r.consecutiveFailures++
	r.update(now, float64(span.Milliseconds()), false)
	if r.consecutiveFailures < failuresBeforeEjection && r.ejections == 0 {
		return
	}
	ejectionMillis := min(minEjectionMillis<<r.ejections, maxEjectionMillis)
	r.ejections = min(r.ejections+1, 3)
	r.ejectedUntil = now.Add(time.Duration(ejectionMillis) * time.Millisecond)
}

// ReleaseSent ends a pick whose caller left, or whose call was answered by another upstream, the span after it was sent.
func (p *Picker) ReleaseSent(now time.Time, u turmericwall.Upstream, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(u)
	r.openCalls--
	r.silence.end(now, now.Add(-span), p.minProbeGap())
}

// ReleaseUnreached ends a pick of a call that didn't reach the upstream although it was begun to be sent the span ago, and
// that says nothing about the upstream.
func (p *Picker) ReleaseUnreached(now time.Time, u turmericwall.Upstream, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.statsOf(u)
	r.openCalls--
	r.silence.withdraw(now.Add(-span))
}

// ReleasePick ends a pick that says nothing about the upstream: the call was not sent.
func (p *Picker) ReleasePick(u turmericwall.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statsOf(u).openCalls--
}

// DiscardUnknown discards the statistics of incarnations that are no longer known and have no open calls.
func (p *Picker) DiscardUnknown(known func(turmericwall.UpstreamKey) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, r := range p.stats {
		if r.openCalls <= 0 && !known(key) {
			delete(p.stats, key)
		}
	}
}

// unknownAnswerMillis returns the answer time that is assumed of upstreams without a recent answer. It is below that of
// the others, because an upstream that was slow once would else never be tried again among fast ones.
func (p *Picker) unknownAnswerMillis(now time.Time, upstreams []turmericwall.Upstream) float64 {
	millis := float64(initialAnswerMillis)
	for _, u := range upstreams {
		if r, ok := p.stats[u.Key()]; ok && now.Sub(r.updatedAt) < maxAverageAge {
			millis = min(millis, unknownShare*max(r.answerMillis, 1))
		}
	}
	return millis
}

// score returns the expected answer time in milliseconds. Ejected upstreams score higher than all others, and so do
// upstreams whose ejection has expired while the probing call is open. unknownMillis is assumed of upstreams without a
// recent answer.
func (p *Picker) score(now time.Time, call Call, u turmericwall.Upstream, unknownMillis float64) float64 {
	r := p.statsOf(u)
	answerMillis := unknownMillis
	failureRate := 0.0
	if now.Sub(r.updatedAt) < maxAverageAge {
		answerMillis, failureRate = max(r.answerMillis, 1), r.failureRate
	}
	answerMillis = max(answerMillis, p.lowerBoundMillis(now, call, r))
	score := answerMillis * (1 + float64(r.openCalls)/float64(max(u.Slots, 1)))
	if u.Zone != p.config.Zone {
		score += otherZonePenaltyMillis
	}
	successRate := max(1-failureRate, minSuccessRate)
	score /= successRate * successRate
	if now.Before(r.ejectedUntil) {
		score += 1e6
	} else if r.ejections > 0 && r.openCalls > 0 {
		score += 1e5
	}
	return score
}

func (p *Picker) statsOf(u turmericwall.Upstream) *upstreamStats {
	r, ok := p.stats[u.Key()]
	if !ok {
		r = &upstreamStats{answerMillis: initialAnswerMillis, usualMillis: initialAnswerMillis}
		r.observed.service = u.Service
		p.stats[u.Key()] = r
	}
	return r
}

func (r *upstreamStats) update(now time.Time, millis float64, good bool) {
	failure := 1.0
	if good {
		failure = 0
	}
	r.answerMillis += newestWeight * (millis - r.answerMillis)
	r.failureRate += newestWeight * (failure - r.failureRate)
	r.updatedAt = now
}
