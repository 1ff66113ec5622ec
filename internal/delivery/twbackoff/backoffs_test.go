package twbackoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twbackoff"
)

func TestTheLatestBackoffAppliesUpToItsLimit(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	after := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	key := turmericwall.UpstreamKey{ID: "a", StartedMillis: 1}
	b := twbackoff.New()
	g.Expect(b.BackoffUntil(now, key)).To(BeZero())
	b.Record(now, key, after(5))
	b.Record(now, key, after(2))
	g.Expect(b.BackoffUntil(now, key)).To(Equal(after(5)))
	g.Expect(b.BackoffUntil(now, turmericwall.UpstreamKey{ID: "a", StartedMillis: 2})).To(
		BeZero(), "another incarnation")
	g.Expect(b.BackoffUntil(after(5), key)).To(BeZero())
	b.DiscardExpired(after(5))
	b.Record(now, key, after(1_000_000))
	g.Expect(b.BackoffUntil(now, key)).To(Equal(now.Add(time.Hour)))
}
