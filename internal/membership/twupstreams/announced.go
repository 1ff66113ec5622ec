package twupstreams

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// announcementRetention is how long an announcement of leaving is kept after the upstream is no longer known: its
// entry may lapse and be listed again.
const announcementRetention = 10 * time.Minute

// RecordAnnouncement records that an incarnation announced in an answer that it is leaving, and marks it as leaving.
// first reports whether this was its first announcement. The position stays the same: followers count it by the
// registry's changes alone.
func (v *View) RecordAnnouncement(now time.Time, key turmericwall.UpstreamKey) (first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.announced[key]; known {
		return false
	}
	v.announced[key] = now
	if e, ok := v.entries[key.ID]; ok && e.upstream.Key() == key && !e.upstream.Leaving {
		e.upstream.Leaving = true
		v.markOutdated(e)
		v.updateLists()
	}
	return true
}

// AnnouncedLeaving returns the known incarnations that announced in an answer that they are leaving, but that the
// registry does not list as leaving yet.
func (v *View) AnnouncedLeaving() []turmericwall.UpstreamKey {
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

// expireAnnounced removes announcements older than announcementRetention of incarnations that are no longer known;
// the lock is held.
func (v *View) expireAnnounced(now time.Time) {
	for key, at := range v.announced {
		if e, ok := v.entries[key.ID]; now.Sub(at) > announcementRetention && (!ok || e.upstream.Key() != key) {
			delete(v.announced, key)
		}
	}
}
