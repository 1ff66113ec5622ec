// Package twupstreams keeps the view of the upstreams that registered themselves.
package twupstreams

import (
	"sort"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// returnSpan is how long after the registry's return an entry may be missing before its upstream counts as
// gone. Upstreams beat every 1.2 s and are back within about two seconds, by the registry's own promise.
const returnSpan = 2 * time.Second

// announcedSpan is how long an announced end is remembered after the upstream is no longer known: its entry may lapse and
// come back.
const announcedSpan = 10 * time.Minute

// A position counts the registry's versions, and between two of them the drops of entries that did not come back.
//
// A drop that took the registry's next version would hide the change that comes with it: followers would believe that
// they know it already, and go on sending calls to an upstream that leaves. Drops leave the registry's versions free.
const dropsPerVersion = 1 << 10

// Config says what a view works with.
type Config struct {
	// LapseMillis is the shortest outage of the registry, in milliseconds, in which entries of living upstreams lapse.
	LapseMillis float64
}

// View is what this daemon knows of all upstreams. It has no clock of its own.
type View struct {
	config   Config
	mu       sync.RWMutex
	entries  map[string]*entry
	services map[string][]turmericwall.Upstream
	// all lists all upstreams by id; nil after a change until it is asked for.
	all []turmericwall.Upstream
	// known is set by the first listing.
	known bool
	// away is set while the registry can't be read.
	away bool
	// trustedAt is when a missing entry counts as gone again.
	trustedAt time.Time
	position  int64
	// changed are the newest changes, oldest first, for peers that follow this view.
	changed []change
	// base is the position after which all changes are kept.
	base int64
	// announced tells when incarnations announced their end in an answer. The registry's entries don't undo it: an upstream
	// that leaves may write its last entry late, or never.
	announced map[turmericwall.UpstreamKey]time.Time
}

// change is one upstream that was put or removed at a position.
type change struct {
	position int64
	id       string
}

// keptChanges is how many changes peers may be behind before they get the whole view: a release replaces some tens
// of upstreams within a beat.
const keptChanges = 128

type entry struct {
	upstream turmericwall.Upstream
	// listedLeaving tells that the registry itself says that the upstream leaves.
	listedLeaving bool
	// missing is set when the registry no longer has the entry but may have lost it in an outage.
	missing bool
}

// New returns a view that knows no upstream.
func New(config Config) *View {
	return &View{config: config, entries: make(map[string]*entry), services: make(map[string][]turmericwall.Upstream), announced: make(map[turmericwall.UpstreamKey]time.Time)}
}

// Lost tells that the registry can't be read.
func (v *View) Lost() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = true
}

// Regained tells that the registry answers again; it was last read at the time since.
//
// Entries lapse while the registry is away, though their upstreams live. Dropping them all at its return would
// refuse every call for the two seconds in which upstreams register again. Missing entries are kept until then. After
// a span in which no living upstream's entry can have lapsed, what is missing has left: kept as well, it got new calls
// until 2.3 s after it had said so.
func (v *View) Regained(now, since time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.away {
		return
	}
	v.away = false
	if v.known && float64(now.Sub(since).Milliseconds()) >= v.config.LapseMillis {
		v.trustedAt = now.Add(returnSpan)
	}
}

// List replaces the whole view by a listing at the registry's version.
func (v *View) List(now time.Time, version int64, upstreams []turmericwall.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && version < v.position/dropsPerVersion {
		return
	}
	v.position = max(v.position, version*dropsPerVersion)
	v.known = true
	v.changed = nil
	v.base = v.position
	seen := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		seen[u.ID] = true
		v.keep(u)
	}
	for id := range v.entries {
		if !seen[id] {
			v.remove(now, id)
		}
	}
	v.rebuild()
}

// Put takes one changed entry.
func (v *View) Put(version int64, upstream turmericwall.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.note(version*dropsPerVersion, upstream.ID)
	v.keep(upstream)
	v.rebuild()
}

// Remove takes one removed entry, or one that can no longer be read.
func (v *View) Remove(now time.Time, version int64, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.note(version*dropsPerVersion, id)
	v.remove(now, id)
	v.rebuild()
}

// Sweep drops the entries that are still missing when the registry's span of return is over.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forgetAnnounced(now)
	if v.away || now.Before(v.trustedAt) {
		return
	}
	var missing []string
	for id, e := range v.entries {
		if e.missing {
			missing = append(missing, id)
		}
	}
	if len(missing) == 0 {
		return
	}
	// The registry's version is the same, and followers must hear of it.
	position := v.position + 1
	for _, id := range missing {
		delete(v.entries, id)
		v.note(position, id)
	}
	v.rebuild()
}

// Since returns what changed after the position; ok is false when that is no longer known.
func (v *View) Since(position int64) (put []turmericwall.Upstream, removed []string, now int64, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if position < v.base {
		return nil, nil, v.position, false
	}
	seen := make(map[string]bool)
	for _, c := range v.changed {
		if c.position <= position || seen[c.id] {
			continue
		}
		seen[c.id] = true
		if e, ok := v.entries[c.id]; ok {
			put = append(put, e.upstream)
			continue
		}
		removed = append(removed, c.id)
	}
	return put, removed, v.position, true
}

// Follow takes the changes that a peer saw, which judged itself what is gone.
func (v *View) Follow(position int64, put []turmericwall.Upstream, removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if position <= v.position {
		return
	}
	for _, u := range put {
		v.note(position, u.ID)
		v.keep(u)
	}
	for _, id := range removed {
		v.note(position, id)
		delete(v.entries, id)
	}
	v.position = position
	v.rebuild()
}

// FollowAll takes the whole view of a peer, which judged itself what is gone.
func (v *View) FollowAll(position int64, upstreams []turmericwall.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && position < v.position {
		return
	}
	v.position = position
	v.base = position
	v.known = true
	v.changed = nil
	v.entries = make(map[string]*entry, len(upstreams))
	for _, u := range upstreams {
		v.keep(u)
	}
	v.rebuild()
}

// Known tells that a listing was seen.
func (v *View) Known() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.known
}

// Version is the registry's version that the view has reached.
func (v *View) Version() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.position / dropsPerVersion
}

// Position is how far the view has come: peers that follow it ask for what changed since.
func (v *View) Position() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.position
}

// Announced notes that an incarnation announced its end in an answer, and takes it for leaving from now on; first tells that
// this wasn't known. The position stays: followers count it by the registry's changes alone.
func (v *View) Announced(now time.Time, key turmericwall.UpstreamKey) (first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.announced[key]; known {
		return false
	}
	v.announced[key] = now
	if e, ok := v.entries[key.ID]; ok && e.upstream.Key() == key && !e.upstream.Leaving {
		e.upstream.Leaving = true
		v.rebuild()
	}
	return true
}

// AllAnnounced are the known incarnations that announced their end in an answer and that the registry doesn't list as leaving.
func (v *View) AllAnnounced() []turmericwall.UpstreamKey {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []turmericwall.UpstreamKey
	for key := range v.announced {
		if e, ok := v.entries[key.ID]; ok && e.upstream.Key() == key && !e.listedLeaving {
			list = append(list, key)
		}
	}
	return list
}

// keep takes an entry; the lock is held.
func (v *View) keep(u turmericwall.Upstream) {
	listed := u.Leaving
	if _, announced := v.announced[u.Key()]; announced {
		u.Leaving = true
	}
	v.entries[u.ID] = &entry{upstream: u, listedLeaving: listed}
}

// forgetAnnounced drops what is no longer known and announced its end long ago; the lock is held.
func (v *View) forgetAnnounced(now time.Time) {
	for key, at := range v.announced {
		if e, ok := v.entries[key.ID]; now.Sub(at) > announcedSpan && (!ok || e.upstream.Key() != key) {
			delete(v.announced, key)
		}
	}
}

// Upstreams returns the service's upstreams, leaving ones included. The slice is shared and never changed.
func (v *View) Upstreams(service string) []turmericwall.Upstream {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.services[service]
}

// All returns all upstreams, ordered by id. The slice is shared and never changed.
func (v *View) All() []turmericwall.Upstream {
	_, all := v.Whole()
	return all
}

// Whole returns the position and all upstreams as of it, ordered by id. The slice is shared and never changed.
func (v *View) Whole() (position int64, all []turmericwall.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.all == nil {
		v.all = make([]turmericwall.Upstream, 0, len(v.entries))
		for _, e := range v.entries {
			v.all = append(v.all, e.upstream)
		}
		sort.Slice(v.all, func(i, j int) bool { return v.all[i].ID < v.all[j].ID })
	}
	return v.position, v.all
}

// Takes tells that the incarnation is still known and takes new work.
func (v *View) Takes(key turmericwall.UpstreamKey) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.entries[key.ID]
	return ok && e.upstream.Key() == key && !e.upstream.Leaving
}

// Has tells that the incarnation is still known, leaving or not.
func (v *View) Has(key turmericwall.UpstreamKey) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.entries[key.ID]
	return ok && e.upstream.Key() == key
}

// note counts a change and keeps it for followers; the lock is held.
func (v *View) note(position int64, id string) {
	v.position = max(v.position, position)
	v.changed = append(v.changed, change{position: position, id: id})
	if len(v.changed) > keptChanges {
		v.base = v.changed[0].position
		v.changed = v.changed[1:]
	}
}

func (v *View) remove(now time.Time, id string) {
	e, ok := v.entries[id]
	if !ok {
		return
	}
	if v.away || now.Before(v.trustedAt) {
		e.missing = true
		return
	}
	delete(v.entries, id)
}

func (v *View) rebuild() {
	v.all = nil
	services := make(map[string][]turmericwall.Upstream, len(v.services))
	for _, e := range v.entries {
		services[e.upstream.Service] = append(services[e.upstream.Service], e.upstream)
	}
	for _, list := range services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	v.services = services
}
