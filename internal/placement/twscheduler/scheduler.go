// Package twscheduler decides where prefill and decode run for one service's engines.
package twscheduler

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Times of the decisions.
const (
	// reservationSlack is how much later than expected an attempt may show up in the engine's report.
	reservationSlack = 3 * time.Second
	// releasedFor is how long a finished attempt may still stand in lagging reports.
	releasedFor = 2 * time.Second
	// sweepGrace is above the reports' lag: an attempt just granted elsewhere is not looked into.
	sweepGrace = 3 * time.Second
	sweepAgain = 5 * time.Second
	// maxEjectedShare caps how much of the pool failures may take out.
	maxEjectedShare = 1.0 / 3
	// deferrableHeadroom is the share of decode places that only urgent work may take.
	deferrableHeadroom = 0.15
	// deferrableQueue is how long a prefill queue may be for work that may wait to join it.
	deferrableQueue  = 100 * time.Millisecond
	maxReleased      = 1 << 16
	bytesPerMegabyte = 1e6
	minRetry         = 250 * time.Millisecond
	maxRetry         = 30 * time.Second
)

// Scheduler implements turmericwall.Policy: it reserves a decode place before it starts a prefill.
//
// An exported prefill is evicted in under a second and a decode engine is nearly full at the peak; a
// prefill started without a place is likely to be thrown away.
type Scheduler struct {
	blockTokens int
	links       map[zonePair]*link
	zones       *zoneLinks
	engines     map[string]*engine
	order       []*engine
	prefills    []*engine
	decodes     []*engine
	// turn is where the next decision starts to look, so that equal engines take turns.
	turn int
	// homes are the engines that count the attempt as an occupant.
	homes    map[string][]*engine
	queues   []*queue
	resumed  *queue
	released map[string]time.Time
	urgent   demand
	actions  []turmericwall.Action
}

// Config is what a scheduler knows beforehand.
type Config struct {
	// BlockTokens is the number of tokens in one block of an arrival's hashes.
	BlockTokens int
}

// New returns a scheduler that knows no engines.
func New(config Config) *Scheduler {
	return &Scheduler{
		blockTokens: config.BlockTokens,
		links:       make(map[zonePair]*link),
		zones:       newZoneLinks(),
		engines:     make(map[string]*engine),
		homes:       make(map[string][]*engine),
		released:    make(map[string]time.Time),
	}
}

// Step takes one event in and returns what follows from it. The actions are valid until the next step.
func (s *Scheduler) Step(now time.Time, event turmericwall.Event) []turmericwall.Action {
	s.actions = s.actions[:0]
	switch e := event.(type) {
	case turmericwall.Arrival:
		s.arrive(now, e)
	case turmericwall.Finished:
		s.finish(now, e.Ending)
	case turmericwall.Reported:
		s.reported(now, e)
	case turmericwall.Cached:
		if known, ok := s.engines[e.Engine]; ok {
			known.learn(now, e.Events)
		}
	case turmericwall.Listed:
		s.list(e.VMs)
		s.link(e.Links)
	case turmericwall.OwnerLost:
		s.ownerLost(now, e.Incarnation)
	case turmericwall.Withdrawn:
		s.withdraw(e.Attempt)
	case turmericwall.Tick:
		s.tick(now)
	}
	s.dispatch(now)
	return s.actions
}

// Waiting counts the arrivals that wait.
func (s *Scheduler) Waiting() int {
	waiting := 0
	for _, q := range s.queues {
		waiting += len(q.entries)
	}
	return waiting
}

func (s *Scheduler) act(a turmericwall.Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) arrive(now time.Time, a turmericwall.Arrival) {
	if a.Urgent {
		s.urgent.arrive(now, s.hold(a.MaxTokens))
	}
	q := s.queueOf(a)
	if len(q.entries) >= maxQueue {
		s.refuse(now, a, "the queue is full")
		return
	}
	if len(q.entries) == 0 {
		q.virtual = max(q.virtual, s.lowestVirtual())
	}
	q.push(&entry{arrival: a})
}

func (s *Scheduler) queueOf(a turmericwall.Arrival) *queue {
	c := classOf(a)
	for _, q := range s.queues {
		if q.class == c && q.model == a.Model && q.work == a.Work {
			return q
		}
	}
	q := &queue{work: a.Work, model: a.Model, class: c, virtual: s.lowestVirtual()}
	s.queues = append(s.queues, q)
	return q
}

func (s *Scheduler) lowestVirtual() float64 {
	lowest, found := 0.0, false
	for _, q := range s.queues {
		if len(q.entries) > 0 && (!found || q.virtual < lowest) {
			lowest, found = q.virtual, true
		}
	}
	return lowest
}

func (s *Scheduler) finish(now time.Time, ending turmericwall.Ending) {
	s.withdraw(ending.Attempt)
	for _, e := range s.homes[ending.Attempt] {
		e.vacate(ending.Attempt)
	}
	delete(s.homes, ending.Attempt)
	if len(s.released) < maxReleased {
		s.released[ending.Attempt] = now.Add(releasedFor)
	}
	if failed, ok := s.engines[ending.FailedEngine]; ok && s.mayEject() {
		failed.fail(now)
	}
}

// mayEject keeps failures of something shared, such as a link, from taking the whole pool out.
func (s *Scheduler) mayEject() bool {
	ejected := 0
	for _, e := range s.order {
		if e.failures > 0 {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(s.order))
}

func (s *Scheduler) list(vms []turmericwall.VM) {
	for _, e := range s.order {
		e.listed = false
	}
	for _, vm := range vms {
		e, ok := s.engines[vm.Name]
		if ok && e.vm.Address != vm.Address {
			// A replaced VM has nothing of what the one before it held.
			s.empty(e)
			ok = false
		}
		if !ok {
			e = newEngine(vm)
			s.engines[vm.Name] = e
		}
		e.vm = vm
		e.listed = true
	}
	s.order = s.order[:0]
	for name, e := range s.engines {
		if !e.listed {
			s.empty(e)
			delete(s.engines, name)
			continue
		}
		e.refresh()
		s.order = append(s.order, e)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].vm.Name < s.order[j].vm.Name })
	s.sortByRole()
}

// sortByRole spares a decision the engines of the other role.
func (s *Scheduler) sortByRole() {
	s.prefills, s.decodes = s.prefills[:0], s.decodes[:0]
	for _, e := range s.order {
		switch e.report.Role {
		case turmericwall.RolePrefill:
			s.prefills = append(s.prefills, e)
		case turmericwall.RoleDecode:
			s.decodes = append(s.decodes, e)
		}
	}
}

// link takes the declared links in; a known one keeps its bookings.
func (s *Scheduler) link(declared []turmericwall.Link) {
	known := s.links
	s.links = make(map[zonePair]*link, 2*len(declared))
	for _, d := range declared {
		l, ok := known[zonePair{d.From, d.To}]
		if !ok {
			l = &link{}
		}
		l.bytesPerSecond, l.costMillis = d.MegabytesPerSecond*bytesPerMegabyte, d.Cost
		s.links[zonePair{d.From, d.To}] = l
		s.links[zonePair{d.To, d.From}] = l
	}
	s.zones.rebuild(s.order, s.links)
}

func (s *Scheduler) reported(now time.Time, event turmericwall.Reported) {
	e, ok := s.engines[event.VM.Name]
	taken := now.Add(-time.Duration(event.Report.AgeMillis) * time.Millisecond)
	if !ok || taken.Before(e.reportTaken) {
		return
	}
	changed := e.report.Role != event.Report.Role
	e.report, e.reportTaken = event.Report, taken
	e.refresh()
	if changed {
		s.sortByRole()
	}
	e.silentDeadline = now.Add(silentAfter)
	e.recover(taken)
	e.rebase(taken)
	s.reconcile(now, e, taken)
}

// reconcile holds the engine's list of attempts against the occupants known here.
func (s *Scheduler) reconcile(now time.Time, e *engine, taken time.Time) {
	listed := make(map[string]bool, len(e.report.Attempts))
	for _, attempt := range e.report.Attempts {
		listed[attempt] = true
		s.sight(now, e, taken, attempt)
	}
	for attempt, o := range e.occupants {
		if o.reported && !listed[attempt] {
			s.vacate(e, attempt)
		}
	}
	s.expire(now, e)
}

func (s *Scheduler) occupy(e *engine, o *occupant) {
	e.occupy(o)
	s.homes[o.attempt] = append(s.homes[o.attempt], e)
}

func (s *Scheduler) vacate(e *engine, attempt string) {
	e.vacate(attempt)
	homes := slices.DeleteFunc(s.homes[attempt], func(home *engine) bool { return home == e })
	if len(homes) == 0 {
		delete(s.homes, attempt)
		return
	}
	s.homes[attempt] = homes
}

func (s *Scheduler) empty(e *engine) {
	for attempt := range e.occupants {
		s.vacate(e, attempt)
	}
}

// expire frees reservations whose attempt never came.
func (s *Scheduler) expire(now time.Time, e *engine) {
	for attempt, o := range e.occupants {
		if !o.reported && now.After(o.expires) {
			s.vacate(e, attempt)
		}
	}
}

func (s *Scheduler) sight(now time.Time, e *engine, taken time.Time, attempt string) {
	if until, ok := s.released[attempt]; ok && taken.Before(until) {
		return
	}
	o, ok := e.occupants[attempt]
	if !ok {
		o = &occupant{attempt: attempt, pieces: 1, foreign: true, sweepAt: now.Add(sweepGrace), end: now.Add(sweepGrace)}
		s.occupy(e, o)
	}
	o.reported = true
	if o.foreign && !now.Before(o.sweepAt) {
		o.sweepAt = now.Add(sweepAgain)
		s.act(turmericwall.Sweep{VM: e.vm, Attempt: attempt})
	}
}

// ownerLost frees what the lost daemon reserved; what engines hold for it is looked into at once.
func (s *Scheduler) ownerLost(now time.Time, incarnation string) {
	prefix := incarnation + "/"
	for _, e := range s.order {
		for attempt, o := range e.occupants {
			if !strings.HasPrefix(attempt, prefix) {
				continue
			}
			if !o.reported {
				s.vacate(e, attempt)
				continue
			}
			o.foreign, o.sweepAt = true, now
		}
	}
	owned := func(w *entry) bool { return strings.HasPrefix(w.arrival.Attempt, prefix) }
	for _, q := range s.queues {
		q.remove(owned)
	}
}

func (s *Scheduler) withdraw(attempt string) {
	same := func(w *entry) bool { return w.arrival.Attempt == attempt }
	for _, q := range s.queues {
		q.remove(same)
	}
}

func (s *Scheduler) tick(now time.Time) {
	for _, e := range s.order {
		s.expire(now, e)
	}
	for attempt, until := range s.released {
		if now.After(until.Add(sweepGrace)) {
			delete(s.released, attempt)
		}
	}
}
