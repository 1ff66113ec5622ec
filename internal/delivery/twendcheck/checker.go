// Package twendcheck tells an upstream that has ended from one that broke a single answer off, by a query that is sent after the
// run had broken off. It knows incarnations by the starts that upstreams state in their reports.
//
// An upstream has ended if another incarnation answers at its address, or if nothing listens there, as far as evidence on inputs is
// concerned; what that proves about its runs is for twrunend to say. One that accepts a connection
// and resets it may have as many as it accepts; a connection that isn't established may be due to a lost packet, or to a process
// that stands still.
package twendcheck

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

const (
	// queryTimeout bounds the query, and controlTimeout that of other upstreams, as the caller of the broken answer waits.
	queryTimeout   = 400 * time.Millisecond
	controlTimeout = 200 * time.Millisecond
	// repeatDelay is the pause before the second repetition of a query whose connection broke, which doubles, and maxRepeats the
	// number of repetitions: what isn't known by then is settled later.
	repeatDelay = 40 * time.Millisecond
	maxRepeats  = 3
	// checkRetention is how long a check is remembered, and maxSightings the starts that are remembered of an upstream.
	checkRetention = 30 * time.Second
	maxSightings   = 4
)

// Config configures a Checker.
type Config struct {
	// Query asks an upstream for its report, through a peer if this daemon has no network path to it, and returns the start that
	// the report states; 0 if it states none. The error is a SendError.
	Query func(ctx context.Context, to turmericwall.Upstream) (startedMillis int64, err error)
	// Others returns some other upstreams, those first that sent something most recently. One of them must answer too, on a
	// direct path: otherwise this daemon is cut off, which it may not know yet.
	Others      func(upstream turmericwall.Upstream) []turmericwall.Upstream
	QueryDirect func(ctx context.Context, to turmericwall.Upstream) error
	// Connections returns the states of this daemon's connections to an upstream, without those of a call that ended at the time; it may
	// be nil.
	Connections func(upstream turmericwall.Upstream, callID string, endedAt time.Time) turmericwall.ConnectionStates
	// OwnDelay returns by how much this daemon may delay the answers to queries; it may be nil.
	OwnDelay func() time.Duration
}

// Checker checks whether upstreams have ended. It is safe for concurrent use.
type Checker struct {
	config Config
	mu     sync.Mutex
	// known is by id and address: an upstream may start again under its id elsewhere.
	known map[endpoint]*knowledge
}

// endpoint is an upstream at an address.
type endpoint struct{ id, address string }

func endpointOf(u turmericwall.Upstream) endpoint { return endpoint{id: u.ID, address: u.Address} }

// Run is a run that ended without a complete answer.
type Run struct {
	Upstream turmericwall.Upstream
	// CallID is the id of its call; empty if it is unknown.
	CallID string
	// SentAt is when the run was sent, and BrokenAt when it ended.
	SentAt, BrokenAt time.Time
	// BegunAt is when something of its answer was first received; zero before that.
	BegunAt time.Time
}

// Finding is what was found out about the upstream of a run.
type Finding struct {
	// Incarnation is the one that ran the run, as far as that is known.
	Incarnation turmericwall.UpstreamKey
	Result      turmericwall.EndResult
	// Answered is set if the upstream answered, whichever incarnation it is.
	Answered bool
	// Evidence is what the result rests on; empty before the end of a query.
	Evidence Evidence
	// Proof is how the run itself is known to have ended; empty if it may work on.
	Proof twrunend.Proof
	// Connections are the daemon's other connections to an upstream that refused the query.
	Connections turmericwall.ConnectionStates
}

// Evidence is what became of a query.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceAnswer is an answer of the upstream, with or without a start.
	EvidenceAnswer Evidence = "answer"
	// EvidenceReplaced is the statement of another incarnation at the address.
	EvidenceReplaced Evidence = "replaced"
	// EvidenceRefused is a connection that was refused: no process listens.
	EvidenceRefused Evidence = "refused"
	// EvidenceUnconnected is a connection that was not established in time.
	EvidenceUnconnected Evidence = "unconnected"
	// EvidenceReset is a connection that was established and broke off.
	EvidenceReset Evidence = "reset"
	// EvidenceNone is a query without an answer in time, or one that was not sent.
	EvidenceNone Evidence = "none"
)

// knowledge is what is known of one upstream.
type knowledge struct {
	last      *check
	sightings []sighting
}

// sighting is the start that an upstream stated while its entry stated another one, or the same. since is when that was first known, and
// lastAskedAt when the last query was sent that it answered so.
type sighting struct {
	entryMillis, startedMillis int64
	since, lastAskedAt         time.Time
}

// check is one query. What it found may be read once done is closed.
type check struct {
	beganAt time.Time
	done    chan struct{}
	// isRunning is set until then, under the checker's lock.
	isRunning bool
	// answered is set if the upstream itself answered, and startedMillis the start that it stated.
	answered      bool
	startedMillis int64
	// goneAt is when it was seen to have ended; zero if it wasn't.
	goneAt   time.Time
	evidence Evidence
}

// New returns a checker.
func New(config Config) *Checker {
	return &Checker{config: config, known: make(map[endpoint]*knowledge)}
}

// Check returns whether the incarnation that ran the run has ended. Runs that break at the same time share a query, if it began
// after all of them.
func (c *Checker) Check(ctx context.Context, run Run) Finding {
	found := Finding{Incarnation: c.incarnationOf(run)}
	for {
		joined := c.join(run)
		select {
		case <-joined.done:
		case <-ctx.Done():
			return found
		}
		found.Result, found.Answered = joined.resultFor(run, found.Incarnation.StartedMillis), joined.answered
		found.Evidence = joined.evidence
		isLater := !joined.beganAt.Before(run.BrokenAt)
		if isLater || (found.Result == turmericwall.EndProved && joined.beganAt.After(run.SentAt)) {
			return c.withProof(run, joined, found)
		}
		found.Result, found.Answered, found.Evidence = turmericwall.EndUnknown, false, ""
	}
}

// withProof adds what the finding proves about the run.
func (c *Checker) withProof(run Run, from *check, found Finding) Finding {
	if found.Result != turmericwall.EndProved {
		return found
	}
	if found.Evidence == EvidenceRefused && c.config.Connections != nil {
		found.Connections = c.config.Connections(run.Upstream, run.CallID, run.BrokenAt)
	}
	isReplaced := found.Evidence == EvidenceReplaced || c.startedAfter(run, from)
	found.Proof = twrunend.Facts{Replaced: isReplaced}.Proof()
	return found
}

// startedAfter reports whether the incarnation that answered the check has started after the run had begun: another one answered a query
// since then. A run that hasn't begun may be on its way for longer than an upstream takes to start again. The entry doesn't tell, since it may
// state the start before for a while.
func (c *Checker) startedAfter(run Run, answered *check) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[endpointOf(run.Upstream)]
	if known == nil || run.BegunAt.IsZero() || !answered.answered || answered.startedMillis == 0 {
		return false
	}
	return slices.ContainsFunc(known.sightings, func(s sighting) bool {
		return s.startedMillis != answered.startedMillis && s.lastAskedAt.After(run.BegunAt)
	})
}

// incarnationOf returns the incarnation that ran the run: the newest that was seen before the run was sent, as long as its entry
// didn't change since, else that of the entry.
func (c *Checker) incarnationOf(run Run) turmericwall.UpstreamKey {
	key := run.Upstream.Key()
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.known[endpointOf(run.Upstream)]; known != nil {
		for _, seen := range known.sightings {
			if seen.entryMillis == run.Upstream.StartedMillis && !seen.since.After(run.SentAt) {
				key.StartedMillis = seen.startedMillis
			}
		}
	}
	return key
}

// join returns the check under way, one that began after the run had broken off, or a new one.
func (c *Checker) join(run Run) *check {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discardOld(now)
	known := c.known[endpointOf(run.Upstream)]
	if known == nil {
		known = &knowledge{}
		c.known[endpointOf(run.Upstream)] = known
	}
	if known.last != nil && (known.last.isRunning || !known.last.beganAt.Before(run.BrokenAt)) {
		return known.last
	}
	started := &check{beganAt: now, done: make(chan struct{}), isRunning: true}
	known.last = started
	go c.run(started, run.Upstream)
	return started
}

// discardOld discards what was found long ago; the lock is held.
func (c *Checker) discardOld(now time.Time) {
	for id, known := range c.known {
		if !known.last.isRunning && now.Sub(known.last.beganAt) > checkRetention {
			delete(c.known, id)
		}
	}
}

// query asks the upstream for its start. A query that breaks off is repeated at once, since it may have been sent on a connection
// that broke with the answers, and then after a pause: a process that is ending refuses connections soon, and one that has too many
// accepts some again.
func (c *Checker) query(ctx context.Context, upstream turmericwall.Upstream) (startedMillis int64, err error) {
	delay := time.Duration(0)
	for repeats := 0; ; repeats++ {
		startedMillis, err = c.config.Query(ctx, upstream)
		if !isBrokenOff(err) || exceedsLimit(err) || repeats == maxRepeats {
			return startedMillis, err
		}
		select {
		case <-ctx.Done():
			return startedMillis, err
		case <-time.After(delay):
		}
		delay = max(2*delay, repeatDelay)
	}
}

// run makes the check. It doesn't end with the call that started it, as other calls wait for it too.
func (c *Checker) run(started *check, upstream turmericwall.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout+c.ownDelay())
	defer cancel()
	startedMillis, err := c.query(ctx, upstream)
	var sent *turmericwall.SendError
	isSendError := errors.As(err, &sent)
	switch {
	case err == nil:
		started.answered, started.startedMillis = true, startedMillis
	case isSendError && sent.IncarnationReplaced:
		started.goneAt = time.Now()
	case isSendError && sent.Status != 0, exceedsLimit(err):
		started.answered = true
	case isSendError && sent.ShowsEndAfter(time.Time{}) && ctx.Err() == nil && c.reachesOthers(upstream):
		started.goneAt = sent.RefusedAt
	}
	started.evidence = evidenceOf(err)
	c.finish(started, upstream)
}

// evidenceOf returns what became of a query with the error.
func evidenceOf(err error) Evidence {
	var sent *turmericwall.SendError
	isSendError := errors.As(err, &sent)
	switch {
	case isSendError && sent.IncarnationReplaced:
		return EvidenceReplaced
	case err == nil, isSendError && sent.Status != 0, exceedsLimit(err):
		return EvidenceAnswer
	case isSendError && sent.ShowsEndAfter(time.Time{}):
		return EvidenceRefused
	case isSendError && sent.ConnectFailed && !sent.PathLost:
		return EvidenceUnconnected
	case isBrokenOff(err):
		return EvidenceReset
	}
	return EvidenceNone
}

// ownDelay returns by how much this daemon may delay the answers to queries.
func (c *Checker) ownDelay() time.Duration {
	if c.config.OwnDelay == nil {
		return 0
	}
	return c.config.OwnDelay()
}

// finish records what the check found, and the start that the upstream stated.
func (c *Checker) finish(finished *check, upstream turmericwall.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	finished.isRunning = false
	close(finished.done)
	known := c.known[endpointOf(upstream)]
	if known == nil || finished.startedMillis == 0 {
		return
	}
	n := len(known.sightings)
	if n > 0 && known.sightings[n-1].startedMillis == finished.startedMillis &&
		known.sightings[n-1].entryMillis == upstream.StartedMillis {
		known.sightings[n-1].lastAskedAt = finished.beganAt
		return
	}
	known.sightings = append(known.sightings, sighting{
		entryMillis: upstream.StartedMillis, startedMillis: finished.startedMillis, since: time.Now(), lastAskedAt: finished.beganAt,
	})
	known.sightings = known.sightings[max(len(known.sightings)-maxSightings, 0):]
}

// resultFor returns what the check says of the incarnation with the start, which ran the run.
func (c *check) resultFor(run Run, startedMillis int64) turmericwall.EndResult {
	switch {
	case !c.goneAt.IsZero() && !c.goneAt.Before(run.SentAt), c.answered && c.startedMillis != 0 && startedMillis != 0 && c.startedMillis != startedMillis:
		return turmericwall.EndProved
	case c.answered && (c.startedMillis != 0 || startedMillis == 0):
		return turmericwall.EndRefuted
	}
	return turmericwall.EndUnknown
}

// reachesOthers reports whether another upstream answers.
func (c *Checker) reachesOthers(upstream turmericwall.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout+c.ownDelay())
	defer cancel()
	others := c.config.Others(upstream)
	answers := make(chan error, len(others))
	for _, other := range others {
		go func() { answers <- c.config.QueryDirect(ctx, other) }()
	}
	for range others {
		if <-answers == nil {
			return true
		}
	}
	return false
}

// exceedsLimit reports whether what was received instead of an answer exceeds a limit: whoever sent it is alive.
func exceedsLimit(err error) bool {
	var limit *turmericwall.LimitError
	return errors.As(err, &limit)
}

// isBrokenOff reports whether a query was sent and its connection closed without an answer.
func isBrokenOff(err error) bool {
	var sent *turmericwall.SendError
	var timeout interface{ Timeout() bool }
	return errors.As(err, &sent) && sent.Sent && sent.Status == 0 && !sent.PathLost &&
		!(errors.As(err, &timeout) && timeout.Timeout())
}
