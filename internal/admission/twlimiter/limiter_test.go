package twlimiter_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twlimiter"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func admitted(l *twlimiter.Limiter, now time.Time, account turmericwall.Account, daemons, calls int) int {
	count := 0
	for range calls {
		if _, ok := l.Admit(now, account, daemons); ok {
			count++
		}
	}
	return count
}

// An account that was never seen sends its first calls at once. A bucket that starts empty would refuse
// all but one of them, although the account is far below its limit.
func TestFirstBurstOfAnAccountIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	account := turmericwall.Account{Name: "a", RequestsPerSecond: 10, Burst: 60}
	g.Expect(admitted(twlimiter.New(), start, account, 6, 100)).To(Equal(10))
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	l := twlimiter.New()
	account := turmericwall.Account{Name: "a", RequestsPerSecond: 10, Burst: 1}
	g.Expect(admitted(l, start, account, 1, 1)).To(Equal(1))
	at, ok := l.Admit(start, account, 1)
	g.Expect(ok).To(BeFalse())
	g.Expect(at).To(Equal(start.Add(100 * time.Millisecond)))
	g.Expect(admitted(l, at, account, 1, 1)).To(Equal(1))
}

// Five of six daemons are gone: the one that is left grants the whole limit, not its old share.
func TestShareFollowsTheNumberOfDaemons(t *testing.T) {
	g := NewWithT(t)
	l := twlimiter.New()
	account := turmericwall.Account{Name: "a", RequestsPerSecond: 60, Burst: 6}
	g.Expect(admitted(l, start, account, 6, 100)).To(Equal(1))
	g.Expect(admitted(l, start.Add(time.Second), account, 6, 100)).To(Equal(1))
	g.Expect(admitted(l, start.Add(2*time.Second), account, 1, 100)).To(BeNumerically(">", 0))
	g.Expect(admitted(l, start.Add(3*time.Second), account, 1, 100)).To(Equal(6))
}
