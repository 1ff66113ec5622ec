// Package twscheduler decides which prefill and which decode engine serve each attempt of one service. The service's
// leader feeds it arrivals, engine reports and cache events; it returns grants, refusals and sweeps. It decides before
// anything is sent to an engine.
package twscheduler

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Limits and timeouts of the decisions.
const (
	// reservationSlack is how much later than expected an attempt may appear in the engine's report.
	reservationSlack = 3 * time.Second
	// releaseGrace is how long after its end an attempt may still be listed by the engine's reports.
	releaseGrace = 2 * time.Second
	// sweepGrace exceeds the age of reports, so that an attempt just granted elsewhere is not swept.
	sweepGrace = 3 * time.Second
	// sweepInterval is the time between two sweeps of the same attempt.
	sweepInterval = 5 * time.Second
	// maxEjectedShare is the largest share of the engines that may be ejected at a time.
	maxEjectedShare = 1.0 / 3
	// urgentHeadroomShare is the share of decode slots that only urgent work may use.
	urgentHeadroomShare = 0.15
	// maxDeferrableBacklog is the longest prefill queue that deferrable work may join.
	maxDeferrableBacklog = 100 * time.Millisecond
	maxReleasedAttempts  = 1 << 16
	bytesPerMegabyte     = 1e6
	minRetryAfter        = 250 * time.Millisecond
	maxRetryAfter        = 30 * time.Second
)

// Scheduler implements turmericwall.Policy: it reserves a decode slot before a prefill starts.
//
// An exported prefill is evicted in under a second, and decode engines are nearly full at the peak. A prefill started
// without a reserved slot is likely to be wasted.
type Scheduler struct {
	blockTokens   int
	links         map[zonePair]*link
	zones         *zoneLinks
	engines       map[string]*engine
	sortedEngines []*engine
	prefills      []*engine
	decodes       []*engine
	// scanOffset is where the scan of the engines starts; each grant advances it, so that equal engines take turns.
	scanOffset int
	// enginesByAttempt are the engines with an allocation for the attempt.
	enginesByAttempt map[string][]*engine
	queues           []*queue
	resumed          *queue
	// releasedUntil is the time until which an ended attempt in a report is ignored.
	releasedUntil map[string]time.Time
	urgentDemand  demand
	actions       []turmericwall.Action
}

// Config holds the settings of a scheduler.
type Config struct {
	// BlockTokens is the number of tokens in one block of an arrival's hashes.
	BlockTokens int
}

// New returns a scheduler without engines.
func New(config Config) *Scheduler {
	return &Scheduler{
		blockTokens:      config.BlockTokens,
		links:            make(map[zonePair]*link),
		zones:            newZoneLinks(),
		engines:          make(map[string]*engine),
		enginesByAttempt: make(map[string][]*engine),
		releasedUntil:    make(map[string]time.Time),
	}
}

// Step applies one event and returns the resulting actions, which are valid until the next call.
func (s *Scheduler) Step(now time.Time, event turmericwall.Event) []turmericwall.Action {
	s.actions = s.actions[:0]
	switch e := event.(type) {
	case turmericwall.Arrival:
		s.enqueue(now, e)
	case turmericwall.AttemptEnded:
		s.finish(now, e.Ending)
	case turmericwall.EngineReported:
		s.applyReport(now, e)
	case turmericwall.CacheChanged:
		if known, ok := s.engines[e.Engine]; ok {
			known.applyCacheEvents(now, e.Events)
		}
	case turmericwall.EnginesListed:
		s.updateEngines(e.VMs)
		s.updateLinks(e.Links)
	case turmericwall.OwnerLost:
		s.releaseOwner(now, e.Incarnation)
	case turmericwall.ArrivalWithdrawn:
		s.removeQueued(e.Attempt)
	case turmericwall.Tick:
		s.tick(now)
	}
	s.dispatch(now)
	return s.actions
}

// Waiting returns the number of queued arrivals.
func (s *Scheduler) Waiting() int {
	waiting := 0
	for _, q := range s.queues {
		waiting += len(q.entries)
	}
	return waiting
}

func (s *Scheduler) emit(a turmericwall.Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) enqueue(now time.Time, a turmericwall.Arrival) {
	if a.Urgent {
		s.urgentDemand.add(now, s.expectedSlotTime(a.MaxTokens))
	}
	q := s.queueFor(a)
	if len(q.entries) >= maxQueuedArrivals {
		s.refuse(now, a, "the queue is full")
		return
	}
	if len(q.entries) == 0 {
		q.virtualTime = max(q.virtualTime, s.lowestVirtualTime())
	}
	q.push(&entry{arrival: a})
}

func (s *Scheduler) queueFor(a turmericwall.Arrival) *queue {
	c := classOf(a)
	for _, q := range s.queues {
		if q.class == c && q.model == a.Model && q.work == a.Work {
			return q
		}
	}
	q := &queue{work: a.Work, model: a.Model, class: c, virtualTime: s.lowestVirtualTime()}
	s.queues = append(s.queues, q)
	return q
}

func (s *Scheduler) lowestVirtualTime() float64 {
	lowest, found := 0.0, false
	for _, q := range s.queues {
		if len(q.entries) > 0 && (!found || q.virtualTime < lowest) {
			lowest, found = q.virtualTime, true
		}
	}
	return lowest
}

func (s *Scheduler) finish(now time.Time, ending turmericwall.Ending) {
	s.removeQueued(ending.Attempt)
	for _, e := range s.enginesByAttempt[ending.Attempt] {
		e.release(ending.Attempt)
	}
	delete(s.enginesByAttempt, ending.Attempt)
	if len(s.releasedUntil) < maxReleasedAttempts {
		s.releasedUntil[ending.Attempt] = now.Add(releaseGrace)
	}
	if failed, ok := s.engines[ending.FailedEngine]; ok && s.mayEject() {
		failed.eject(now)
	}
}

// mayEject limits the number of ejected engines: when many fail, the cause is probably shared, such as a link, and
// ejecting them would empty the pool.
func (s *Scheduler) mayEject() bool {
	ejected := 0
	for _, e := range s.sortedEngines {
		if e.consecutiveFailures > 0 {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(s.sortedEngines))
}

func (s *Scheduler) updateEngines(vms []turmericwall.VM) {
	for _, e := range s.sortedEngines {
		e.listed = false
	}
	for _, vm := range vms {
		e, ok := s.engines[vm.Name]
		if ok && e.vm.Address != vm.Address {
			// A replaced VM holds none of the attempts of its predecessor.
			s.releaseAll(e)
			ok = false
		}
		if !ok {
			e = newEngine(vm)
			s.engines[vm.Name] = e
		}
		e.vm = vm
		e.listed = true
	}
	s.sortedEngines = s.sortedEngines[:0]
	for name, e := range s.engines {
		if !e.listed {
			s.releaseAll(e)
			delete(s.engines, name)
			continue
		}
		e.refresh()
		s.sortedEngines = append(s.sortedEngines, e)
	}
	sort.Slice(s.sortedEngines, func(i, j int) bool { return s.sortedEngines[i].vm.Name < s.sortedEngines[j].vm.Name })
	s.splitByRole()
}

// splitByRole keeps an engine list for each role, so that a decision scans only the engines of the role it needs.
func (s *Scheduler) splitByRole() {
	s.prefills, s.decodes = s.prefills[:0], s.decodes[:0]
	for _, e := range s.sortedEngines {
		switch e.report.Role {
		case turmericwall.RolePrefill:
			s.prefills = append(s.prefills, e)
		case turmericwall.RoleDecode:
			s.decodes = append(s.decodes, e)
		}
	}
}

// updateLinks applies the declared links; a link that was known keeps its transfers.
func (s *Scheduler) updateLinks(declared []turmericwall.Link) {
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
	s.zones.rebuild(s.sortedEngines, s.links)
}

func (s *Scheduler) applyReport(now time.Time, event turmericwall.EngineReported) {
	e, ok := s.engines[event.VM.Name]
	takenAt := now.Add(-time.Duration(event.Report.AgeMillis) * time.Millisecond)
	if !ok || takenAt.Before(e.reportTakenAt) {
		return
	}
	changed := e.report.Role != event.Report.Role
	e.report, e.reportTakenAt = event.Report, takenAt
	e.refresh()
	if changed {
		s.splitByRole()
	}
	e.reportDeadline = now.Add(reportTimeout)
	e.endEjection(takenAt)
	e.rebuildQueue(takenAt)
	s.reconcile(now, e, takenAt)
}

// reconcile compares the attempts in the engine's report with its allocations here.
func (s *Scheduler) reconcile(now time.Time, e *engine, takenAt time.Time) {
	listed := make(map[string]bool, len(e.report.Attempts))
	for _, attempt := range e.report.Attempts {
		listed[attempt] = true
		s.reconcileAttempt(now, e, takenAt, attempt)
	}
	for attempt, alloc := range e.allocations {
		if alloc.reported && !listed[attempt] {
			s.release(e, attempt)
		}
	}
	s.releaseExpired(now, e)
}

func (s *Scheduler) allocate(e *engine, alloc *allocation) {
	e.allocate(alloc)
	s.enginesByAttempt[alloc.attempt] = append(s.enginesByAttempt[alloc.attempt], e)
}

func (s *Scheduler) release(e *engine, attempt string) {
	e.release(attempt)
	remaining := slices.DeleteFunc(s.enginesByAttempt[attempt], func(candidate *engine) bool { return candidate == e })
	if len(remaining) == 0 {
		delete(s.enginesByAttempt, attempt)
		return
	}
	s.enginesByAttempt[attempt] = remaining
}

func (s *Scheduler) releaseAll(e *engine) {
	for attempt := range e.allocations {
		s.release(e, attempt)
	}
}

// releaseExpired releases reservations of attempts that never reached the engine.
func (s *Scheduler) releaseExpired(now time.Time, e *engine) {
	for attempt, alloc := range e.allocations {
		if !alloc.reported && now.After(alloc.reservedUntil) {
			s.release(e, attempt)
		}
	}
}

// reconcileAttempt records that the engine lists the attempt, and sweeps attempts that this scheduler did not grant.
func (s *Scheduler) reconcileAttempt(now time.Time, e *engine, takenAt time.Time, attempt string) {
	if until, ok := s.releasedUntil[attempt]; ok && takenAt.Before(until) {
		return
	}
	alloc, ok := e.allocations[attempt]
	if !ok {
		alloc = &allocation{
			attempt: attempt, pieces: 1, foreign: true,
			nextSweepAt: now.Add(sweepGrace), expectedEnd: now.Add(sweepGrace),
		}
		s.allocate(e, alloc)
	}
	alloc.reported = true
	if alloc.foreign && !now.Before(alloc.nextSweepAt) {
		alloc.nextSweepAt = now.Add(sweepInterval)
		s.emit(turmericwall.Sweep{VM: e.vm, Attempt: attempt})
	}
}

// releaseOwner releases what the lost daemon reserved and drops its queued arrivals; the attempts that engines hold for
// it are swept at their next report.
func (s *Scheduler) releaseOwner(now time.Time, incarnation string) {
	prefix := incarnation + "/"
	for _, e := range s.sortedEngines {
		for attempt, alloc := range e.allocations {
			if !strings.HasPrefix(attempt, prefix) {
				continue
			}
			if !alloc.reported {
				s.release(e, attempt)
				continue
			}
			alloc.foreign, alloc.nextSweepAt = true, now
		}
	}
	owned := func(w *entry) bool { return strings.HasPrefix(w.arrival.Attempt, prefix) }
	for _, q := range s.queues {
		q.remove(owned)
	}
}

func (s *Scheduler) removeQueued(attempt string) {
	same := func(w *entry) bool { return w.arrival.Attempt == attempt }
	for _, q := range s.queues {
		q.remove(same)
	}
}

func (s *Scheduler) tick(now time.Time) {
	for _, e := range s.sortedEngines {
		s.releaseExpired(now, e)
	}
	for attempt, until := range s.releasedUntil {
		if now.After(until.Add(sweepGrace)) {
			delete(s.releasedUntil, attempt)
		}
	}
}
