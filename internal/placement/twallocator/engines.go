package twallocator

import (
	"slices"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twprefills"
)

// SetEngines replaces the list of engines. The calls on engines that are no longer listed, or that were restarted, are
// released. The list is kept, and must not be changed.
func (a *Allocator) SetEngines(now time.Time, upstreams []turmericwall.Upstream) {
	if !slices.IsSortedFunc(upstreams, compareIDs) {
		upstreams = slices.Clone(upstreams)
		slices.SortFunc(upstreams, compareIDs)
	}
	old := a.upstreams
	for _, u := range upstreams {
		for len(old) > 0 && old[0].ID < u.ID {
			a.removeEngine(old[0].ID)
			old = old[1:]
		}
		listed := len(old) > 0 && old[0].ID == u.ID
		if listed && old[0] == u {
			old = old[1:]
			continue
		}
		if listed && old[0].Key() != u.Key() {
			a.removeEngine(u.ID)
			listed = false
			old = old[1:]
		}
		if listed {
			a.engines[u.ID].upstream = u
			old = old[1:]
			continue
		}
		a.engines[u.ID] = &engine{
			upstream: u, runs: make(map[string]*run), prefillBacklogAt: now, usedIndex: notUsed,
			prefills: twprefills.New(),
		}
	}
	for _, u := range old {
		a.removeEngine(u.ID)
	}
	a.upstreams = upstreams
	a.ordered = make([]*engine, 0, len(upstreams))
	for _, u := range upstreams {
		a.ordered = append(a.ordered, a.engines[u.ID])
	}
	a.buildPools(now)
}

func compareIDs(x, y turmericwall.Upstream) int { return strings.Compare(x.ID, y.ID) }

// SetUnavailable sets which engines have no role because they change it, by their ids, and which incarnations accept
// no calls now.
func (a *Allocator) SetUnavailable(now time.Time, changing []string, refusing []turmericwall.UpstreamKey) {
	if len(changing)+len(refusing)+len(a.changing)+len(a.refusing) == 0 {
		return
	}
	for _, e := range a.refusing {
		e.refusing = false
	}
	a.refusing = a.refusing[:0]
	for _, key := range refusing {
		if e, ok := a.engines[key.ID]; ok && e.upstream.Key() == key {
			e.refusing = true
			a.refusing = append(a.refusing, e)
		}
	}
	a.setChanging(now, changing)
}

// setChanging sets which engines change their role, and builds the pools anew if these are others than before.
func (a *Allocator) setChanging(now time.Time, ids []string) {
	before := a.changing
	for _, e := range before {
		e.changingRole = false
	}
	a.changing = make([]*engine, 0, len(ids))
	for _, id := range ids {
		if e, ok := a.engines[id]; ok && !e.changingRole {
			e.changingRole = true
			a.changing = append(a.changing, e)
		}
	}
	same := len(before) == len(a.changing)
	for _, e := range before {
		same = same && e.changingRole
	}
	if !same {
		a.buildPools(now)
	}
}

// buildPools assigns the engines to the pools of their roles.
func (a *Allocator) buildPools(now time.Time) {
	for _, e := range a.ordered {
		e.pool = nil
	}
	a.prefills = newPool(turmericwall.RolePrefill, a.ordered)
	a.decodes = newPool(turmericwall.RoleDecode, a.ordered)
	for _, e := range a.ordered {
		a.updateUsed(now, e)
	}
	a.occupancy = nil
	a.listVersions()
}

// listVersions lists the software versions of the engines that take new calls.
func (a *Allocator) listVersions() {
	a.versions, a.mixed = nil, false
	var first *engine
	for _, e := range a.ordered {
		if e.upstream.Leaving || e.role() == "" {
			continue
		}
		if first == nil {
			first = e
		}
		a.mixed = a.mixed || e.upstream.Version != first.upstream.Version
		if e.role() == turmericwall.RoleDecode && !slices.Contains(a.versions, e.upstream.Version) {
			a.versions = append(a.versions, e.upstream.Version)
		}
	}
	slices.Sort(a.versions)
}

// updateUsed records in the engine's pool whether the engine is in use.
func (a *Allocator) updateUsed(now time.Time, e *engine) {
	switch e.pool {
	case nil:
	case a.decodes:
		e.pool.setUsed(e, len(e.runs) > 0)
	default:
		e.pool.setUsed(e, a.isPrefillUsed(now, e))
	}
}

func (a *Allocator) removeEngine(id string) {
	e, ok := a.engines[id]
	if !ok {
		return
	}
	for callID, r := range e.runs {
		a.endPrefill(callID, r)
		a.pace.End(time.Time{}, callID)
		a.shares.End(callID)
		delete(a.engineByCall, callID)
	}
	a.ejections.Remove(id)
	a.pace.Remove(id)
	delete(a.engines, id)
}
