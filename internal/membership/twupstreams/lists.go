package twupstreams

import (
	"slices"
	"strings"

	"github.com/turmericwall/turmericwall"
)

// Upstreams returns the service's upstreams, leaving ones included, ordered by id. The slice is shared; callers must
// not change it.
func (v *View) Upstreams(service string) []turmericwall.Upstream {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.services[service]
}

// All returns all upstreams, ordered by id. The slice is shared; callers must not change it.
func (v *View) All() []turmericwall.Upstream {
	_, all := v.Snapshot()
	return all
}

// Snapshot returns the position and all upstreams at it, ordered by id. The slice is shared; callers must not change
// it.
func (v *View) Snapshot() (position int64, all []turmericwall.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.all == nil {
		v.all = make([]turmericwall.Upstream, 0, len(v.entries))
		for _, e := range v.entries {
			v.all = append(v.all, e.upstream)
		}
		slices.SortFunc(v.all, compareIDs)
	}
	return v.position, v.all
}

// markOutdated records that the entry's service must be listed anew; the lock is held.
func (v *View) markOutdated(e *entry) {
	service := e.upstream.Service
	v.outdated[service] = append(v.outdated[service], e.upstream.ID)
}

// updateLists lists the services of the outdated entries anew and discards the list of all; the lock is held.
//
// The unchanged part of a list is copied, because sorting 10,000 upstreams for each one that changes would take most of
// a leader's processor time while engines are replaced.
func (v *View) updateLists() {
	if len(v.outdated) == 0 {
		return
	}
	v.all = nil
	for service, ids := range v.outdated {
		slices.Sort(ids)
		list := v.mergeList(service, slices.Compact(ids))
		if len(list) == 0 {
			delete(v.services, service)
			continue
		}
		v.services[service] = list
	}
	clear(v.outdated)
}

// mergeList returns the service's list with the entries of the ids as they are now; ids are in ascending order. The
// lock is held.
func (v *View) mergeList(service string, ids []string) []turmericwall.Upstream {
	rest := v.services[service]
	merged := make([]turmericwall.Upstream, 0, len(rest)+len(ids))
	for _, id := range ids {
		n, listed := slices.BinarySearchFunc(rest, id, func(u turmericwall.Upstream, id string) int {
			return strings.Compare(u.ID, id)
		})
		merged = append(merged, rest[:n]...)
		rest = rest[n:]
		if listed {
			rest = rest[1:]
		}
		if e, ok := v.entries[id]; ok && e.upstream.Service == service {
			merged = append(merged, e.upstream)
		}
	}
	return append(merged, rest...)
}

func compareIDs(a, b turmericwall.Upstream) int { return strings.Compare(a.ID, b.ID) }
