// Package twdrain decides which calls a daemon takes in a planned stop: those that end before it exits.
//
// What is still open then is cut, and its caller can't repeat a call that runs at most once. A call certainly ends in time if its
// deadline is before the exit. Right after the signal new callers keep coming, as nobody knows of the stop yet; until they do, a call is
// also taken if the answers of its route usually end in time. All others are refused at once, since their callers reach another daemon
// on their next connection.
package twdrain

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// noticeSpan is how long after the signal callers come without knowing of the stop: until two readiness checks, a second apart,
	// have failed.
	noticeSpan = 3 * time.Second
	// maxSamples is how many of a route's latest answers are known, minSamples how many are needed, and maxRoutes bounds the routes.
	maxSamples, minSamples = 48, 8
	maxRoutes              = 256
	// usualShare is the share of a route's answers that end within its usual span.
	usualShare = 0.95
	// answerMargin is the time for the last bytes of an answer to reach the caller.
	answerMargin = 50 * time.Millisecond
)

// ErrStopping is the cause with which the context of a held call ends once the call can't end before the exit.
var ErrStopping = errors.New("the daemon exits before the call could end")

// Config configures a Drain.
type Config struct {
	// Now returns the present time; time.Now if it is nil.
	Now func() time.Time
}

// Call is what decides whether a call is taken.
type Call struct {
	Route string
	// Deadline is when the call ends at the latest.
	Deadline time.Time
}

// Drain has the planned stop of a daemon, and what its answers take. It is safe for concurrent use.
type Drain struct {
	config Config
	mu     sync.Mutex
	routes map[string]*samples
	// beganAt and exitAt are those of the stop; zero before it.
	beganAt, exitAt time.Time
	held            map[*hold]struct{}
}

// samples are the spans of a route's latest answers, the next one at the index, and when its open calls came.
type samples struct {
	spans    []time.Duration
	next     int
	open     map[int64]time.Time
	sequence int64
}

// hold is a call that waits and was not sent.
type hold struct {
	call   Call
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// New returns a drain that has not begun.
func New(config Config) *Drain {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Drain{config: config, routes: make(map[string]*samples), held: make(map[*hold]struct{})}
}

// Open records that a call of the route came at the time. The function that it returns records the call's end, and whether it was
// answered completely.
func (d *Drain) Open(route string, at time.Time) (end func(isComplete bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.routes[route]
	if !ok {
		if len(d.routes) == maxRoutes {
			return func(bool) {}
		}
		s = &samples{open: make(map[int64]time.Time)}
		d.routes[route] = s
	}
	s.sequence++
	sequence := s.sequence
	s.open[sequence] = at
	return func(isComplete bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(s.open, sequence)
		if isComplete {
			s.add(d.config.Now().Sub(at))
		}
	}
}

// add adds the span of an answer.
func (s *samples) add(span time.Duration) {
	if len(s.spans) < maxSamples {
		s.spans = append(s.spans, span)
		return
	}
	s.spans[s.next] = span
	s.next = (s.next + 1) % maxSamples
}

// Begin begins the stop. The daemon exits at the time, at the latest.
func (d *Drain) Begin(exitAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beganAt, d.exitAt = d.config.Now(), exitAt
	for h := range d.held {
		d.arm(h)
	}
}

// ExitAt returns when the daemon exits at the latest; zero before the stop.
func (d *Drain) ExitAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exitAt
}

// Takes reports whether a call that is to be sent now ends before the exit.
func (d *Drain) Takes(call Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, limited := d.takenUntil(call)
	return !limited || d.config.Now().Before(until)
}

// Hold returns a context for a call that waits, which ends with ErrStopping as its cause once the call would no longer be taken. It
// must be released.
func (d *Drain) Hold(ctx context.Context, call Call) (held context.Context, release func()) {
	held, cancel := context.WithCancelCause(ctx)
	h := &hold{call: call, cancel: cancel}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[h] = struct{}{}
	d.arm(h)
	return held, func() { d.release(h) }
}

func (d *Drain) release(h *hold) {
	d.mu.Lock()
	delete(d.held, h)
	if h.timer != nil {
		h.timer.Stop()
	}
	d.mu.Unlock()
	h.cancel(nil)
}

// arm schedules the end of a held call's context, if the stop has begun; the lock is held.
func (d *Drain) arm(h *hold) {
	if until, limited := d.takenUntil(h.call); limited {
		h.timer = time.AfterFunc(until.Sub(d.config.Now()), func() { h.cancel(ErrStopping) })
	}
}

// takenUntil returns until when the call is taken; limited is false if it always is. The lock is held.
func (d *Drain) takenUntil(call Call) (until time.Time, limited bool) {
	if d.exitAt.IsZero() || call.Deadline.Before(d.exitAt) {
		return until, false
	}
	s := d.routes[call.Route]
	if s == nil || len(s.spans) < minSamples {
		return d.beganAt, true
	}
	until = d.exitAt.Add(-s.usual(d.beganAt) - answerMargin)
	if noticedAt := d.beganAt.Add(noticeSpan); noticedAt.Before(until) {
		until = noticedAt
	}
	return until, true
}

// usual returns the span within which answers usually end: usualShare of the latest ones did, and no call was open for longer at the
// time. Open calls count, since the longest answers are the last to be known.
func (s *samples) usual(at time.Time) time.Duration {
	sorted := slices.Sorted(slices.Values(s.spans))
	usual := sorted[int(usualShare*float64(len(sorted)-1))]
	for _, cameAt := range s.open {
		usual = max(usual, at.Sub(cameAt))
	}
	return usual
}
