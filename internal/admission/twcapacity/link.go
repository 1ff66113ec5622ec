package twcapacity

import "time"

// link is one direction of the network link, as a queue that is emptied at the link's rate.
type link struct {
	// rate is in bytes per second, 0 if it is unknown.
	rate       float64
	queued     float64
	total      int64
	recordedAt time.Time
}

// record adds the bytes since the last record, and removes those that the link has carried since.
func (l *link) record(now time.Time, total int64) {
	if l.recordedAt.IsZero() {
		l.total, l.recordedAt = total, now
		return
	}
	elapsed := now.Sub(l.recordedAt).Seconds()
	l.queued = max(l.queued+float64(total-l.total)-l.rate*elapsed, 0)
	l.total, l.recordedAt = total, now
}

// delay returns how long the link takes to carry what is queued.
func (l *link) delay() time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(l.queued / l.rate * float64(time.Second))
}
