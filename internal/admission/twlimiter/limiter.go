// Package twlimiter bounds the requests of each account.
package twlimiter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/turmericwall/turmericwall"
)

// Limiter holds one token bucket for each account, as this daemon's share of the account's limit.
//
// The balancer spreads an account's calls over all daemons, so each grants its share of the rate. A
// bucket never holds less than one request, or an account with a small burst could not call at all.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct{ limiter *rate.Limiter }

// New returns a limiter without accounts.
func New() *Limiter { return &Limiter{buckets: make(map[string]*bucket)} }

// Admit takes one request of the account, at a daemon that is one of so many; it returns when to come
// back if the account is over its limit.
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
