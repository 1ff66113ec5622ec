// Package twpath keeps which network paths from this daemon to upstreams are lost, and tells a lost path from an upstream
// that fails by what peers report.
package twpath

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// probeInterval is the time between two attempts to connect on a lost path.
	probeInterval = 500 * time.Millisecond
	// usedSpan is how long after its last use a path is probed or checked.
	usedSpan = 5 * time.Second
	// checkInterval is the shortest time between two checks of a path that is not lost.
	checkInterval = time.Second
	// atFaultSpan is how long an upstream counts as failing after a peer could not connect to it either.
	atFaultSpan = 500 * time.Millisecond
	// minLostPaths is how many paths are lost at least when the daemon counts as cut off; one alone may be the
	// upstream's fault.
	minLostPaths = 2
)

// Paths has the state of the paths from this daemon to upstreams. It is safe for concurrent use and has no clock of its
// own.
type Paths struct {
	mu sync.Mutex
	// lost has the paths on which the last attempt to connect failed, direct the others that were used.
	lost   map[turmericwall.UpstreamKey]*loss
	direct map[turmericwall.UpstreamKey]*usage
	// lastReachedAt is when an exchange or connect that succeeded was begun, on any path to a service.
	lastReachedAt map[string]time.Time
}

// usage is when a path that is not lost was last used, and when it was last checked.
type usage struct {
	upstream          turmericwall.Upstream
	usedAt, checkedAt time.Time
}

// loss is a path that is lost.
type loss struct {
	upstream turmericwall.Upstream
	since    time.Time
	// usedAt is when the path was last needed, and probedAt when it was last probed.
	usedAt, probedAt time.Time
	// atFaultUntil is the time until which the upstream counts as failing, because a peer could not connect either.
	atFaultUntil time.Time
	// refusedAt is when the last attempt to connect was refused; zero if it was only unanswered.
	refusedAt time.Time
	// isForPeer is set if it was lost under a peer's order.
	isForPeer bool
}

// New returns paths none of which is lost.
func New() *Paths {
	return &Paths{
		lost: make(map[turmericwall.UpstreamKey]*loss), direct: make(map[turmericwall.UpstreamKey]*usage),
		lastReachedAt: make(map[string]time.Time),
	}
}

// RecordReached records that something that was begun at startedAt reached the upstream. It reports whether the path
// was lost until then.
func (p *Paths) RecordReached(startedAt time.Time, upstream turmericwall.Upstream) (regained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if startedAt.After(p.lastReachedAt[upstream.Service]) {
		p.lastReachedAt[upstream.Service] = startedAt
	}
	l, ok := p.lost[upstream.Key()]
	if !ok || startedAt.Before(l.since) {
		return false
	}
	delete(p.lost, upstream.Key())
	return true
}

// RecordLoss records that a connection to the upstream could not be established. It reports whether the path was not
// lost until then.
func (p *Paths) RecordLoss(now time.Time, upstream turmericwall.Upstream) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.lost[upstream.Key()]; ok {
		return false
	}
	p.lost[upstream.Key()] = &loss{upstream: upstream, since: now, usedAt: now, probedAt: now}
	delete(p.direct, upstream.Key())
	return true
}

// RecordRefused records when the last attempt to connect on a lost path was refused; zero means that it was only unanswered.
func (p *Paths) RecordRefused(refusedAt time.Time, upstream turmericwall.UpstreamKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.lost[upstream]; ok {
		l.refusedAt = refusedAt
	}
}

// RecordForPeer records that the path was lost since startedAt under a peer's order. Peers ask for upstreams that may have ended, so that it
// doesn't show that this daemon is cut off.
func (p *Paths) RecordForPeer(startedAt time.Time, upstream turmericwall.UpstreamKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.lost[upstream]; ok && !l.since.Before(startedAt) {
		l.isForPeer = true
	}
}

// RefusedAt returns when the last attempt to connect on a lost path was refused; zero if it wasn't.
func (p *Paths) RefusedAt(upstream turmericwall.UpstreamKey) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.lost[upstream]; ok {
		return l.refusedAt
	}
	return time.Time{}
}

// RecordAtFault records that a peer could not connect to the upstream either.
func (p *Paths) RecordAtFault(now time.Time, upstream turmericwall.UpstreamKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.lost[upstream]; ok {
		l.atFaultUntil = now.Add(atFaultSpan)
	}
}

// IsAtFault reports whether a peer lately could not connect to the upstream either.
func (p *Paths) IsAtFault(now time.Time, upstream turmericwall.UpstreamKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.lost[upstream]
	return ok && l.isAtFault(now)
}

// Use reports whether the direct path to the upstream may be used now, and records that it is needed.
func (p *Paths) Use(now time.Time, upstream turmericwall.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.lost[upstream.Key()]; ok {
		l.usedAt = now
		return false
	}
	if p.isCutOff(now, upstream.Service) {
		// The path was not tried since the others were lost. It counts as lost until a probe reaches the upstream.
		p.lost[upstream.Key()] = &loss{upstream: upstream, since: now, usedAt: now}
		delete(p.direct, upstream.Key())
		return false
	}
	p.usageOf(upstream).usedAt = now
	return true
}

// usageOf returns the usage of a path that is not lost; the lock is held.
func (p *Paths) usageOf(upstream turmericwall.Upstream) *usage {
	u, ok := p.direct[upstream.Key()]
	if !ok {
		u = &usage{upstream: upstream}
		p.direct[upstream.Key()] = u
	}
	return u
}

// IsLost reports whether the path to the upstream is lost, and not the upstream at fault.
func (p *Paths) IsLost(now time.Time, upstream turmericwall.UpstreamKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.lost[upstream]
	return ok && !l.isAtFault(now)
}

// IsCutOff reports whether the daemon has no path to the service: several are lost, and none was reached since.
func (p *Paths) IsCutOff(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCutOff(now, service)
}

// isCutOff is IsCutOff; the lock is held. Paths that were lost before the service was last reached don't count: their
// upstreams may be at fault without a peer having said so.
func (p *Paths) isCutOff(now time.Time, service string) bool {
	n := 0
	for _, l := range p.lost {
		if l.upstream.Service == service && !l.isAtFault(now) && !l.isForPeer && l.since.After(p.lastReachedAt[service]) {
			n++
		}
	}
	return n >= minLostPaths
}

// isAtFault reports whether a peer lately could not connect to the upstream either.
func (l *loss) isAtFault(now time.Time) bool { return now.Before(l.atFaultUntil) }

// losses returns how many paths to the service, or to all if it is empty, are lost without an upstream at fault, and
// when the last of them was lost; the lock is held.
func (p *Paths) losses(now time.Time, service string) (n int, last time.Time) {
	for _, l := range p.lost {
		if l.isAtFault(now) || (service != "" && l.upstream.Service != service) {
			continue
		}
		n++
		if l.since.After(last) {
			last = l.since
		}
	}
	return n, last
}

// DueProbes returns up to limit upstreams to which a connection should be tried now: on the lost paths, and while several
// are lost on each path in use that was not checked since the last loss.
func (p *Paths) DueProbes(now time.Time, limit int) []turmericwall.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []turmericwall.Upstream
	for _, l := range p.lost {
		if len(due) == limit {
			return due
		}
		if now.Sub(l.probedAt) < probeInterval || now.Sub(l.usedAt) > usedSpan {
			continue
		}
		l.probedAt = now
		due = append(due, l.upstream)
	}
	n, last := p.losses(now, "")
	if n < minLostPaths {
		return due
	}
	for _, u := range p.direct {
		if len(due) == limit {
			return due
		}
		if now.Sub(u.usedAt) > usedSpan || !u.checkedAt.Before(last) || now.Sub(u.checkedAt) < checkInterval {
			continue
		}
		u.checkedAt = now
		due = append(due, u.upstream)
	}
	return due
}

// StartCheck reports whether a path that is not lost should be checked now.
func (p *Paths) StartCheck(now time.Time, upstream turmericwall.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, lost := p.lost[upstream.Key()]; lost {
		return false
	}
	u := p.usageOf(upstream)
	if now.Sub(u.checkedAt) < checkInterval {
		return false
	}
	u.checkedAt = now
	return true
}

// Lost returns the number of lost paths to the service, or to all if it is empty, without those to upstreams that are
// at fault.
func (p *Paths) Lost(now time.Time, service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, _ := p.losses(now, service)
	return n
}

// DiscardUnknown discards the paths to upstreams that are no longer known, and those that nothing needs any more.
func (p *Paths) DiscardUnknown(now time.Time, known func(turmericwall.UpstreamKey) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, l := range p.lost {
		if !known(key) || now.Sub(l.usedAt) > usedSpan {
			delete(p.lost, key)
		}
	}
	for key, u := range p.direct {
		if !known(key) || now.Sub(u.usedAt) > usedSpan {
			delete(p.direct, key)
		}
	}
}
