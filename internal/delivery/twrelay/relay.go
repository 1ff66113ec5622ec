// Package twrelay forwards a caller's call to an upstream and passes the answer back. It is the last stage of a
// request: it authenticates the call, picks or places its upstream, retries within the shared budget, and streams the
// events of model engines, moving a run when its engine leaves.
package twrelay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twauthenticator"
	"github.com/turmericwall/turmericwall/internal/admission/twdrain"
	"github.com/turmericwall/turmericwall/internal/admission/twreadiness"
	"github.com/turmericwall/turmericwall/internal/delivery/twconcurrency"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
	"github.com/turmericwall/turmericwall/internal/delivery/twfingerprint"
	"github.com/turmericwall/turmericwall/internal/delivery/twpicker"
	"github.com/turmericwall/turmericwall/internal/delivery/twretries"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
	"github.com/turmericwall/turmericwall/internal/membership/twupstreams"
	"github.com/turmericwall/turmericwall/internal/operations/twbudget"
	"github.com/turmericwall/turmericwall/internal/routing/twmatcher"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

const (
	// noUpstreamRetryAfter is the retry time for a service without upstreams: an upstream's first heartbeat.
	noUpstreamRetryAfter = 600 * time.Millisecond
)

// ErrAnswerTruncated means that an answer was begun and can't be completed. The caller's connection must be closed, so
// that the answer can't be taken as complete.
var ErrAnswerTruncated = errors.New("the answer was broken off; close the caller's connection")

// ErrStopping is the cause with which the contexts of calls end that are still open when the daemon exits.
var ErrStopping = errors.New("the daemon exits before the call's end")

// Config holds the relay's dependencies.
type Config struct {
	Routes    *twroutes.Table
	View      *twupstreams.View
	Upstreams turmericwall.UpstreamClient
	Picker    *twpicker.Picker
	// Limiter decides which calls of plain services are sent while these are at their limits; it may be nil.
	Limiter *twconcurrency.Limiter
	// LimitsPlainServices is set if the limiter may refuse calls.
	LimitsPlainServices bool
	Retries             *twretries.Budget
	Placer              turmericwall.EnginePlacer
	Recorder            turmericwall.Recorder
	// Matcher finds the route of a call.
	Matcher *twmatcher.Matcher
	// StateAge returns the age of the newest state of the store that this daemon has, and the time since it last heard a leader,
	// both in milliseconds and negative if there is none; it may be nil.
	StateAge func() (stateMillis, heardMillis int64)
	// Authenticator authenticates calls by their API keys.
	Authenticator *twauthenticator.Authenticator
	// Quotas is charged for calls of plain services; the placer charges model calls.
	Quotas turmericwall.QuotaMeter
	// Throttle admits each send to an upstream.
	Throttle turmericwall.UpstreamThrottle
	// LastReceivedAt returns when anything was last received from an upstream; it may be nil.
	LastReceivedAt func(upstream turmericwall.Upstream) time.Time
	// PathLost reports whether this daemon has no network path to the upstream, so that failures there say nothing about
	// it; it may be nil.
	PathLost func(upstream turmericwall.UpstreamKey) bool
	// Quarantine judges the input of model calls, and FlushEvidence waits until what was recorded there has reached the
	// daemon that judges their next placement. They may be nil.
	Quarantine turmericwall.CallQuarantine
	// OwnDelay returns by how much this daemon may delay what it waits for; it may be nil.
	OwnDelay      func() time.Duration
	FlushEvidence func(ctx context.Context)
	// AwaitStart returns once this daemon knows what it must know after its start, or with the refusal of the call. describe returns
	// the call as far as it is known. It may be nil.
	AwaitStart func(ctx context.Context, id string, describe func() twreadiness.Call) error
	// CheckEnd checks whether the upstream of a broken run has ended; it may be nil.
	CheckEnd func(ctx context.Context, run twendcheck.Run) twendcheck.Finding
	// ProveEnd returns once a run has certainly ended, or with an error once ctx ends or its engine doesn't run the call now; it may be
	// nil.
	ProveEnd func(ctx context.Context, run twfence.Run) (twrunend.Proof, error)
	// Streams has the software versions that began streams.
	Streams turmericwall.StreamVersions
	// Daemons returns the number of live daemons, which share the retry budget.
	Daemons func() int
	// Daemon is the incarnation of this daemon.
	Daemon string
	Zone   string
	// MaxEventHold is how long an event of a stream may be held back to be sent with the next ones; 0 means not at all.
	MaxEventHold time.Duration
	// Drain decides which calls are taken in a planned stop; it may be nil.
	Drain *twdrain.Drain
	// Buffers is the memory for what is read from upstreams and not passed on yet, beyond what each call may always have; it
	// may be nil.
	Buffers *twbudget.Budget
	// OnReadRefused is called for each answer that exceeded a limit after its head; it may be nil.
	OnReadRefused func(from turmericwall.Upstream, callID string, err *turmericwall.LimitError)
	// Observe receives the outcome of each call for the metrics; it may be nil.
	Observe func(Outcome)
}

// Relay serves callers' calls.
type Relay struct {
	config    Config
	startedAt time.Time
	// nextPaceReport is the time since startedAt, in nanoseconds, from which on the pace of a run may be reported.
	nextPaceReport atomic.Int64
}

// New returns a relay.
func New(config Config) *Relay {
	if config.OwnDelay == nil {
		config.OwnDelay = func() time.Duration { return 0 }
	}
	return &Relay{config: config, startedAt: time.Now()}
}

// attempt is the state of one call while it is served.
type attempt struct {
	call  turmericwall.RoutedCall
	route turmericwall.Route
	// credential is the call's key; it is empty where no key is needed.
	credential twauthenticator.Credential
	// quotaUnits is what the call costs of its account's quota; 0 without a quota.
	quotaUnits  float64
	service     turmericwall.ServicePlan
	planVersion int64
	// planRow is the store's version of the plan's row, and planAgeMillis the age of the proof that the plan is the newest when it
	// was looked up; negative without a proof. planWaitMillis is how long the call waited for a newer one.
	planRow, planAgeMillis, planWaitMillis int64
	w                                      http.ResponseWriter
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	// headerWritten is set once the answer's status and header were written.
	headerWritten bool
	// endInDrain records the end of the call, and whether its answer is complete; nil if that isn't needed.
	endInDrain func(isComplete bool)
	// countedSends counts the sends that are attempts of the call; those after the first use the retry budget.
	countedSends int
	// retryDenied is set when the retry budget did not allow a further send.
	retryDenied bool
	// placements counts the placements of the call, and runs the engines on which it may have run.
	placements, runs int
	// resumes counts the runs with which the stream went on after an earlier one.
	resumes int
	// former is the run that ended last, if it may still work at its engine; nil otherwise.
	former *modelRun
	// absent is the former run of which its engine stated that it doesn't run it now.
	absent *modelRun
	// prepared is the run that replaces a silent one; nil if there is none. takeovers counts the runs prepared for that.
	prepared  *modelRun
	takeovers int
	// version is the software version that began the stream; empty before its first event. versionUnknown is set if
	// another incarnation may have sent that event, so that the stream can go on nowhere else.
	version        turmericwall.SoftwareVersion
	versionUnknown bool
	// requestFingerprint is empty until it is needed; see fingerprint.
	requestFingerprint twfingerprint.Fingerprint
	// upstreamEnds counts the upstreams that ended while they ran the call, or may have.
	upstreamEnds atomic.Int64
	// isSuspect is set if upstreams ended under the call's input, so that calls with it run one at a time.
	isSuspect atomic.Bool
	// isAnswered is set once an upstream has answered the call: what it was sent to beside is cancelled.
	isAnswered atomic.Bool
	// turns counts the turns that a suspected call of a plain service asked for; turn is the one that it has, and heldBack the
	// refusal if it got none.
	turns    int
	turn     string
	heldBack error
	// allSilent is set if a send found only upstreams that have stopped answering.
	allSilent bool
	// limit is the limiter's last decision, and arrived is set once it has counted the call.
	limit   twconcurrency.Decision
	arrived bool
	// probing is set if the call was sent to a silent upstream, and is hedged although the service is at its limit.
	probing bool
	// avoid are the engines that failed the call.
	avoid []string
	// lastEventID is the id of the last event that was passed on; 0 before the first.
	lastEventID int64
	// unsplit is set once a part of an answer without events was passed on.
	unsplit bool
	// prefillSent is set once a prefill may have reached an engine.
	prefillSent bool
	// step is what the call waits for, or waited for last.
	step step
	// sentTo counts the requests with the call's id that each upstream was sent.
	sentTo map[string]int
	// upstreamID is the upstream of the last send.
	upstreamID      string
	placementReason string
	// throttleRefusal is the refusal of an upstream that accepts no further call; nil when there was none.
	throttleRefusal *turmericwall.Problem
	// stats is how a model call went.
	stats modelStats
	// buffers is the memory for the call's large buffers.
	buffers *twbudget.Budget
}

// modelStats holds the timings of a model call, in milliseconds since the call was read; 0 for what did not happen.
type modelStats struct {
	// prefillEngine is empty for a local prefill.
	prefillEngine string
	// late is set when the call was placed although its first event can't be on time.
	late bool
	// expectedPrefillMillis is when the prefill was expected to end.
	expectedPrefillMillis int64
	// The times of the placement, of the prefill's end and of the first event passed on.
	placedMillis, prefilledMillis, firstEventMillis int64
	// maxEventGapMillis is the longest pause between two events.
	maxEventGapMillis int64
	events            int
	// framing, peer and contentType are those of the last run's answer, and restBytes what of it came after its last event.
	framing     turmericwall.Framing
	peer        string
	restBytes   int
	contentType string
}

// elapsedMillis returns the time since the call was read.
func (a *attempt) elapsedMillis() int64 { return time.Since(a.call.ReceivedAt).Milliseconds() }

// Serve serves one call and writes its answer. It returns ErrAnswerTruncated when the caller's connection must be
// closed: the answer can't be completed, or the caller has left.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, call turmericwall.RoutedCall) error {
	a := &attempt{call: call, w: callerWriter{w}, step: stepAdmission, buffers: r.newCallBuffers()}
	defer r.recordPanic(a)
	defer a.buffers.Close()
	if err := r.awaitStart(ctx, a); err != nil {
		return r.finish(ctx, a, err)
	}
	match, err := r.match(ctx, call)
	a.recordMatch(match)
	if err != nil {
		return r.finish(ctx, a, err)
	}
	a.route = match.Route
	plan := match.View.Plan()
	if len(plan.Accounts) > 0 {
		if err := r.authenticate(ctx, a); err != nil {
			return r.finish(ctx, a, err)
		}
	}
	a.deadline = call.ReceivedAt.Add(time.Duration(a.route.TimeoutMillis) * time.Millisecond)
	if call.Deadline.Before(a.deadline) {
		a.deadline = call.Deadline
	}
	if err := r.checkDrain(a); err != nil {
		return r.finish(ctx, a, err)
	}
	r.openInDrain(a)
	if limit := plan.Limits.MaxBodyBytes; limit > 0 && int64(len(call.Body)) > limit {
		return r.finish(ctx, a, turmericwall.NewProblem(turmericwall.KindTooLarge, "the body is too large",
			"send less"))
	}
	service, ok := match.View.Service(r.pickService(a))
	a.service = service
	if !ok {
		return r.finish(ctx, a, noUpstreamProblem())
	}
	r.config.Retries.Earn(time.Now(), a.service.Name)
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	if a.service.Engine != nil {
		return r.finish(ctx, a, r.serveModelCall(ctx, a))
	}
	return r.finish(ctx, a, r.servePlainCall(ctx, a))
}

// match returns the version of the plan that decides the call, and its route in it.
func (r *Relay) match(ctx context.Context, call turmericwall.RoutedCall) (twmatcher.Match, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return r.config.Matcher.Match(ctx, call.Host, call.Path)
}

// recordMatch records which plan decides the call, for the log.
func (a *attempt) recordMatch(match twmatcher.Match) {
	a.planAgeMillis, a.planWaitMillis = match.PlanAgeMillis, match.WaitedMillis
	if plan := match.View.Plan(); plan != nil {
		a.planVersion, a.planRow = plan.Version, plan.RowVersion
	}
}

// authorizationHeader carries the caller's key, which is never forwarded to upstreams.
const authorizationHeader = "Authorization"

// authenticate removes the key from the call's header and sets the client account that the key belongs to. The
// account's priority replaces the route's.
func (r *Relay) authenticate(ctx context.Context, a *attempt) error {
	var keys []string
	kept := make([][2]string, 0, len(a.call.Header))
	for _, h := range a.call.Header {
		if h[0] == authorizationHeader {
			keys = append(keys, h[1])
			continue
		}
		kept = append(kept, h)
	}
	a.call.Header = kept
	credential, err := r.config.Authenticator.Authenticate(ctx, a.route, keys)
	if err != nil {
		return err
	}
	a.credential = credential
	a.call.Account = credential.Account.Name
	if quota := credential.Account.Quota; quota.IsLimited() {
		a.quotaUnits = quota.UnitsFor(a.call.Work)
	}
	if priority := credential.Account.Priority; priority != nil {
		a.route.Priority = *priority
	}
	return nil
}
