package twendcheck_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
)

// Guards against a run that counts as ended because of what was found at the address that its upstream had before it started again.
func TestCheckOfAnEarlierAddressSaysNothingAboutALaterRun(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	before := turmericwall.Upstream{ID: "u", Address: "before", StartedMillis: now.Add(-time.Hour).UnixMilli()}
	after := turmericwall.Upstream{ID: "u", Address: "after", StartedMillis: now.Add(-time.Minute).UnixMilli()}
	asked, answer := make(chan string, 2), make(chan struct{})
	checker := twendcheck.New(twendcheck.Config{
		Query: func(_ context.Context, to turmericwall.Upstream) (int64, error) {
			asked <- to.Address
			if to.Address == after.Address {
				return after.StartedMillis, nil
			}
			<-answer
			return 0, failed(turmericwall.SendError{Sent: true, Status: 421, IncarnationReplaced: true})
		},
		Others:      func(turmericwall.Upstream) []turmericwall.Upstream { return make([]turmericwall.Upstream, 1) },
		QueryDirect: func(context.Context, turmericwall.Upstream) error { return nil },
	})
	later := twendcheck.Run{Upstream: after, SentAt: time.Now()}
	go checker.Check(context.Background(), twendcheck.Run{Upstream: before, SentAt: now.Add(-time.Second), BrokenAt: time.Now()})
	g.Eventually(asked).Should(Receive(Equal(before.Address)))
	later.BrokenAt = time.Now()
	time.AfterFunc(50*time.Millisecond, func() { close(answer) })
	g.Expect(checker.Check(context.Background(), later).Proof).To(BeEmpty())
}
