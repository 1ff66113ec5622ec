package twendcheck_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
)

// Guards against a run at an upstream that had started again before the run was sent, and whose entry lags, that counts as ended
// because the upstream states its own start.
func TestRunAtAnUpstreamWhoseEntryLagsHasNotEnded(t *testing.T) {
	g := NewWithT(t)
	sentAt := time.Now()
	listed := turmericwall.Upstream{ID: "u", StartedMillis: sentAt.Add(-time.Hour).UnixMilli()}
	started := sentAt.Add(-10 * time.Second).UnixMilli()
	checker := newChecker(func(context.Context) (int64, error) { return started, nil }, nil)
	found := checker.Check(context.Background(), twendcheck.Run{Upstream: listed, SentAt: sentAt, BrokenAt: time.Now()})
	g.Expect(found.Answered).To(BeTrue())
	g.Expect(found.Proof).To(BeEmpty())
}
