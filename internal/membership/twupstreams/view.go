// Package twupstreams holds this daemon's view of the upstreams that registered in the store. Routing and placement
// read it for every call. The leader builds it from the registry's rows; the other daemons follow the leader's view.
package twupstreams

import (
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// reregistrationSpan is how long after the registry has recovered an entry may be missing before its upstream counts
// as removed. Upstreams send a heartbeat every 1.2 s and are registered again within two seconds, which the registry
// guarantees.
const reregistrationSpan = 2 * time.Second

// positionsPerVersion is the number of positions of a view for each version of the registry. The positions between
// two versions count removals of entries that stayed missing after an outage.
//
// If such a removal took the registry's next version, it would hide the change that comes with that version:
// followers would skip it as known, and continue to send calls to an upstream that leaves.
const positionsPerVersion = 1 << 10

// Config holds the settings of a view.
type Config struct {
	// LapseMillis is the shortest outage of the registry, in milliseconds, in which entries of running upstreams
	// lapse.
	LapseMillis float64
}

// View is this daemon's view of all upstreams. It has no clock of its own and is safe for concurrent use.
type View struct {
	config  Config
	mu      sync.RWMutex
	entries map[string]*entry
	// missingCount is the number of entries that are missing.
	missingCount int
	// services lists the upstreams of each service by id. A list is replaced and never changed, since it is shared.
	services map[string][]turmericwall.Upstream
	// outdated are the ids whose entries changed since the lists of their services were built, by service.
	outdated map[string][]string
	// all lists all upstreams by id; nil after a change until it is requested.
	all []turmericwall.Upstream
	// listed is set by the first listing.
	listed bool
	// unavailable is set while the registry cannot be read.
	unavailable bool
	// removalsTrustedAt is when a missing entry counts as removed again.
	removalsTrustedAt time.Time
	position          int64
	// changes are the newest changes, oldest first, for peers that follow this view.
	changes []change
	// historyStart is the position after which all changes are kept.
	historyStart int64
	// announced maps an incarnation to the time at which it first announced in an answer that it is leaving. The
	// registry's entries do not cancel an announcement: a leaving upstream may write its last entry late, or never.
	announced map[turmericwall.UpstreamKey]time.Time
	// departed are the incarnations whose entries were removed lately. heldOut are those of them that the copy of a new
	// era lists again, and until when they get no calls.
	departed map[turmericwall.UpstreamKey]departure
	heldOut  map[turmericwall.UpstreamKey]time.Time
	// followsPeer is set while the newest state came from a peer, which also decides when upstreams get calls again.
	followsPeer bool
	// sweptAt is the time of the last sweep, for events that have no time of their own.
	sweptAt time.Time
}

// A peer may be behind by minChanges, or by the changesShare of all upstreams, before it gets the whole view. A release
// or a removal of engines changes a share of all upstreams within one heartbeat interval, and the whole view for each
// of a thousand peers would fill the leader's link.
const (
	minChanges   = 128
	changesShare = 0.25
)

// Change is one changed entry of the registry.
type Change struct {
	// Version is the registry's version of the change.
	Version int64
	ID      string
	// Upstream is the new entry. It is not used if Removed is set: the entry was removed or cannot be decoded.
	Upstream turmericwall.Upstream
	Removed  bool
}

// entry is one upstream as listed by the registry or a peer.
type entry struct {
	upstream turmericwall.Upstream
	// listedLeaving is set when the registry itself lists the upstream as leaving.
	listedLeaving bool
	// missing is set when the registry no longer has the entry but may have lost it in an outage.
	missing bool
}

// New returns a view without upstreams.
func New(config Config) *View {
	return &View{
		config: config, entries: make(map[string]*entry), services: make(map[string][]turmericwall.Upstream),
		outdated:  make(map[string][]string),
		announced: make(map[turmericwall.UpstreamKey]time.Time),
		departed:  make(map[turmericwall.UpstreamKey]departure),
		heldOut:   make(map[turmericwall.UpstreamKey]time.Time),
	}
}

// MarkUnavailable records that the registry cannot be read.
func (v *View) MarkUnavailable() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unavailable = true
}

// MarkAvailable records that the registry answers again; it was last read at lastReadAt.
//
// Entries lapse while the registry is unavailable, though their upstreams run. If they were all removed when it
// recovers, every call would be refused for the two seconds in which upstreams register again, so missing entries are
// kept until then. After an outage too short for entries of running upstreams to lapse, a missing entry belongs to an
// upstream that left; if it were kept as well, that upstream would get new calls until 2.3 s after it announced that
// it leaves.
func (v *View) MarkAvailable(now, lastReadAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.unavailable {
		return
	}
	v.unavailable = false
	if v.listed && float64(now.Sub(lastReadAt).Milliseconds()) >= v.config.LapseMillis {
		v.removalsTrustedAt = now.Add(reregistrationSpan)
	}
}

// ApplyListing replaces the whole view by a listing at the registry's version. A listing older than the view is
// ignored; applied reports whether it was not.
func (v *View) ApplyListing(now time.Time, version int64, upstreams []turmericwall.Upstream) (applied bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listed && version < v.position/positionsPerVersion {
		return false
	}
	v.enterEra(version)
	v.followsPeer = false
	v.position = max(v.position, version*positionsPerVersion)
	v.listed = true
	v.changes = nil
	v.historyStart = v.position
	seen := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		seen[u.ID] = true
		v.setEntry(u)
	}
	for id := range v.entries {
		if !seen[id] {
			v.removeEntry(now, id)
		}
	}
	v.updateLists()
	return true
}

// ApplyChanges applies changed entries of the registry in the order of their versions.
func (v *View) ApplyChanges(now time.Time, changes []Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range changes {
		v.recordChange(c.Version*positionsPerVersion, c.ID)
		if c.Removed {
			v.removeEntry(now, c.ID)
			continue
		}
		// Whoever writes in this era is running.
		delete(v.heldOut, c.Upstream.Key())
		v.setEntry(c.Upstream)
	}
	v.updateLists()
}

// Put applies one changed entry of the registry's version.
func (v *View) Put(version int64, upstream turmericwall.Upstream) {
	v.ApplyChanges(time.Time{}, []Change{{Version: version, ID: upstream.ID, Upstream: upstream}})
}

// Remove applies the removal of one entry, or an entry that cannot be decoded.
func (v *View) Remove(now time.Time, version int64, id string) {
	v.ApplyChanges(now, []Change{{Version: version, ID: id, Removed: true}})
}

// RemoveMissing removes the entries that are still missing after reregistrationSpan, and what is known of leaving and
// removed upstreams once it has expired.
func (v *View) RemoveMissing(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sweptAt = now
	v.expireAnnounced(now)
	v.expireDepartures(now)
	if v.missingCount == 0 || v.unavailable || now.Before(v.removalsTrustedAt) {
		return
	}
	// The registry's version stays the same, but followers must get the removals.
	position := v.position + 1
	for id, e := range v.entries {
		if e.missing {
			v.dropEntry(id)
			v.recordChange(position, id)
		}
	}
	v.updateLists()
}

// ApplyPeerChanges applies changes of a peer's view. The peer has decided itself which upstreams are removed.
func (v *View) ApplyPeerChanges(position int64, put []turmericwall.Upstream, removed []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if position <= v.position {
		return
	}
	for _, u := range put {
		v.recordChange(position, u.ID)
		delete(v.heldOut, u.Key())
		v.setEntry(u)
	}
	for _, id := range removed {
		v.recordChange(position, id)
		v.dropEntry(id)
	}
	v.position = position
	v.followsPeer = true
	v.updateLists()
}

// ApplyPeerView replaces the view by a peer's whole view. The peer has decided itself which upstreams are removed.
func (v *View) ApplyPeerView(position int64, upstreams []turmericwall.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listed && position < v.position {
		return
	}
	v.enterEra(position / positionsPerVersion)
	v.followsPeer = true
	v.position = position
	v.historyStart = position
	v.listed = true
	v.changes = nil
	seen := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		seen[u.ID] = true
		v.setEntry(u)
	}
	for id := range v.entries {
		if !seen[id] {
			v.dropEntry(id)
		}
	}
	v.updateLists()
}

// HasListing reports whether a listing was applied.
func (v *View) HasListing() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.listed
}

// Version returns the registry's version that the view has reached.
func (v *View) Version() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.position / positionsPerVersion
}

// Position returns the view's position: peers that follow the view request what changed after it.
func (v *View) Position() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.position
}

// setEntry stores an entry; the lock is held.
func (v *View) setEntry(u turmericwall.Upstream) {
	delete(v.departed, u.Key())
	listed := u.Leaving
	u.Leaving = listed || v.hasLeft(u.Key())
	known, ok := v.entries[u.ID]
	if ok && known.upstream == u && !known.missing {
		known.listedLeaving = listed
		return
	}
	if ok {
		v.deleteEntry(u.ID)
	}
	e := &entry{upstream: u, listedLeaving: listed}
	v.entries[u.ID] = e
	v.markOutdated(e)
}

// deleteEntry deletes an entry; the lock is held.
func (v *View) deleteEntry(id string) {
	e, ok := v.entries[id]
	if !ok {
		return
	}
	if e.missing {
		v.missingCount--
	}
	v.markOutdated(e)
	delete(v.entries, id)
}

// Role returns the role that the upstream reports; it is empty for a plain service and an unknown upstream.
func (v *View) Role(id string) turmericwall.Role {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.entries[id]
	if !ok {
		return ""
	}
	return e.upstream.Role
}

// AcceptsCalls reports whether the incarnation is known and accepts new calls.
func (v *View) AcceptsCalls(key turmericwall.UpstreamKey) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.entries[key.ID]
	return ok && e.upstream.Key() == key && !e.upstream.Leaving
}

// Find returns the incarnation, and whether it accepts new calls; ok is false if it is not known.
func (v *View) Find(key turmericwall.UpstreamKey) (upstream turmericwall.Upstream, acceptsCalls, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, known := v.entries[key.ID]
	if !known || e.upstream.Key() != key {
		return turmericwall.Upstream{}, false, false
	}
	return e.upstream, !e.upstream.Leaving, true
}

// Listed returns the registry's entry of an upstream, whichever incarnation it is; ok is false if there is none.
func (v *View) Listed(id string) (upstream turmericwall.Upstream, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.entries[id]
	if !ok {
		return turmericwall.Upstream{}, false
	}
	return e.upstream, true
}

// VersionOf returns the software version of an incarnation that a call was sent to: its own, unless another version is
// listed under its id by now. Then it is unknown, and empty: either of them may have got the call.
func (v *View) VersionOf(u turmericwall.Upstream) turmericwall.SoftwareVersion {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.entries[u.ID]
	if ok && e.upstream.Version != u.Version {
		return ""
	}
	return u.Version
}

// Contains reports whether the incarnation is known, leaving or not.
func (v *View) Contains(key turmericwall.UpstreamKey) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok := v.entries[key.ID]
	return ok && e.upstream.Key() == key
}

// removeEntry removes an entry, or marks it as missing while removals are not trusted; the lock is held.
func (v *View) removeEntry(now time.Time, id string) {
	e, ok := v.entries[id]
	if !ok {
		return
	}
	if v.unavailable || now.Before(v.removalsTrustedAt) {
		if !e.missing {
			e.missing = true
			v.missingCount++
		}
		return
	}
	v.dropEntry(id)
}
