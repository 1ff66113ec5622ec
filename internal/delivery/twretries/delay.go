package twretries

import "time"

// minDelay and maxDelay bound the delay before a call that was refused is placed again. Without the lower bound, calls
// that are refused at once would keep the leader busy with refusals.
const (
	minDelay = 100 * time.Millisecond
	maxDelay = 500 * time.Millisecond
)

// Delay returns how long to wait at now before a call is placed again whose refusal names the retry time.
func Delay(now, retryAt time.Time) time.Duration {
	return min(max(retryAt.Sub(now), minDelay), maxDelay)
}
