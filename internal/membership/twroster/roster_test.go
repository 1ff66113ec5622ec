package twroster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
	"github.com/turmericwall/turmericwall/internal/membership/twroster"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func beat(incarnation string, counter uint64) *twpeer.Heartbeat {
	return &twpeer.Heartbeat{Incarnation: incarnation, Address: incarnation, Counter: counter}
}

// A peer's counter stands still: it is frozen, dead or cut off. It counts as lost after the timeout, is
// reported once, and is live again as soon as its counter moves. An old heartbeat that a third daemon
// passes on late does not bring it back.
func TestPeerThatStandsStillIsLost(t *testing.T) {
	g := NewWithT(t)
	r := twroster.New(beat("self", 0))
	r.Merge(start, []*twpeer.Heartbeat{beat("peer", 5)})
	g.Expect(r.IsLive(start.Add(3*time.Second), "peer")).To(BeTrue())
	late := start.Add(5 * time.Second)
	r.Merge(late, []*twpeer.Heartbeat{beat("peer", 4), beat("peer", 5)})
	g.Expect(r.IsLive(late, "peer")).To(BeFalse())
	g.Expect(r.Lost(late)).To(Equal([]string{"peer"}))
	g.Expect(r.Lost(late)).To(BeEmpty())
	r.Merge(late, []*twpeer.Heartbeat{beat("peer", 6)})
	g.Expect(r.IsLive(late, "peer")).To(BeTrue())
}

// A restarted daemon has a new incarnation: what the old one held is not taken for the new one's.
func TestRestartIsAnotherDaemon(t *testing.T) {
	g := NewWithT(t)
	r := twroster.New(beat("self", 0))
	r.Merge(start, []*twpeer.Heartbeat{beat("a:1", 900)})
	now := start.Add(5 * time.Second)
	r.Merge(now, []*twpeer.Heartbeat{beat("a:2", 1)})
	g.Expect(r.IsLive(now, "a:1")).To(BeFalse())
	g.Expect(r.IsLive(now, "a:2")).To(BeTrue())
	g.Expect(r.Live(now)).To(HaveLen(1))
}

// BenchmarkExchange is one side's work for one exchange, with so many live daemons; it also gives the
// message's size.
func BenchmarkExchange(b *testing.B) {
	for _, daemons := range []int{9, 54, 200} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			r := twroster.New(beat("entry-000:dnaoay2lb73k", 0))
			var beats []*twpeer.Heartbeat
			for i := range daemons {
				m := beat(fmt.Sprintf("entry-%03d:dnaoay2lb73k", i+1), 1)
				m.Address, m.Zone, m.Revision = "10.20.30.40:8081", "zona-norte", 45_000
				beats = append(beats, m)
			}
			r.Merge(start, beats)
			encoded, err := proto.Marshal(r.Snapshot(start))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var received twpeer.Heartbeats
				if err := proto.Unmarshal(encoded, &received); err != nil {
					b.Fatal(err)
				}
				r.Merge(start, received.GetBeats())
				if _, err := proto.Marshal(r.Beat(start, 1, false, nil)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes/message")
		})
	}
}
