// Package twversionhistory knows which software versions of each service were listed lately, and since when it knows all
// of them.
package twversionhistory

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// maxObservationGap is the longest time between two observations in which no version can have been listed unseen: a
	// crashed upstream stays listed for three heartbeats.
	maxObservationGap = 3 * time.Second
	// retention is how long a version is remembered; streams live for less.
	retention = 5 * time.Minute
)

// Config configures a History.
type Config struct {
	// FirstStart is set if the system starts for the first time, so that no version was listed before.
	FirstStart bool
	// MaxAge is the greatest age of a view that still counts as fresh.
	MaxAge time.Duration
	// Now returns the current instant; nil for the system's clock.
	Now func() twboottime.Instant
}

// History is what a daemon knows of the versions that were listed. Its clock counts while the VM is suspended. It is safe
// for concurrent use.
type History struct {
	config Config
	mu     sync.Mutex
	// coveredFrom and coveredTo bound the time in which all listed versions are known; coveredTo is zero before the first
	// observation.
	coveredFrom, coveredTo twboottime.Instant
	// listedAt is when each version of a service was last listed.
	listedAt map[string]map[turmericwall.SoftwareVersion]twboottime.Instant
}

// New returns a history without observations.
func New(config Config) *History {
	if config.Now == nil {
		config.Now = twboottime.Now
	}
	return &History{config: config, listedAt: make(map[string]map[turmericwall.SoftwareVersion]twboottime.Instant)}
}

// Observe records the upstreams of a view whose state has the age.
func (h *History) Observe(age time.Duration, upstreams []turmericwall.Upstream) {
	now := h.config.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	seenAt := now.Add(-age)
	switch {
	case h.coveredTo == 0 && h.config.FirstStart:
		h.coveredFrom = seenAt.Add(-retention)
	case h.coveredTo == 0, seenAt.Sub(h.coveredTo) > maxObservationGap:
		h.coveredFrom = seenAt
	}
	h.coveredTo = max(h.coveredTo, seenAt)
	for _, u := range upstreams {
		h.list(u.Service, u.Version, now)
	}
	h.forget(now)
}

// Merge records what a peer knows.
func (h *History) Merge(peer turmericwall.VersionHistory) {
	now := h.config.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range peer.Versions {
		h.list(v.Service, v.Version, now.Add(-time.Duration(v.AgeMillis)*time.Millisecond))
	}
	if from := now.Add(-time.Duration(peer.CoveredMillis) * time.Millisecond); peer.CoveredMillis > 0 {
		if h.coveredTo == 0 {
			h.coveredFrom, h.coveredTo = from, now
		}
		h.coveredFrom = min(h.coveredFrom, from)
	}
}

// Report returns what this daemon knows, for a peer.
func (h *History) Report() turmericwall.VersionHistory {
	now := h.config.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var report turmericwall.VersionHistory
	if h.isFresh(now) {
		report.CoveredMillis = now.Sub(h.coveredFrom).Milliseconds()
	}
	for service, versions := range h.listedAt {
		for version, at := range versions {
			report.Versions = append(report.Versions, turmericwall.ListedVersion{
				Service: service, Version: version, AgeMillis: now.Sub(at).Milliseconds(),
			})
		}
	}
	return report
}

// Only returns the only version of the service that was listed within the span; ok is false if there were several or
// none, or if not all are known.
func (h *History) Only(service string, span time.Duration) (version turmericwall.SoftwareVersion, ok bool) {
	now := h.config.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isFresh(now) || now.Sub(h.coveredFrom) < span {
		return "", false
	}
	count := 0
	for listed, at := range h.listedAt[service] {
		if now.Sub(at) <= span {
			version = listed
			count++
		}
	}
	// Peers of an earlier build list upstreams without their versions.
	return version, count == 1 && version != ""
}

// Covers reports whether all versions that were listed before the instant are known.
func (h *History) Covers(at twboottime.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coveredTo != 0 && h.coveredTo >= at
}

// isFresh reports whether the last observation was of a fresh view; the lock is held.
func (h *History) isFresh(now twboottime.Instant) bool {
	return h.coveredTo != 0 && now.Sub(h.coveredTo) <= h.config.MaxAge
}

// list records that a version was listed; the lock is held.
func (h *History) list(service string, version turmericwall.SoftwareVersion, at twboottime.Instant) {
	versions, ok := h.listedAt[service]
	if !ok {
		versions = make(map[turmericwall.SoftwareVersion]twboottime.Instant)
		h.listedAt[service] = versions
	}
	if known, ok := versions[version]; !ok || at > known {
		versions[version] = at
	}
}

// forget drops versions that were not listed for longer than retention; the lock is held.
func (h *History) forget(now twboottime.Instant) {
	for service, versions := range h.listedAt {
		for version, at := range versions {
			if now.Sub(at) > retention {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.listedAt, service)
		}
	}
}
