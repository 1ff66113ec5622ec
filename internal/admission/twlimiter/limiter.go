// Package twlimiter keeps the requests of each account within its rate and burst. The edge calls it for each request
// after the account is authenticated.
package twlimiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/turmericwall/turmericwall"
)

// Limiter holds one token bucket for each account, with this daemon's share of the account's limit.
//
// The load balancer spreads an account's requests over all daemons, so each daemon grants an equal share of the rate.
// The capacity of a bucket is at least one request, because otherwise an account with a small burst could send none.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct{ limiter *rate.Limiter }

// New returns a limiter without accounts.
func New() *Limiter { return &Limiter{buckets: make(map[string]*bucket)} }

// Admit admits one request of the account if this daemon's share of the limit allows it; daemons is the number of live
// daemons. If the account is over its limit, admitted is false and retryAt is when the request would be admitted.
func (l *Limiter) Admit(now time.Time, account turmericwall.Account, daemons int) (retryAt time.Time, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, account, 1/float64(max(1, daemons)))
	reservation := b.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return time.Time{}, true
	}
	reservation.CancelAt(now)
	return now.Add(wait), false
}

// bucket returns the account's bucket with its limits set to the given share; the lock is held.
func (l *Limiter) bucket(now time.Time, account turmericwall.Account, share float64) *bucket {
	perSecond := rate.Limit(account.RequestsPerSecond * share)
	burst := max(1, int(float64(account.Burst)*share))
	b, ok := l.buckets[account.Name]
	if !ok {
		b = &bucket{limiter: rate.NewLimiter(perSecond, burst)}
		l.buckets[account.Name] = b
	}
	if b.limiter.Limit() != perSecond {
		b.limiter.SetLimitAt(now, perSecond)
	}
	if b.limiter.Burst() != burst {
		b.limiter.SetBurstAt(now, burst)
	}
	return b
}
