// Package twconcurrency decides which calls of a plain service are sent while more arrive than its upstreams carry, so that
// those that are sent are answered in time.
//
// It is for a few upstreams with a queue, which hundreds of daemons share with less than one call each under way. The
// concurrency limit of an upstream is what it answers within the goal, a share of the target. The limit applies to the sum
// over all daemons, as the leader's heartbeats state it, and each daemon admits the same share of its own calls.
package twconcurrency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// goalShare is the share of the target that an admitted call may take: with half of it, what arrives by chance between
	// two heartbeats is still answered in time.
	goalShare = 0.45
	// horizon is the time within which a queue is brought to the goal. What a daemon knows is one to two heartbeat intervals
	// old; a shorter horizon overshoots.
	horizon = 400 * time.Millisecond
	// carriedWindow is the time constant with which an earlier, higher rate of answers is forgotten.
	carriedWindow = 3 * time.Second
	// balanceFactor times the arrivals is the rate below which the calls are shared out by what the upstreams carry. Daemons
	// that choose by what they know of the same heartbeat would all choose the same upstream, which they overload then.
	balanceFactor = 1.5
	// freeFactor times the slots is the number of calls under way up to which an upstream has next to no queue: some of them
	// are on the network.
	freeFactor = 1.5
	// countDeviations standard deviations of the arrivals, which are counted over about countSpan, is by how much they must
	// exceed the rate for a limit to begin.
	countDeviations = 2
	countSpan       = 800 * time.Millisecond
	// tolerance is the share of the arrivals above which a limit ends.
	tolerance = 0.92
	// refusedShare of the calls refused by the upstream itself means that its own queue is full.
	refusedShare = 0.02
	// maxCredit bounds the admissions that were not used.
	maxCredit = 2
	// shareMemory is the time constant with which earlier choices of upstreams are forgotten.
	shareMemory = 200 * time.Millisecond
	// correctionSpan is how long a rate that corrects a queue is used without another heartbeat: two heartbeat intervals.
	correctionSpan = 500 * time.Millisecond
	// unseenShare of what an upstream carries is sent after that.
	unseenShare = 0.9
	// boundedRetention is how long after a refusal by an upstream that answers in time its service counts as one whose upstreams
	// bound their queues themselves.
	boundedRetention = 10 * time.Second
	// loadRetention is how long what the daemons observed is used.
	loadRetention = 2 * time.Second
	// minRetryDelay and minRetrySpan are the least time until a refused call may come back and the least span over which
	// refused calls are spread: one heartbeat interval. returnShare is the share of the time left that callers wait.
	minRetryDelay = 50 * time.Millisecond
	minRetrySpan  = 250 * time.Millisecond
	returnShare   = 1. / 3
)

// Reason is why a call is refused.
type Reason string

// The reasons for which a call is refused.
const (
	// ReasonLimit means that the upstreams are at their limits.
	ReasonLimit Reason = "limit"
	// ReasonLate means that they are, and that the call can't be on time.
	ReasonLate Reason = "late"
)

// Config holds the settings of a limiter.
type Config struct {
	// TargetMillis returns the shortest target of the routes of a service; 0 if there is none.
	TargetMillis func(service string) int64
	// Random returns a number in [0, 1).
	Random func() float64
}

// Call is what the limiter has to know of a call.
type Call struct {
	Service string
	// TargetMillis is the target of the call's route.
	TargetMillis int64
	// TargetAt is when the answer is expected, and Deadline when the caller stops waiting.
	TargetAt, Deadline time.Time
}

// IsLate reports whether the call can't be answered in time any more while the upstreams are at their limits.
func (c Call) IsLate(now time.Time) bool {
	return c.TargetAt.Before(now.Add(time.Duration(goalShare * float64(c.TargetMillis) * float64(time.Millisecond))))
}

// Decision is what is done with a call.
type Decision struct {
	// Limited is set if the service is at its limit.
	Limited bool
	// Admitted is set if the call is sent to Upstream. If neither is set, the call may be sent to any upstream.
	Admitted bool
	Upstream turmericwall.Upstream
	// Reason and RetryAt are those of a refusal.
	Reason  Reason
	RetryAt time.Time
	// The inputs: the calls per second that arrive and that are admitted, the calls under way and their limit, and the
	// expected answer time.
	Arrivals, Admissions float64
	Open, Limit          int
	ExpectedMillis       int64
}

// Status is the state of one upstream's limit.
type Status struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// Limit and Open are the limit and the number of calls under way, of all daemons. PerSecond is the rate at which all
	// daemons together may send.
	Limit     int     `json:"limit"`
	Open      int     `json:"open"`
	PerSecond float64 `json:"perSecond"`
	// Refusals is the rate of calls that the upstream itself refused.
	Refusals float64 `json:"refusals,omitempty"`
	// AnswerMillis is the mean answer time, and UnansweredMillis for how long calls have been unanswered.
	AnswerMillis     float64 `json:"answerMillis"`
	UnansweredMillis int64   `json:"unansweredMillis,omitempty"`
	// Limited is set if fewer calls are admitted to the service than arrive.
	Limited bool `json:"limited"`
	// Refused counts the calls of the service that this daemon refused, by the reason.
	Refused map[Reason]int64 `json:"refused,omitempty"`
	// AgeMillis is the age of these numbers.
	AgeMillis int64 `json:"ageMillis"`
}

// Limiter has the state of all services. Its callers pass the time.
type Limiter struct {
	config   Config
	mu       sync.Mutex
	services map[string]*service
	// refused counts the refused calls of each service, by the reason.
	refused map[string]map[Reason]int64
}

// service is the state of one service.
type service struct {
	// sentAt is when the leader sent the observations, and observedAt their mean time.
	sentAt, observedAt time.Time
	arrivals, late     float64
	// goal is the answer time in seconds that the limits aim at; 0 if the service has no target.
	goal      float64
	upstreams map[turmericwall.UpstreamKey]*upstream
	// credit and lateCredit are the numbers of calls that may be admitted: those that can be answered in time, and others.
	credit, lateCredit float64
	// refusedAt is when an upstream that answers in time was last seen to refuse calls itself; zero if that was never.
	refusedAt time.Time
	// limited is set if the last call met the limit, and balanced if the limiter chose its upstream.
	limited, balanced bool
	// limitedElsewhere is set if the service's calls met its limit at any daemon.
	limitedElsewhere bool
	// chosenAt is when an upstream was last chosen.
	chosenAt time.Time
}

// upstream is the state of one upstream. Rates are in calls per second of all daemons.
type upstream struct {
	load turmericwall.UpstreamLoad
	// slots are those of the upstream; 0 before a call could be sent there.
	slots float64
	// sent is the rate at which calls were sent since the observation, and carried the highest rate of answers lately.
	sent, carried float64
	// rate is the rate at which calls may be sent until the next heartbeat is due, and carries the one after that; open is the
	// number under way as far as can be told, and limit its limit.
	rate, carries, open, limit float64
	// share is the number of calls that it should have got lately and didn't.
	share float64
}

// New returns a limiter without any limit.
func New(config Config) *Limiter {
	return &Limiter{config: config, services: make(map[string]*service), refused: make(map[string]map[Reason]int64)}
}

// Apply applies what all daemons together observed, as the leader sent it at the time.
func (l *Limiter) Apply(sentAt time.Time, loads []turmericwall.ServiceLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.services {
		if sentAt.Sub(s.sentAt) > loadRetention {
			delete(l.services, name)
		}
	}
	for _, load := range loads {
		if load.Partial {
			continue
		}
		s, ok := l.services[load.Service]
		if !ok {
			s = &service{}
			l.services[load.Service] = s
		}
		if sentAt.Before(s.sentAt) {
			continue
		}
		s.goal = goalShare * float64(l.config.TargetMillis(load.Service)) / 1000
		s.apply(sentAt, load)
	}
}

func (s *service) apply(sentAt time.Time, load turmericwall.ServiceLoad) {
	forgotten := math.Exp(-max(sentAt.Sub(s.sentAt), 0).Seconds() / carriedWindow.Seconds())
	s.sentAt = sentAt
	s.observedAt = sentAt.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	s.limitedElsewhere = load.Limited
	s.arrivals, s.late = load.Arrivals, min(load.LateArrivals, load.Arrivals)
	before := s.upstreams
	s.upstreams = make(map[turmericwall.UpstreamKey]*upstream, len(load.Upstreams))
	answers, rates := 0.0, 0.0
	for _, u := range load.Upstreams {
		answers += u.Answers
	}
	s.recordRefusals(load)
	for _, u := range before {
		rates += u.rate
	}
	for _, u := range load.Upstreams {
		next := &upstream{load: u, carried: u.Answers}
		if answers > 0 {
			next.sent = load.Arrivals * u.Answers / answers
		}
		if old, ok := before[u.Key()]; ok {
			next.slots, next.share = old.slots, old.share
			next.carried = max(u.Answers, forgotten*old.carried)
			if s.limited {
				next.sent = old.rate
			} else if s.balanced {
				next.sent = load.Arrivals * old.rate / max(rates, 1)
			}
		}
		s.upstreams[u.Key()] = next
		next.evaluate(s.goal, s.sentAt.Sub(s.observedAt).Seconds())
	}
	for key, old := range before {
		if _, ok := s.upstreams[key]; !ok {
			s.upstreams[key] = &upstream{slots: old.slots, share: old.share}
		}
	}
}

// recordRefusals records whether the upstreams bound their queues themselves: some refuse calls, and all that answer do so within
// the target. A limit that works has answers in time too, so that nothing is recorded then.
func (s *service) recordRefusals(load turmericwall.ServiceLoad) {
	refused := false
	for _, u := range load.Upstreams {
		if u.Answers > 0 && u.AnswerMillis/1000 > s.goal/goalShare {
			s.refusedAt = time.Time{}
			return
		}
		refused = refused || u.Refusals > refusedShare*u.Answers
	}
	if refused && !s.limited && !s.limitedElsewhere {
		s.refusedAt = s.sentAt
	}
}

// Admit decides on a call, which can be sent to the upstreams for which isOpen reports true. upstreams are all of the
// service. arrived is set for the first send of a call.
func (l *Limiter) Admit(
	now time.Time, call Call, upstreams []turmericwall.Upstream, arrived bool, isOpen func(turmericwall.Upstream) bool,
) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[call.Service]
	if !ok || s.goal <= 0 || len(upstreams) > turmericwall.MaxLoadEntries || now.Sub(s.sentAt) > loadRetention {
		return Decision{}
	}
	if now.Sub(s.sentAt) > correctionSpan {
		if !s.limited {
			return Decision{}
		}
		// The queues have shrunk or grown to their goal, and must not grow while nobody sees them.
		for _, u := range s.upstreams {
			u.rate = unseenShare * u.carried
		}
	}
	candidates, d, queued := s.evaluate(upstreams, isOpen)
	if len(candidates) == 0 || d.Admissions >= balanceFactor*s.arrivals {
		s.limited, s.balanced = false, false
		return Decision{}
	}
	s.balanced = true
	if !s.exceeds(d.Admissions, queued) {
		s.limited = false
		d.Admitted, d.Upstream = true, s.next(now, candidates, d.Admissions, l.config.Random())
		return d
	}
	if !s.limited {
		// Daemons with few calls a second would else admit their first ones all at once.
		s.limited, s.credit, s.lateCredit = true, l.config.Random(), l.config.Random()
	}
	d.Limited = true
	// Calls that can be answered in time get all admissions, and the others what these leave.
	credit, share, reason := &s.credit, d.Admissions/max(s.arrivals-s.late, 1e-9), ReasonLimit
	if call.IsLate(now) {
		credit, share, reason = &s.lateCredit, (d.Admissions-s.arrivals+s.late)/max(s.late, 1e-9), ReasonLate
	}
	if arrived {
		*credit = min(*credit+min(max(share, 0), 1), maxCredit)
	}
	if *credit < 1 {
		d.Reason, d.RetryAt = reason, l.retryAt(now, call, d, s.goal)
		if l.refused[call.Service] == nil {
			l.refused[call.Service] = make(map[Reason]int64)
		}
		l.refused[call.Service][reason]++
		return d
	}
	*credit--
	d.Admitted, d.Upstream = true, s.next(now, candidates, d.Admissions, l.config.Random())
	return d
}

// exceeds reports whether fewer calls are admitted than arrive. A limit begins only once all upstreams have more calls under way
// than their limits: until then calls are answered in time. It begins at all daemons together, because one that has few calls
// may see none of the queues that the others' limits shorten.
//
// Upstreams that refuse calls and answer the others in time bound their queues themselves. A limit before them would refuse calls
// that they serve, most of them late ones whose callers still wait.
func (s *service) exceeds(admissions float64, queued bool) bool {
	if !s.refusedAt.IsZero() && s.sentAt.Sub(s.refusedAt) < boundedRetention {
		return false
	}
	if s.limited || s.limitedElsewhere {
		return admissions < tolerance*s.arrivals
	}
	return queued && admissions < s.arrivals-countDeviations*math.Sqrt(s.arrivals/countSpan.Seconds())
}

// Return takes an admission back that was not used.
func (l *Limiter) Return(now time.Time, call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[call.Service]
	switch {
	case !ok:
	case call.IsLate(now):
		s.lateCredit = min(s.lateCredit+1, maxCredit)
	default:
		s.credit = min(s.credit+1, maxCredit)
	}
}

// IsLimited reports whether the service was at its limit for the last call.
func (l *Limiter) IsLimited(now time.Time, serviceName string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[serviceName]
	return ok && s.limited && now.Sub(s.sentAt) <= loadRetention
}

// evaluate returns the upstreams that can get calls, and the sums over them. queued is set if all that
// answer have at least as many calls under way as their limits.
func (s *service) evaluate(
	upstreams []turmericwall.Upstream, isOpen func(turmericwall.Upstream) bool,
) (candidates []turmericwall.Upstream, d Decision, queued bool) {
	queued = true
	d.Arrivals = s.arrivals
	expected, known := 0.0, 0
	var unknown []*upstream
	maps.DeleteFunc(s.upstreams, func(key turmericwall.UpstreamKey, _ *upstream) bool {
		return !slices.ContainsFunc(upstreams, func(u turmericwall.Upstream) bool { return u.Key() == key })
	})
	for _, u := range upstreams {
		if !isOpen(u) {
			continue
		}
		state, ok := s.upstreams[u.Key()]
		if !ok {
			state = &upstream{}
			s.upstreams[u.Key()] = state
		}
		state.slots = float64(max(u.Slots, 1))
		candidates = append(candidates, u)
		if state.load.Answers <= 0 {
			unknown = append(unknown, state)
			continue
		}
		if state.limit == 0 {
			state.evaluate(s.goal, s.sentAt.Sub(s.observedAt).Seconds())
		}
		d.Admissions += state.rate
		queued = queued && state.open >= state.limit
		d.Open += state.load.Open
		d.Limit += int(state.limit)
		if millis := 1000 * state.open / state.load.Answers; known == 0 || millis < expected {
			expected = millis
		}
		known++
	}
	d.ExpectedMillis = int64(expected)
	if known == 0 {
		return nil, d, false
	}
	// An upstream without answers, such as a new one, is assumed to carry as much as the others do on average.
	for _, state := range unknown {
		state.rate = d.Admissions / float64(known)
	}
	d.Admissions += d.Admissions / float64(known) * float64(len(unknown))
	return candidates, d, queued
}

// evaluate computes the upstream's limit and rate. goal is in seconds, and age that of the observation.
func (u *upstream) evaluate(goal, age float64) {
	if u.slots == 0 {
		return
	}
	answers, seconds := u.load.Answers, max(u.load.AnswerMillis, 1)/1000
	u.carries = max(answers, u.carried)
	free := float64(u.load.Open) <= freeFactor*u.slots
	if free {
		// There is no queue, so that the answer time is what a call takes by itself.
		u.carries = max(u.carries, u.slots/seconds)
	}
	if free && seconds < goal {
		// What was sent was not too much. The answers show a queue of calls that daemons of the previous release sent.
		u.carries = max(u.carries, u.sent)
	}
	u.open = max(float64(u.load.Open)+(u.sent-u.carries)*age, 0)
	u.limit = max(goal*u.carries, u.slots)
	// While few calls are under way, the answers don't show what the upstream carries.
	idle := max(1-u.open/u.limit, 0)
	u.rate = max(answers+idle*(u.carries-answers)+(u.limit-u.open)/horizon.Seconds(), 0)
	if !free && u.load.Refusals > refusedShare*answers {
		u.rate = min(u.rate, answers)
	}
}

// next returns an upstream at random, in the proportion of what each has not got of its share lately. Without the memory the
// upstreams' queues would differ by chance; one that lasted longer would follow a change of the rates only after many calls,
// and a daemon may have less than one a second.
func (s *service) next(
	now time.Time, candidates []turmericwall.Upstream, admissions float64, random float64,
) turmericwall.Upstream {
	kept := math.Exp(-max(now.Sub(s.chosenAt), 0).Seconds() / shareMemory.Seconds())
	s.chosenAt = now
	sum := 0.0
	for _, u := range candidates {
		state := s.upstreams[u.Key()]
		state.share = kept*state.share + state.rate/max(admissions, 1e-9)
		sum += max(state.share, 0)
	}
	chosen := candidates[len(candidates)-1]
	left := random * sum
	for _, u := range candidates {
		if left -= max(s.upstreams[u.Key()].share, 0); left < 0 {
			chosen = u
			break
		}
	}
	s.upstreams[chosen.Key()].share--
	return chosen
}

// retryAt returns when a refused call may come back. The calls that are refused now are spread over the time after the queue
// has shrunk to the goal, as far as callers wait.
func (l *Limiter) retryAt(now time.Time, call Call, d Decision, goal float64) time.Time {
	shrinks := time.Duration((float64(d.ExpectedMillis)/1000 - goal) * float64(time.Second))
	delay := max(shrinks, minRetryDelay)
	span := time.Duration(float64(minRetrySpan) * min(d.Arrivals/max(d.Admissions, 1), 4))
	if latest := time.Duration(returnShare * float64(call.Deadline.Sub(now))); delay+span > latest {
		span = max(latest-minRetryDelay, 0)
		delay = minRetryDelay
	}
	return now.Add(delay + time.Duration(l.config.Random()*float64(span)))
}

// Status returns the state of all limits, in the order of services and upstreams.
func (l *Limiter) Status(now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Status
	for _, name := range slices.Sorted(maps.Keys(l.services)) {
		s := l.services[name]
		if now.Sub(s.sentAt) > loadRetention {
			continue
		}
		for key, u := range s.upstreams {
			list = append(list, Status{
				Service: name, ID: key.ID, Limit: int(u.limit), Open: u.load.Open, PerSecond: u.rate, Refusals: u.load.Refusals,
				AnswerMillis: u.load.AnswerMillis, UnansweredMillis: u.load.UnansweredMillis, Limited: s.limited,
				Refused: maps.Clone(l.refused[name]), AgeMillis: now.Sub(s.observedAt).Milliseconds(),
			})
		}
	}
	slices.SortStableFunc(list, func(a, b Status) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return list
}
