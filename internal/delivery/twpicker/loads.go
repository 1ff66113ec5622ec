package twpicker

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twloads"
)

const (
	// loadWindow is the time constant of the rates that daemons share: longer than a heartbeat interval, and short enough
	// for bursts of some seconds.
	loadWindow = 400 * time.Millisecond
	// A service is reported while an upstream's answers take pressedTargetShare of the target and pressedFactor times the
	// base, which is what they take without load.
	pressedTargetShare = 0.25
	pressedFactor      = 2
	// pressedSpan is how long one slow answer or refusal has a service reported: two heartbeats.
	pressedSpan = 500 * time.Millisecond
	// baseWindow is the time constant with which the base follows answers that are slower than it.
	baseWindow = time.Minute
	// sharedRetention is how long what other daemons observed is used.
	sharedRetention = 2 * time.Second
)

// serviceStats is what is counted of a service.
type serviceStats struct {
	arrivals, lateArrivals decayed
	// listedAt is when another daemon's observation of the service was last received.
	listedAt time.Time
	// limitedAt is when a call last met the service's limit.
	limitedAt time.Time
}

// observed is what is counted of an upstream for other daemons.
type observed struct {
	service string
	// answers, millis and refusals count answers, their time and refusals.
	answers, millis, refusals decayed
	// baseMillis is the answer time without load; 0 before the first answer.
	baseMillis float64
	// pressedAt is when the upstream last answered slowly or refused a call.
	pressedAt time.Time
}

// shared is what all daemons together observed of an upstream.
type shared struct {
	// at is when that was, as far as this daemon can tell.
	at time.Time
	// unanswered calls have waited since the last answer, the longest of them for the span.
	unanswered int
	span       time.Duration
	// silentSince is when this daemon learnt that the upstream is silent for others; zero if it isn't.
	silentSince time.Time
}

// decayed is a count that decays with loadWindow.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(now time.Time, n float64) { d.sum, d.at = d.value(now)+n, now }

func (d *decayed) value(now time.Time) float64 {
	return d.sum * math.Exp(-max(now.Sub(d.at), 0).Seconds()/loadWindow.Seconds())
}

func (d *decayed) perSecond(now time.Time) float64 {
	return math.Round(100*d.value(now)/loadWindow.Seconds()) / 100
}

// RecordArrival counts a call of the service. late is set if it can't be answered in time any more at the limit.
func (p *Picker) RecordArrival(now time.Time, service string, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.serviceOf(service)
	s.arrivals.add(now, 1)
	if late {
		s.lateArrivals.add(now, 1)
	}
}

// RecordLimited records that a call met the limit of its service. A limit that works leaves no slow answers by which the
// service would be reported.
func (p *Picker) RecordLimited(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serviceOf(service).limitedAt = now
}

func (p *Picker) serviceOf(name string) *serviceStats {
	s, ok := p.services[name]
	if !ok {
		s = &serviceStats{}
		p.services[name] = s
	}
	return s
}

// Loads returns what this daemon observed of the services that have problems, and of those of which other daemons
// reported some; nil if there are none.
func (p *Picker) Loads(now time.Time) []turmericwall.ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[string]*turmericwall.ServiceLoad)
	for _, r := range p.stats {
		if r.isPressed(now) {
			loads[r.observed.service] = &turmericwall.ServiceLoad{Service: r.observed.service, Pressed: true}
		}
	}
	for service, s := range p.services {
		load := loads[service]
		limited := now.Sub(s.limitedAt) < pressedSpan
		if load == nil && limited {
			load = &turmericwall.ServiceLoad{Service: service, Pressed: true}
			loads[service] = load
		}
		if load == nil && now.Sub(s.listedAt) < sharedRetention {
			load = &turmericwall.ServiceLoad{Service: service}
			loads[service] = load
		}
		if load != nil {
			load.Limited = limited
			load.Arrivals, load.LateArrivals = s.arrivals.perSecond(now), s.lateArrivals.perSecond(now)
		}
	}
	if len(loads) == 0 {
		return nil
	}
	for key, r := range p.stats {
		load := loads[r.observed.service]
		if load == nil {
			continue
		}
		if u := r.load(now, key); u.Open > 0 || u.Answers > 0 || u.Refusals > 0 || u.Unanswered > 0 {
			load.Upstreams = append(load.Upstreams, u)
		}
	}
	list := make([]turmericwall.ServiceLoad, 0, len(loads))
	for _, load := range loads {
		if load.Arrivals > 0 || len(load.Upstreams) > 0 {
			list = append(list, *load)
		}
	}
	return twloads.Bound(list)
}

// Silent returns the upstreams that have stopped answering, for this daemon or for all together.
func (p *Picker) Silent(now time.Time) []turmericwall.UpstreamKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []turmericwall.UpstreamKey
	for key, r := range p.stats {
		call := Call{TargetMillis: r.targetMillis}
		if p.isSilent(now, call, r) {
			list = append(list, key)
		}
	}
	return list
}

// ApplyLoads applies what all daemons together observed, as the leader sent it at the time. Upstreams of a service that
// isn't included are unknown.
func (p *Picker) ApplyLoads(sentAt time.Time, loads []turmericwall.ServiceLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range loads {
		s := p.serviceOf(service.Service)
		if sentAt.Before(s.listedAt) {
			continue
		}
		s.listedAt = sentAt
		for _, load := range service.Upstreams {
			u := turmericwall.Upstream{ID: load.ID, StartedMillis: load.StartedMillis, Service: service.Service}
			p.statsOf(u).applyLoad(sentAt, load)
		}
	}
}

func (r *upstreamStats) applyLoad(sentAt time.Time, load turmericwall.UpstreamLoad) {
	next := shared{
		at: sentAt, unanswered: load.Unanswered, span: time.Duration(load.UnansweredMillis) * time.Millisecond,
		silentSince: r.shared.silentSince,
	}
	if load.AnsweredMillis > 0 {
		r.silence.answeredElsewhere(sentAt.Add(-time.Duration(load.AnsweredMillis) * time.Millisecond))
	}
	if load.Unanswered < minUnanswered {
		next.silentSince = time.Time{}
	} else if next.silentSince.IsZero() {
		next.silentSince = sentAt
	}
	r.shared = next
}

// isSilentElsewhere reports whether the upstream has stopped answering as all daemons together observed it, judged by the
// span after which that is unusual.
func (r *upstreamStats) isSilentElsewhere(now time.Time, after time.Duration) bool {
	return now.Sub(r.shared.at) < sharedRetention && r.silence.answeredAt.Before(r.shared.at) &&
		r.shared.unanswered >= minUnanswered && r.shared.span >= after
}

// observeAnswer counts an answer, refused or not, for other daemons.
func (r *upstreamStats) observeAnswer(now time.Time, span time.Duration) {
	millis := float64(span.Milliseconds())
	r.observed.answers.add(now, 1)
	r.observed.millis.add(now, millis)
	if r.observed.baseMillis == 0 || millis < r.observed.baseMillis {
		r.observed.baseMillis = max(millis, 1)
	} else {
		r.observed.baseMillis += (1 - math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/baseWindow.Seconds())) *
			(millis - r.observed.baseMillis)
	}
	if millis >= max(pressedTargetShare*float64(r.targetMillis), pressedFactor*r.observed.baseMillis) {
		r.observed.pressedAt = now
	}
}

// isPressed reports whether this daemon has to report the upstream.
func (r *upstreamStats) isPressed(now time.Time) bool {
	return now.Sub(r.observed.pressedAt) < pressedSpan || r.silence.unanswered(now, r.silence.after) > 0
}

// load returns what other daemons get of the upstream.
func (r *upstreamStats) load(now time.Time, key turmericwall.UpstreamKey) turmericwall.UpstreamLoad {
	load := turmericwall.UpstreamLoad{
		ID: key.ID, StartedMillis: key.StartedMillis, Open: len(r.silence.open),
		Answers: r.observed.answers.perSecond(now), Refusals: r.observed.refusals.perSecond(now),
		Unanswered: r.silence.unanswered(now, r.silence.after),
	}
	if load.Answers > 0 {
		load.AnswerMillis = math.Round(10*r.observed.millis.value(now)/r.observed.answers.value(now)) / 10
	}
	if load.Unanswered > 0 {
		load.UnansweredMillis = r.silence.span(now).Milliseconds()
	}
	if age := now.Sub(r.silence.answeredAt); age < sharedRetention {
		load.AnsweredMillis = max(age.Milliseconds(), 1)
	}
	return load
}
