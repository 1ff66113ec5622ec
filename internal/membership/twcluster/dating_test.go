package twcluster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// Guards against old state that looks new because the leader, or this daemon, stood still between the heartbeat's writing and its reading.
func TestHeartbeatIsDatedByItsEcho(t *testing.T) {
	for _, c := range []struct {
		name string
		echo turmericwall.Echo
		// oldest and newest bound the age of the state that the daemon then has.
		oldest, newest time.Duration
		informed       bool
	}{
		{
			"sent at once",
			turmericwall.Echo{Incarnation: "b1", BootTimeNanos: int64(twboottime.Now())},
			time.Second, 0, true,
		},
		{
			"two seconds under way",
			turmericwall.Echo{Incarnation: "b1", BootTimeNanos: int64(twboottime.Now().Add(-2 * time.Second))},
			time.Hour, 1700 * time.Millisecond, false,
		},
		{
			"to an earlier incarnation",
			turmericwall.Echo{Incarnation: "b0", BootTimeNanos: int64(twboottime.Now())},
			time.Duration(1<<63 - 1), time.Hour, false,
		},
		{"before the first reply", turmericwall.Echo{}, time.Duration(1<<63 - 1), time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := startAlone(t, "b")
			heartbeat := heartbeatOf("leader", 1<<50)
			heartbeat.Echo = c.echo
			b.cluster.ApplyHeartbeat(heartbeat)
			age := time.Since(b.cluster.FreshAt())
			g.Expect(age).To(BeNumerically("<=", c.oldest))
			g.Expect(age).To(BeNumerically(">=", c.newest))
			g.Expect(b.cluster.FollowsFreshLeader()).To(Equal(c.informed))
		})
	}
}

// startAlone starts a daemon that knows no other and can't reach the store.
func startAlone(t *testing.T, name string) *daemon {
	t.Helper()
	s := newStore()
	s.setUnavailable(true)
	d := start(t, s, newNetwork(), name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.neverReads = true
	return d
}
