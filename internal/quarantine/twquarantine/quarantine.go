// Package twquarantine keeps input from engines that it would end: it holds this daemon's evidence, judges calls by it, and
// logs each change of what it believes.
package twquarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
)

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
	// unsent counts the changes that the leader may not know: all but those that came from it.
	unsent int64
	// leader and leaderVersion are the leader, and the version of its evidence, that the ledger includes.
	leader        string
	leaderVersion int64
	// beliefs are those that were logged.
	beliefs map[beliefKey]twevidence.Belief
}

// beliefKey identifies an input.
type beliefKey struct{ service, kind, name string }

// New returns a quarantine without evidence.
func New(config Config) *Quarantine {
	q := &Quarantine{config: config, ledger: twevidence.New()}
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

// RecordEnd records that an engine ended while it ran the input.
func (q *Quarantine) RecordEnd(engine turmericwall.Upstream, input turmericwall.Input) {
	q.change("end of "+engine.ID, func(now time.Time) { q.ledger.RecordEnd(now, engine.Key(), input) })
}

// RecordAnswer records that an engine completed the answer to the input.
func (q *Quarantine) RecordAnswer(input turmericwall.Input) {
	if q.empty.Load() {
		return
	}
	q.change("answer", func(time.Time) { q.ledger.RecordAnswer(input) })
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
	q.mu.Lock()
	defer q.mu.Unlock()
	return turmericwall.Evidence{
		Holder: q.config.Self(), Version: q.ledger.Version(), Leader: q.leader, LeaderVersion: q.leaderVersion,
		Ends: q.ledger.Export(q.config.Now()),
	}, q.unsent
}

// Merge adds the evidence of another daemon.
func (q *Quarantine) Merge(evidence turmericwall.Evidence) {
	leader, self, live := q.config.Leader()
	fromLeader := live && !self && evidence.Holder.Incarnation == leader.Incarnation
	q.mu.Lock()
	before := q.ledger.Version()
	q.ledger.Merge(q.config.Now(), evidence.Ends)
	changed := q.ledger.Version() != before
	if changed && !fromLeader {
		q.unsent++
	}
	if fromLeader {
		evidence.Leader, evidence.LeaderVersion = leader.Incarnation, evidence.Version
	}
	if live && !self && evidence.Leader == leader.Incarnation &&
		(q.leader != evidence.Leader || evidence.LeaderVersion > q.leaderVersion) {
		q.leader, q.leaderVersion = evidence.Leader, evidence.LeaderVersion
	}
	if changed {
		q.settle("evidence of " + evidence.Holder.Name)
	}
	q.mu.Unlock()
	if changed && !fromLeader {
		q.config.OnChange()
	}
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

// Includes reports whether the evidence includes that version of the leader's.
func (q *Quarantine) Includes(leader turmericwall.Member, version int64) bool {
	if version == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leader == leader.Incarnation && q.leaderVersion >= version
}

// Quarantined returns the number of inputs that are quarantined.
func (q *Quarantine) Quarantined() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var n int64
	for _, b := range q.beliefs {
		if b.Verdict == turmericwall.VerdictQuarantined {
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
