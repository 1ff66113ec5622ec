// Package twallocator places the model calls of one service on its prefill and decode engines. It projects the memory
// and the prefill backlog of each engine and decides which calls are placed, which wait and which are refused. Package
// twcoordinator drives it for every model call before the call is sent to an engine.
package twallocator

import (
	"math"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twcost"
	"github.com/turmericwall/turmericwall/internal/placement/twejection"
	"github.com/turmericwall/turmericwall/internal/placement/twinterference"
	"github.com/turmericwall/turmericwall/internal/placement/twpace"
	"github.com/turmericwall/turmericwall/internal/placement/twshares"
)

// Tuning holds the limits of the placement decisions.
type Tuning struct {
	// LengthQuantile is the probability with which an answer is expected to stay below its projected length.
	LengthQuantile float64
	// Deviations is how many standard deviations above its expected value the projected memory need must still fit.
	Deviations float64
	// MemoryShare is the share of an engine's memory that projected peaks may fill, 0 to 1.
	MemoryShare float64
	// ReserveQuantile is the probability with which an answer is expected to stay below the length that is reserved at
	// the engine.
	ReserveQuantile float64
	// FirstEventMarginMillis is the time between the end of the prefill and the first event of the answer.
	FirstEventMarginMillis float64
	// LocalPrefillSlowdown is the factor by which a decode engine's prefill is slower than a prefill engine's.
	LocalPrefillSlowdown float64
	// EventGapShare is the share of a stream's longest allowed event gap that a prefill on the same engine may take.
	EventGapShare float64
	// LatePrefillWaitMillis is the longest wait for a prefill engine at which a late call may still use it.
	LatePrefillWaitMillis float64
	// LateMemoryShare is the share of the decode memory up to which late calls are placed.
	LateMemoryShare float64
	// MaxWaitMillis is the longest wait of a call for its placement. A later refusal would leave its caller no time to
	// retry.
	MaxWaitMillis float64
	// MaxLateRetryWaitMillis is the longest wait of a late call that is a retry.
	MaxLateRetryWaitMillis float64
	// FullBackoffMillis is the back-off from an engine that refused a call for lack of memory. It is multiplied by the
	// number of such refusals, up to four.
	FullBackoffMillis float64
	// SuspectBackoffMillis is the back-off from an engine that is suspected of having failed a call.
	SuspectBackoffMillis float64
	// MaxCandidates is how many engines in use are evaluated for one call; 0 means all.
	MaxCandidates int
}

// DefaultTuning returns the limits in use.
func DefaultTuning() Tuning {
	return Tuning{
		LengthQuantile: 0.4, Deviations: 1.2, MemoryShare: 0.95, ReserveQuantile: 0.05, FirstEventMarginMillis: 60,
		LocalPrefillSlowdown: 2, EventGapShare: 0.8, LatePrefillWaitMillis: 100, LateMemoryShare: 0.8,
		MaxWaitMillis: 1000, MaxLateRetryWaitMillis: 3000, FullBackoffMillis: 100, SuspectBackoffMillis: 500,
		MaxCandidates: 64,
	}
}

// A placed call counts as lost after overdueFactor times the duration of its longest answer plus overdueMillis, which
// is far more than pauses and slow engines take.
const (
	overdueFactor = 3
	overdueMillis = 4000
)

// speedValidity is how long a measured prefill speed is used. At the usual load an engine finishes several prompts in
// it.
const speedValidity = 3 * time.Second

// Allocator allocates the engines of one service to calls. It has no clock, socket or goroutine of its own and is not
// safe for concurrent use.
type Allocator struct {
	tuning  Tuning
	plan    turmericwall.EnginePlan
	engines map[string]*engine
	// upstreams is the list of the engines, ordered by id, and ordered are the engines in the same order.
	upstreams []turmericwall.Upstream
	ordered   []*engine
	// versions are the software versions of the decode engines that take new calls, in order. mixed is set if engines of
	// several versions take new calls, for prefills or decodes.
	versions []turmericwall.SoftwareVersion
	mixed    bool
	// prefills and decodes are the engines of each role.
	prefills, decodes *pool
	// changing are the engines without a role because they change it, refusing those that accept no calls.
	changing, refusing []*engine
	// ejected are the engines that the last decision marked as ejected.
	ejected []*engine
	// occupancy is the use of the decode engines as of the last decision that needed it.
	occupancy *occupancy
	// engineByCall is the id of each placed call's decode engine.
	engineByCall map[string]string
	waiting      []*waitingCall
	// decodeSpeed is the measured speed of one answer and prefillSpeed that of a prefill engine, in tokens per
	// millisecond.
	decodeSpeed, prefillSpeed float64
	// prefillSpeedAt is when prefillSpeed was last measured, bestPrefillSpeed the highest measured so far;
	// prefillMeasured is set with the first measurement.
	prefillSpeedAt   time.Time
	bestPrefillSpeed float64
	prefillMeasured  bool
	// partial is set while other daemons place calls on the same engines without this allocator.
	partial bool
	callers *callers
	// cacheHitShare is the moving average of how often an engine still had the cached prompt of a retry, 0 to 1.
	cacheHitShare   float64
	cacheHitShareAt time.Time
	// interference estimates how often a prefill on a decode engine delays the engine's streams.
	interference *twinterference.Interference
	// prefillShortage and decodeShortage record the calls that found no engine of the role in time.
	prefillShortage, decodeShortage shortage
	// cost is the mean engine time that a call takes.
	cost *twcost.Cost
	// ejections are the engines that get no calls because calls failed there.
	ejections *twejection.Ejections
	// pace estimates the pace of the engines, from the first call with a limit of event gaps on, which sets hasEventGaps;
	// paceDecisions counts what it decided.
	pace          *twpace.Pace
	hasEventGaps  bool
	paceDecisions turmericwall.PaceDecisions
	// shares are the shares of client accounts in the engines, and memoryFull the need of the placed calls, as a share of
	// the decode memory, at which calls find no decode engine any more.
	shares     *twshares.Shares
	memoryFull float64
	// inflow is what calls that can be on time were placed with lately.
	inflow inflow
	// retryTimes are the retry times given to refused callers that have not passed yet.
	retryTimes []time.Time
}

// waitingCall is a call that has neither been placed nor refused.
type waitingCall struct {
	request    turmericwall.PlaceRequest
	enqueuedAt time.Time
	// receivedAt is when the daemon read this try, and targetDeadline the target deadline counted from that.
	receivedAt, targetDeadline time.Time
	// expectedAt is when the call was expected to be placed as it was first compared with the others.
	expectedAt time.Time
	// demand is the memory that the call will need once its prompt is prefilled.
	demand forecast
	// size is the call's size for the shares, and tag its place in the order of the accounts.
	size twshares.Call
	tag  float64
	// targetPassed is set once the call, being late, was found to be worth waiting beyond its target.
	targetPassed bool
	// mustYield is set when the last decision left room for other accounts instead of placing the call.
	mustYield bool
	// hasYielded is set once a decision did so, and yieldedResource is of what.
	hasYielded      bool
	yieldedResource twshares.Resource
	// isRetry is set when the caller was refused before.
	isRetry bool
	// late is set when the first event can't arrive by the target deadline any more.
	late bool
	// noPrefillInTime is set when the last decision found no prefill engine that finishes the prompt in time.
	noPrefillInTime bool
}

// Refusal refuses one call.
type Refusal struct {
	ID     string
	Reason string
	// RetryAt is when the call is expected to find an engine.
	RetryAt time.Time
	// Permanent is set when the prompt exceeds the memory of every engine, so that a retry can't succeed.
	Permanent bool
	// VersionGone is set when no engine of the version that the call requires is listed.
	VersionGone bool
	// Cause is what was short.
	Cause turmericwall.RefusalCause
}

// Decisions are the results of one call of Decide.
type Decisions struct {
	Placed  []turmericwall.Placement
	Refused []Refusal
	// NextAt is when the next decision may differ without any further input; zero when no call waits.
	NextAt time.Time
}

// New returns an allocator without engines and calls.
func New(tuning Tuning) *Allocator {
	return &Allocator{
		tuning: tuning, engines: make(map[string]*engine), engineByCall: make(map[string]string),
		prefills: &pool{}, decodes: &pool{},
		callers: newCallers(), interference: twinterference.New(), cacheHitShare: initialCacheHitShare,
		cost:   twcost.New(),
		shares: twshares.New(), memoryFull: initialMemoryFull,
		ejections:        twejection.New(),
		pace:             twpace.New(),
		bestPrefillSpeed: initialPrefillSpeed, decodeSpeed: initialDecodeSpeed, prefillSpeed: initialPrefillSpeed,
	}
}

// SetPlan sets the limits of one engine as the operator configured them.
func (a *Allocator) SetPlan(plan turmericwall.EnginePlan) { a.plan = plan }

// Enqueue adds a call that waits for its placement. The target deadline of a retry is counted from the caller's first
// attempt.
func (a *Allocator) Enqueue(now time.Time, request turmericwall.PlaceRequest) {
	if request.Moving {
		a.addWaiting(now, &waitingCall{request: request, isRetry: true})
		return
	}
	receivedAt := receivedAt(now, request)
	span := request.TargetDeadline.Sub(receivedAt)
	first, isRetry := a.callers.recordAttempt(now, receivedAt, request)
	isRetry = isRetry || request.PrefillLost
	if request.Version != "" || request.Only != "" {
		// The stream has begun, so that its caller waits for the next event and not since its first attempt.
		first, isRetry = receivedAt, false
	}
	request.TargetDeadline = first.Add(span)
	a.addWaiting(now, &waitingCall{
		request: request, isRetry: isRetry, receivedAt: receivedAt, targetDeadline: receivedAt.Add(max(span, 0)),
	})
	a.cost.RecordCall(twcost.Call{
		PromptTokens: float64(request.Work.PromptTokens),
		AnswerTokens: meanLength(request.Work.HintTokens, request.Work.MaxTokens),
		Slots:        a.plan.Slots, MemoryTokens: a.plan.MemoryTokens,
	})
}

// receivedAt returns when the call was read, which is now for a call whose daemon doesn't state it.
func receivedAt(now time.Time, request turmericwall.PlaceRequest) time.Time {
	if request.ReceivedAt.IsZero() || request.ReceivedAt.After(now) {
		return now
	}
	return request.ReceivedAt
}

// addWaiting adds a call that waits for its placement.
func (a *Allocator) addWaiting(now time.Time, w *waitingCall) {
	w.enqueuedAt = now
	w.demand = a.forecast(w.request)
	w.size = a.sizeOf(w.request, w.demand)
	a.shares.Enqueue(now, w.size, w.isRetry)
	a.waiting = append(a.waiting, w)
}

// sizeOf returns the call's size for the shares.
func (a *Allocator) sizeOf(request turmericwall.PlaceRequest, need forecast) twshares.Call {
	return twshares.Call{
		ID: request.ID, Account: request.Account, Priority: request.Priority, PromptTokens: need.heldTokens, AnswerTokens: need.growth,
		HeldMillis: need.growth / a.decodeSpeed,
	}
}

// SetWeights sets the weights of client accounts; those that are not listed have weight 1. The map is kept, and must not
// be changed.
func (a *Allocator) SetWeights(weights map[string]float64) { a.shares.SetWeights(weights) }

// Shares returns the share and the use of each account with calls.
func (a *Allocator) Shares() []turmericwall.AccountShare { return a.shares.Status() }

// Withdraw removes a waiting call or releases a placed one.
func (a *Allocator) Withdraw(id string) {
	for i, w := range a.waiting {
		if w.request.ID == id {
			a.shares.Dequeue(w.size)
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			break
		}
	}
	a.release(id)
}

// ReleaseOwner removes the waiting and the placed calls of a daemon that has terminated.
func (a *Allocator) ReleaseOwner(owner string) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if w.request.Owner != owner {
			kept = append(kept, w)
			continue
		}
		a.shares.Dequeue(w.size)
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
	for id, at := range a.engineByCall {
		if r := a.engines[at].runs[id]; r.owner == owner {
			a.release(id)
		}
	}
}

// ReleaseOtherOwners releases the placed calls of all daemons but this one.
func (a *Allocator) ReleaseOtherOwners(owner string) {
	for id, at := range a.engineByCall {
		if r := a.engines[at].runs[id]; r.owner != owner {
			a.release(id)
		}
	}
}

// Adopt adds a call that was placed by another daemon. Calls on unknown engines are ignored.
func (a *Allocator) Adopt(now time.Time, placed turmericwall.PlacedCall) {
	e, ok := a.engines[placed.Engine]
	if !ok || a.engineByCall[placed.Request.ID] != "" {
		return
	}
	e.runs[placed.Request.ID] = &run{
		owner: placed.Request.Owner, work: placed.Request.Work, prefilling: placed.AgeMillis < 0,
		firstTokenAt:   now.Add(-time.Duration(placed.AgeMillis) * time.Millisecond),
		eventGapMillis: placed.Request.EventGapMillis,
	}
	a.recordPlaced(now, e, placed)
	if placed.AgeMillis >= 0 {
		a.pace.Begin(now, placed.Request.ID)
	}
	a.engineByCall[placed.Request.ID] = placed.Engine
	a.shares.Adopt(now, a.sizeOf(placed.Request, a.forecast(placed.Request)), placed.AgeMillis < 0)
	e.memoryProjection = nil
	a.updateUsed(now, e)
	a.callers.recordAttempt(now, receivedAt(now, placed.Request), placed.Request)
	if placed.AgeMillis >= 0 {
		a.callers.recordEngine(now, placed.Request.Work, e)
	}
}

// Sweep releases the calls whose longest answer must have ended, because the daemon that served them did not report
// their end.
func (a *Allocator) Sweep(now time.Time) {
	for id, at := range a.engineByCall {
		r := a.engines[at].runs[id]
		longestMillis := float64(max(r.work.MaxTokens, r.work.HintTokens)) / a.decodeSpeed
		if now.After(r.firstTokenAt.Add(millis(overdueFactor*longestMillis + overdueMillis))) {
			a.release(id)
		}
	}
}

// ApplyUpdate applies a report on a placed call: a failed or full engine, the end of its prefill, a pause of its stream
// or its end.
func (a *Allocator) ApplyUpdate(now time.Time, update turmericwall.PlacementUpdate) {
	if e, ok := a.engines[update.FullEngine]; ok {
		e.fullRefusals = min(e.fullRefusals+1, 4)
		e.backoffUntil = now.Add(millis(a.tuning.FullBackoffMillis * float64(e.fullRefusals)))
	}
	if e, ok := a.engines[update.SuspectedEngine]; ok {
		e.backoffUntil = now.Add(millis(a.tuning.SuspectBackoffMillis))
	}
	if _, ok := a.engines[update.FailedEngine]; ok {
		a.ejections.RecordFailure(now, update.FailedEngine)
	}
	if at, ok := a.engineByCall[update.ID]; ok && update.AnswerTokens > 0 && update.FailedEngine == "" {
		a.ejections.RecordSuccess(now, at)
	}
	if update.AnswerMillis > minMeasuredMillis && update.AnswerTokens > 0 {
		a.recordAnswer(update)
	}
	if update.Prefilled {
		a.recordPrefill(now, update)
	}
	a.recordPace(now, update)
	if update.EventGapExceeded {
		a.interference.RecordPause(update.ID)
	}
	if !update.Running {
		a.pace.End(now, update.ID)
		a.shares.Settle(now, update.ID, float64(update.AnswerTokens), update.NotRun)
		a.release(update.ID)
	}
}

// SetPartial sets whether other daemons place calls on the same engines without this allocator. Prefill speeds are not
// measured then, because the other daemons' prompts delay the measured ones.
func (a *Allocator) SetPartial(partial bool) {
	if a.partial && !partial {
		a.pace.Restart()
		for _, e := range a.ordered {
			e.slow = false
		}
	}
	if a.partial != partial {
		// The calls that this allocator doesn't know fill the memory too.
		a.memoryFull = initialMemoryFull
	}
	a.partial = partial
}

// Waiting returns the number of waiting calls.
func (a *Allocator) Waiting() int { return len(a.waiting) }

// Busy reports whether calls are placed or waiting.
func (a *Allocator) Busy() bool { return len(a.engineByCall)+len(a.waiting) > 0 }

func (a *Allocator) release(id string) {
	at, ok := a.engineByCall[id]
	if !ok {
		return
	}
	a.interference.Unwatch(id)
	a.pace.End(time.Time{}, id)
	a.shares.End(id)
	e := a.engines[at]
	a.endPrefill(id, e.runs[id])
	delete(e.runs, id)
	e.memoryProjection = nil
	if len(e.runs) == 0 {
		e.minEventGapMillis = 0
	}
	if e.pool == a.decodes && len(e.runs) == 0 {
		e.pool.setUsed(e, false)
	}
	delete(a.engineByCall, id)
}

// endPrefill records that the engine that prefills the call's prompt has ended the prefill, or was released from it.
func (a *Allocator) endPrefill(id string, r *run) {
	if e, ok := a.engines[r.prefillEngineID]; ok {
		e.prefills.Withdraw(id)
	}
}

// millis returns a duration of n milliseconds. It is limited to 1e7 ms, so that the conversion can't overflow.
func millis(n float64) time.Duration {
	return time.Duration(math.Min(n, 1e7) * float64(time.Millisecond))
}
