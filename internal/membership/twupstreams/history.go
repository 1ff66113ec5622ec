package twupstreams

import "github.com/turmericwall/turmericwall"

// change is one upstream that was put or removed at a position.
type change struct {
	position int64
	id       string
}

// ChangesSince returns what changed after the position, and the view's position; ok is false when these changes are no
// longer kept.
func (v *View) ChangesSince(position int64) (put []turmericwall.Upstream, removed []string, now int64, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if position < v.historyStart {
		return nil, nil, v.position, false
	}
	seen := make(map[string]bool)
	for _, c := range v.changes {
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

// recordChange advances the position and keeps the change for followers; the lock is held.
func (v *View) recordChange(position int64, id string) {
	v.position = max(v.position, position)
	v.changes = append(v.changes, change{position: position, id: id})
	if len(v.changes) > max(minChanges, int(changesShare*float64(len(v.entries)))) {
		v.historyStart = v.changes[0].position
		v.changes = v.changes[1:]
	}
}
