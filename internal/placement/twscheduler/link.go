package twscheduler

import "time"

// kvBytesPerToken is the KV cache of one prompt token: 24,000 GB/s over 100,000 requests/s of about
// 2,000 tokens each.
const kvBytesPerToken = 120_000

// link is the budget of the transfers between two zones.
type link struct {
	bytesPerSecond float64
	costMillis     float64
	busyUntil      time.Time
}

type zonePair struct{ from, to string }

// transferEnd is when a transfer that may start at the time would end.
func (l *link) transferEnd(start time.Time, tokens int) time.Time {
	if l == nil {
		return start
	}
	seconds := float64(tokens) * kvBytesPerToken / l.bytesPerSecond
	return later(l.busyUntil, start).Add(time.Duration(seconds * float64(time.Second)))
}

func (l *link) cost() time.Duration {
	if l == nil {
		return 0
	}
	return millis(l.costMillis)
}

func (l *link) book(end time.Time) {
	if l != nil {
		l.busyUntil = end
	}
}
