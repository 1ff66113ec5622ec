package twelection_test

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twelection"
	"github.com/turmericwall/turmericwall/internal/membership/twlease"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

// store has the lease's row.
type store struct {
	turmericwall.Feed
	mu  sync.Mutex
	row turmericwall.FeedRow
}

func (s *store) Rows(context.Context, string) (turmericwall.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return turmericwall.Snapshot{Version: s.row.Version, Rows: []turmericwall.FeedRow{s.row}}, nil
}

func (s *store) CompareAndSwap(
	_ context.Context, _, key string, ifVersion int64, value []byte,
) (int64, turmericwall.FeedRow, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ifVersion != s.row.Version {
		return 0, s.row, false, nil
	}
	s.row = turmericwall.FeedRow{Key: key, Value: value, Version: ifVersion + 1}
	return s.row.Version, s.row, true, nil
}

// Guards against a former holder of the lease that starts, learns of it before it has the state, and takes the lease only after the delay by
// its link, or of a heartbeat's absence; and against one that takes it although another daemon leads by then.
func TestFormerHolderTakesTheLeaseAsSoonAsItHasTheState(t *testing.T) {
	for name, otherLeads := range map[string]bool{"no leader": false, "another leads": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			self := turmericwall.Member{Name: "a", Address: "a", Incarnation: "2"}
			former := turmericwall.Member{Name: "a", Address: "a", Incarnation: "1"}
			value, err := json.Marshal(twlease.Row{Holder: former, Fence: 3})
			g.Expect(err).NotTo(HaveOccurred())
			s := &store{row: turmericwall.FeedRow{Key: "lease", Value: value, Version: 5}}
			var ready, follows atomic.Bool
			e := twelection.New(twelection.Config{
				Store: s, Self: self, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
				ElectionDelay: func() time.Duration { return time.Hour }, IsCandidate: func() bool { return false },
				FollowsFreshLeader: follows.Load, IsReady: ready.Load,
			})
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- e.Run(ctx) }()
			t.Cleanup(func() { stop(); <-ended })
			holds := func() bool { _, ok := e.Holds(); return ok }
			g.Expect(e.RecordReadRow(turmericwall.FeedRow{Key: "evidence", Version: 9})).To(BeFalse())
			g.Expect(e.RecordReadRow(s.row)).To(BeTrue())
			g.Expect(e.LeaseHolder()).To(Equal(former))
			g.Consistently(holds, 100*time.Millisecond).Should(BeFalse(), "it has no state")
			follows.Store(otherLeads)
			ready.Store(true)
			if otherLeads {
				g.Consistently(holds, 200*time.Millisecond).Should(BeFalse())
				return
			}
			g.Eventually(holds, 500*time.Millisecond, 5*time.Millisecond).Should(BeTrue())
		})
	}
}
