package twliveness_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/turmericwall/turmericwall/internal/membership/twliveness"
	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// heartbeat returns a heartbeat whose address is its incarnation.
func heartbeat(incarnation string, counter uint64) *twpeer.Heartbeat {
	return &twpeer.Heartbeat{Incarnation: incarnation, Address: incarnation, Counter: counter}
}

// A peer's counter stays unchanged because it is suspended, terminated or partitioned. The peer must count as lost
// after the timeout, be reported once, and count as live when its counter increases. An old heartbeat that a third
// daemon passes on late must not make it live.
func TestPeerWithUnchangedCounterIsLost(t *testing.T) {
	g := NewWithT(t)
	tracker := twliveness.New(heartbeat("self", 0))
	tracker.Merge(start, []*twpeer.Heartbeat{heartbeat("peer", 5)})
	g.Expect(tracker.IsLive(start.Add(3*time.Second), "peer")).To(BeTrue())
	late := start.Add(5 * time.Second)
	tracker.Merge(late, []*twpeer.Heartbeat{heartbeat("peer", 4), heartbeat("peer", 5)})
	g.Expect(tracker.IsLive(late, "peer")).To(BeFalse())
	g.Expect(tracker.NewlyLost(late)).To(Equal([]string{"peer"}))
	g.Expect(tracker.NewlyLost(late)).To(BeEmpty())
	tracker.Merge(late, []*twpeer.Heartbeat{heartbeat("peer", 6)})
	g.Expect(tracker.IsLive(late, "peer")).To(BeTrue())
}

// A restarted daemon has a new incarnation, which must not inherit the former one's state.
func TestRestartedDaemonIsAnotherMember(t *testing.T) {
	g := NewWithT(t)
	tracker := twliveness.New(heartbeat("self", 0))
	tracker.Merge(start, []*twpeer.Heartbeat{heartbeat("a:1", 900)})
	now := start.Add(5 * time.Second)
	tracker.Merge(now, []*twpeer.Heartbeat{heartbeat("a:2", 1)})
	g.Expect(tracker.IsLive(now, "a:1")).To(BeFalse())
	g.Expect(tracker.IsLive(now, "a:2")).To(BeTrue())
	g.Expect(tracker.Live(now)).To(HaveLen(1))
}

// BenchmarkExchange measures the work of one side for one exchange with the given number of live daemons, and the
// size of the message.
func BenchmarkExchange(b *testing.B) {
	for _, daemons := range []int{9, 54, 200} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			tracker := twliveness.New(heartbeat("entry-000:dnaoay2lb73k", 0))
			var heartbeats []*twpeer.Heartbeat
			for i := range daemons {
				m := heartbeat(fmt.Sprintf("entry-%03d:dnaoay2lb73k", i+1), 1)
				m.Address, m.Zone, m.Revision = "10.20.30.40:8081", "zona-norte", 45_000
				heartbeats = append(heartbeats, m)
			}
			tracker.Merge(start, heartbeats)
			encoded, err := proto.Marshal(tracker.Snapshot(start))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var received twpeer.Heartbeats
				if err := proto.Unmarshal(encoded, &received); err != nil {
					b.Fatal(err)
				}
				tracker.Merge(start, received.GetBeats())
				if _, err := proto.Marshal(tracker.NextHeartbeats(start, 1, false, nil)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes/message")
		})
	}
}
