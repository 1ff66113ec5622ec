// Package twquarantine keeps input from engines that it would end: it holds this daemon's evidence, judges calls by it, and
// logs each change of what it believes.
package twquarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
	"github.com/turmericwall/turmericwall/internal/quarantine/twprogress"
)

// maxIncluded bounds the daemons whose versions are remembered; evidence of the others may be fetched once more.
const maxIncluded = 64

// Config configures a Quarantine.
type Config struct {
	// Self is this daemon, and Leader returns the live leader.
	Self   func() turmericwall.Member
	Leader func() (leader turmericwall.Member, self, ok bool)
	// OnChange is called after evidence changed that other daemons need to know.
	OnChange func()
	Recorder turmericwall.Recorder
	Now      func() time.Time
}

// Quarantine is the evidence of one daemon. It is safe for concurrent use.
type Quarantine struct {
	config Config
	// empty is set while there is no evidence, so that calls needn't wait for each other.
	empty  atomic.Bool
	mu     sync.Mutex
	ledger *twevidence.Ledger
	// progress has what this daemon saw engines write on.
	progress *twprogress.Progress
	// hasPeerEvidence is set once a peer has told this daemon its evidence, hasRow once it was read from the store, and isCurrent once
	// this daemon serves with what it has.
	hasPeerEvidence, hasRow, isCurrent atomic.Bool
	// own counts the changes by what this daemon noticed itself.
	own int64
	// unsent counts the changes that the leader may not know: all but those that came from it.
	unsent int64
	// included has the versions of the evidence of other daemons that the ledger includes, by their incarnations.
	included *simplelru.LRU[string, int64]
	// beliefs are those that were logged.
	beliefs map[beliefKey]twevidence.Belief
}

// beliefKey identifies an input.
type beliefKey struct{ service, kind, name string }

// New returns a quarantine without evidence.
func New(config Config) *Quarantine {
	included, _ := simplelru.NewLRU[string, int64](maxIncluded, nil)
	q := &Quarantine{config: config, ledger: twevidence.New(), progress: twprogress.New(), included: included}
	q.empty.Store(true)
	return q
}

// Judge returns the verdict on a call's input.
func (q *Quarantine) Judge(input turmericwall.Input) (judgement turmericwall.Judgement) {
	if q.empty.Load() {
		return judgement
	}
	q.change("asked", func(now time.Time) { judgement = q.ledger.Judge(now, input) })
	return judgement
}

// RecordEnd records that an upstream has ended, or may have, while it ran the input, which was sent at the time.
func (q *Quarantine) RecordEnd(
	upstream turmericwall.UpstreamKey, sentAt time.Time, input turmericwall.Input, result turmericwall.EndResult,
) {
	q.change("end of "+upstream.ID, func(now time.Time) {
		q.ledger.RecordEnd(now, upstream, sentAt, input, result)
		q.applyProgress()
	})
}

// OpenEnds returns the ends of which it isn't known yet whether the incarnation has ended, oldest first.
func (q *Quarantine) OpenEnds() []twevidence.OpenEnd {
	if q.empty.Load() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.OpenEnds()
}

// Settle settles an open end by a query that began at the time.
func (q *Quarantine) Settle(id twevidence.EndID, queriedAt time.Time, result turmericwall.EndResult) {
	q.change(result.String()+" "+id.Upstream.ID, func(now time.Time) {
		q.ledger.Settle(now, id, queriedAt, result)
		q.applyProgress()
	})
}

// LastEndAt returns when this daemon learnt of the last proved end under the input's request; zero if there is none.
func (q *Quarantine) LastEndAt(input turmericwall.Input) time.Time {
	if q.empty.Load() {
		return time.Time{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.LastEndAt(input)
}

// Ends returns how many upstreams ended under the input's request, or may have; sound is set if the request ran well lately.
func (q *Quarantine) Ends(input turmericwall.Input) (ends int, sound bool) {
	if at, ok := q.progress.Last(input.Service, twevidence.KindRequest, input.Request); ok {
		sound = q.config.Now().Sub(at) <= twevidence.SoundSpan
	}
	if q.empty.Load() {
		return 0, sound
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	ends, soundBefore := q.ledger.Ends(input)
	return ends, sound || soundBefore
}

// Listed returns those of the input's parts on which the verdict may depend.
func (q *Quarantine) Listed(input turmericwall.Input) []string {
	if q.empty.Load() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Listed(input)
}

// RecordProgress records that an engine has written on the input's parts for a while.
func (q *Quarantine) RecordProgress(input turmericwall.Input) {
	if len(input.Parts) == 0 {
		return
	}
	q.progress.Record(q.config.Now(), input)
	if q.empty.Load() {
		return
	}
	q.change("progress", func(now time.Time) {
		for _, part := range q.ledger.Listed(input) {
			q.ledger.RecordProgress(now, input.Service, part)
		}
	})
}

// RecordAnswer records that an upstream completed the answer to the input.
func (q *Quarantine) RecordAnswer(input turmericwall.Input) {
	q.RecordProgress(input)
	q.progress.RecordAnswer(q.config.Now(), input)
	if q.empty.Load() {
		return
	}
	q.change("answer", func(now time.Time) { q.ledger.RecordAnswer(now, input) })
}

// applyProgress tells the ledger what this daemon saw of the input that is in ends; the lock is held.
func (q *Quarantine) applyProgress() {
	q.ledger.Names(func(service, kind, text string) {
		at, ok := q.progress.Last(service, kind, text)
		switch {
		case !ok:
		case kind == twevidence.KindPart:
			q.ledger.RecordProgress(at, service, text)
		default:
			q.ledger.RecordAnswer(at, turmericwall.Input{Service: service, Request: text})
		}
	})
}

// Expire discards the evidence whose retention is over.
func (q *Quarantine) Expire() {
	if q.empty.Load() {
		return
	}
	q.change("retention", func(time.Time) {})
}

// Export returns the evidence as other daemons get it, and the number of changes that it includes of those that the leader
// may not know.
func (q *Quarantine) Export() (evidence turmericwall.Evidence, changes int64) {
	leader, self, live := q.config.Leader()
	q.mu.Lock()
	defer q.mu.Unlock()
	evidence = turmericwall.Evidence{
		Holder: q.config.Self(), Version: q.ledger.Version(), Ends: q.ledger.Export(q.config.Now()),
	}
	if live && !self {
		evidence.Leader = leader.Incarnation
		evidence.LeaderVersion, _ = q.included.Peek(leader.Incarnation)
	}
	return evidence, q.unsent
}

// Merge adds the evidence of another daemon.
func (q *Quarantine) Merge(evidence turmericwall.Evidence) {
	leader, self, live := q.config.Leader()
	fromLeader := live && !self && evidence.Holder.Incarnation == leader.Incarnation
	q.mu.Lock()
	changed := q.ledger.Merge(q.config.Now(), evidence.Ends)
	merged := q.ledger.Version()
	q.applyProgress()
	own := q.ledger.Version() != merged
	if own || (changed && !fromLeader) {
		q.unsent++
	}
	q.include(evidence.Holder.Incarnation, evidence.Version)
	q.include(evidence.Leader, evidence.LeaderVersion)
	if changed || own {
		q.settle("evidence of " + evidence.Holder.Name)
	}
	q.mu.Unlock()
	if own || (changed && !fromLeader) {
		q.config.OnChange()
	}
}

// Lift clears a request or a part of a service, as an operator asks. It reports whether it was in any end.
func (q *Quarantine) Lift(service, kind, key string) (lifted bool) {
	q.change("operator", func(time.Time) { lifted = q.ledger.Lift(service, kind, key) })
	return lifted
}

// Beliefs returns the input that is quarantined, and what is suspected after several ends.
func (q *Quarantine) Beliefs() []twevidence.Belief {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Beliefs()
}

// MarkPeerEvidence records that a peer has told this daemon its evidence. What runs at this moment only the leader knows.
func (q *Quarantine) MarkPeerEvidence() { q.hasPeerEvidence.Store(true) }

// HasPeerEvidence reports whether a peer has told this daemon its evidence.
func (q *Quarantine) HasPeerEvidence() bool { return q.hasPeerEvidence.Load() }

// MarkRow records that the evidence in the store was read.
func (q *Quarantine) MarkRow() { q.hasRow.Store(true) }

// HasEvidence reports whether this daemon has the evidence of before its start, from the store or from a peer that has it.
func (q *Quarantine) HasEvidence() bool {
	return q.hasRow.Load() || q.hasPeerEvidence.Load() || q.isCurrent.Load()
}

// MarkCurrent records that this daemon has learnt what others knew at its start.
func (q *Quarantine) MarkCurrent() { q.isCurrent.Store(true) }

// IsCurrent reports whether this daemon has learnt what others knew at its start.
func (q *Quarantine) IsCurrent() bool { return q.isCurrent.Load() }

// OwnChanges returns the number of changes by what this daemon noticed itself.
func (q *Quarantine) OwnChanges() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.own
}

// Version returns the number of changes so far that other daemons need to know.
func (q *Quarantine) Version() int64 {
	if q.empty.Load() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Version()
}

// Includes reports whether the evidence includes that version of another daemon's.
func (q *Quarantine) Includes(holder turmericwall.Member, version int64) bool {
	if version == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	included, _ := q.included.Peek(holder.Incarnation)
	return included >= version
}

// include records that the ledger includes a version of another daemon's evidence; the lock is held.
func (q *Quarantine) include(holder string, version int64) {
	if included, _ := q.included.Peek(holder); holder != "" && version > included {
		q.included.Add(holder, version)
	}
}

// Count returns the number of inputs with a verdict, as far as they are logged.
func (q *Quarantine) Count(verdict turmericwall.Verdict) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var n int64
	for _, b := range q.beliefs {
		if b.Verdict == verdict {
			n++
		}
	}
	return n
}

// change applies a change, and calls OnChange if other daemons need to know.
func (q *Quarantine) change(cause string, apply func(now time.Time)) {
	q.mu.Lock()
	now, before := q.config.Now(), q.ledger.Version()
	expired := q.ledger.Expire(now)
	apply(now)
	changed := q.ledger.Version() != before
	if changed {
		q.own++
		q.unsent++
	}
	if changed || expired {
		q.settle(cause)
	}
	q.mu.Unlock()
	if changed {
		q.config.OnChange()
	}
}

// settle logs what changed in the beliefs; the lock is held.
func (q *Quarantine) settle(cause string) {
	q.empty.Store(q.ledger.IsEmpty())
	beliefs := make(map[beliefKey]twevidence.Belief)
	for _, b := range q.ledger.Beliefs() {
		key := beliefKey{service: b.Service, kind: b.Kind, name: b.Key}
		beliefs[key] = b
		if before := q.beliefs[key].Verdict; before != b.Verdict {
			q.record(key, before, b, cause)
		}
	}
	for key, before := range q.beliefs {
		if _, ok := beliefs[key]; !ok {
			q.record(key, before.Verdict, twevidence.Belief{}, cause)
		}
	}
	q.beliefs = beliefs
}

func (q *Quarantine) record(key beliefKey, before turmericwall.Verdict, belief twevidence.Belief, cause string) {
	q.config.Recorder.Record(turmericwall.EventQuarantineChanged).Str("service", key.service).Str("kind", key.kind).
		Str("key", key.name).Str("from", before.String()).Str("to", belief.Verdict.String()).
		Int("ends", int64(belief.Ends)).Str("cause", cause).Send()
}
