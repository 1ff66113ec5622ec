package twlimiter_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twlimiter"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// admitCalls sends a number of calls and returns how many were admitted.
func admitCalls(l *twlimiter.Limiter, now time.Time, account turmericwall.Account, daemons, calls int) int {
	count := 0
	for range calls {
		if _, ok := l.Admit(now, account, daemons); ok {
			count++
		}
	}
	return count
}

// Guards against refused first calls of a new account: a bucket that starts empty refuses all but one of them, although
// the account is far below its limit.
func TestFirstBurstOfAnAccountIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	account := turmericwall.Account{Name: "a", RequestsPerSecond: 10, Burst: 60}
	g.Expect(admitCalls(twlimiter.New(), start, account, 6, 100)).To(Equal(10))
}

// Guards against a retry time at which the account is refused again, or which is later than necessary.
func TestRefusalReturnsTheRetryTime(t *testing.T) {
	g := NewWithT(t)
	l := twlimiter.New()
	account := turmericwall.Account{Name: "a", RequestsPerSecond: 10, Burst: 1}
	g.Expect(admitCalls(l, start, account, 1, 1)).To(Equal(1))
	at, ok := l.Admit(start, account, 1)
	g.Expect(ok).To(BeFalse())
	g.Expect(at).To(Equal(start.Add(100 * time.Millisecond)))
	g.Expect(admitCalls(l, at, account, 1, 1)).To(Equal(1))
}

// Guards against a daemon that still grants its former share of the limit after the other five of six daemons
// terminated.
func TestShareFollowsTheNumberOfDaemons(t *testing.T) {
	g := NewWithT(t)
	l := twlimiter.New()
	account := turmericwall.Account{Name: "a", RequestsPerSecond: 60, Burst: 6}
	g.Expect(admitCalls(l, start, account, 6, 100)).To(Equal(1))
	g.Expect(admitCalls(l, start.Add(time.Second), account, 6, 100)).To(Equal(1))
	g.Expect(admitCalls(l, start.Add(2*time.Second), account, 1, 100)).To(BeNumerically(">", 0))
	g.Expect(admitCalls(l, start.Add(3*time.Second), account, 1, 100)).To(Equal(6))
}
