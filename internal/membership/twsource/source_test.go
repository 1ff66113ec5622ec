package twsource_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall/internal/membership/twsource"
)

const (
	staleness = 1300 * time.Millisecond
	step      = 50 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSource(seed bool, random func() float64) *twsource.Source {
	return twsource.New(twsource.Config{Staleness: staleness, Seed: seed, StartedAt: start, Random: random})
}

func returnHalf() float64 { return 0.5 }

// fleet simulates daemons that read a store in steps of 50 ms.
type fleet struct {
	sources []*twsource.Source
	observe func(daemon int, now time.Time) twsource.Observation
	// readable reports whether the store answers the daemon.
	readable func(daemon int, now time.Time) bool
	// peerIsUseful reports whether a query of the daemon to a peer is useful.
	peerIsUseful func(daemon int) bool
}

// simulate returns how many reads were started in the span, and by how many daemons.
func (f *fleet) simulate(from, until time.Time) (reads, readers int) {
	read := make(map[int]bool)
	busyUntil := make(map[int]time.Time)
	for now := from; now.Before(until); now = now.Add(step) {
		for i, s := range f.sources {
			o := f.observe(i, now)
			if f.peerIsUseful != nil && s.ShouldQueryPeer(now, o) {
				s.RecordQuery(f.peerIsUseful(i))
			}
			if !s.ShouldRead(now, o) || now.Before(busyUntil[i]) {
				continue
			}
			reads++
			read[i] = true
			if f.readable(i, now) {
				s.RecordRead(nil)
				busyUntil[i] = now.Add(400 * time.Millisecond)
			} else {
				s.RecordRead(errors.New("no reply from the store"))
			}
		}
	}
	return reads, len(read)
}

func newFleet(n int, seeds int) *fleet {
	random := rand.New(rand.NewPCG(1, 2))
	f := &fleet{}
	for i := range n {
		f.sources = append(f.sources, newSource(i < seeds, random.Float64))
	}
	return f
}

// Guards against all daemons of a large deployment reading the store when they start at once.
func TestOnlySeedsReadStoreWhenAllDaemonsStart(t *testing.T) {
	for _, n := range []int{6, 79, 295, 1000} {
		g := NewWithT(t)
		f := newFleet(n, 3)
		leaderElectedAt := start.Add(400 * time.Millisecond)
		f.observe = func(_ int, now time.Time) twsource.Observation {
			if now.Before(leaderElectedAt) {
				return twsource.Observation{}
			}
			return twsource.Observation{LeaderLive: true, FreshAt: now, Daemons: n}
		}
		f.readable = func(int, time.Time) bool { return true }
		f.peerIsUseful = func(int) bool { return true }
		_, readers := f.simulate(start, start.Add(5*time.Second))
		g.Expect(readers).To(Equal(3), "%d daemons", n)
	}
}

// Guards against daemons that never read the store, and so never serve, when all their seeds are down.
func TestDaemonsWithoutSeedsReadStore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(20, 0)
	f.observe = func(int, time.Time) twsource.Observation { return twsource.Observation{} }
	f.readable = func(int, time.Time) bool { return true }
	f.peerIsUseful = func(int) bool { return false }
	_, readers := f.simulate(start, start.Add(3*time.Second))
	g.Expect(readers).To(Equal(20), "within three seconds")
}

// Guards against calls of all daemons to a store that is in an outage.
func TestFollowersDoNotReadDuringStoreOutage(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(300, 3)
	lostAt := start.Add(time.Minute)
	f.observe = func(daemon int, _ time.Time) twsource.Observation {
		return twsource.Observation{
			Leader: daemon == 0, Standby: daemon == 1 || daemon == 2, LeaderLive: true, FreshAt: lostAt, Daemons: 300,
		}
	}
	f.readable = func(int, time.Time) bool { return false }
	_, readers := f.simulate(lostAt, lostAt.Add(8*time.Second))
	g.Expect(readers).To(Equal(3))
}

// Guards against daemons that all retry at full speed when the leader terminates during a store outage.
func TestDaemonsWithoutLeaderShareRetryRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(6, 1000).Draw(t, "daemons")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 7))
		f := &fleet{}
		for range n {
			f.sources = append(f.sources, newSource(false, random.Float64))
		}
		lostAt := start.Add(time.Minute)
		f.observe = func(int, time.Time) twsource.Observation {
			return twsource.Observation{FreshAt: lostAt, Daemons: n}
		}
		f.readable = func(int, time.Time) bool { return false }
		f.peerIsUseful = func(int) bool { return false }
		reads, _ := f.simulate(lostAt, lostAt.Add(8*time.Second))
		g.Expect(reads).To(BeNumerically("<=", n+2*80), "one read each, and ten per second of all daemons together")
	})
}

// Guards against daemons that continue with stale state when the leader and all its standbys terminate at once.
func TestDaemonsWithoutLeaderReadStore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(50, 0)
	lostAt := start.Add(time.Minute)
	freshAt := make([]time.Time, 50)
	for i := range freshAt {
		freshAt[i] = lostAt
	}
	f.observe = func(daemon int, _ time.Time) twsource.Observation {
		return twsource.Observation{FreshAt: freshAt[daemon], Daemons: 50}
	}
	f.readable = func(daemon int, now time.Time) bool {
		freshAt[daemon] = now
		return true
	}
	f.peerIsUseful = func(int) bool { return false }
	f.simulate(lostAt, lostAt.Add(2*time.Second))
	for _, at := range freshAt {
		g.Expect(at).To(BeTemporally(">", lostAt))
	}
}

// The leader is partitioned from the store. Its standby must have the newest state before the followers are stale.
func TestStandbyReadsBeforeFollowersAreStale(t *testing.T) {
	g := NewWithT(t)
	s := newSource(false, returnHalf)
	lostAt := start.Add(time.Minute)
	o := twsource.Observation{Standby: true, LeaderLive: true, FreshAt: lostAt, Daemons: 295}
	g.Expect(s.ShouldRead(lostAt.Add(500*time.Millisecond), o)).To(BeFalse(), "the leader reads for all daemons")
	g.Expect(s.ShouldRead(lostAt.Add(1000*time.Millisecond), o)).To(BeTrue())
	o.LeaderLive = false
	g.Expect(s.ShouldRead(lostAt.Add(200*time.Millisecond), o)).To(BeTrue(), "it may have to take the lease")
}

// Guards against a daemon without a leader that queries its peers without a pause.
func TestQueriesToPeersAreSpaced(t *testing.T) {
	g := NewWithT(t)
	s := newSource(false, returnHalf)
	queries := 0
	o := twsource.Observation{FreshAt: start}
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(step) {
		if s.ShouldQueryPeer(now, o) {
			queries++
		}
	}
	g.Expect(queries).To(BeNumerically("~", 9, 2))
	o.LeaderLive = true
	g.Expect(s.ShouldQueryPeer(start.Add(time.Hour), o)).To(BeFalse())
}

// Guards against hundreds of starting daemons that all list the upstreams because their seeds take longer than usual to
// list them; a seed that stops reporting progress must not hold them back.
func TestStartingDaemonWaitsForLoadingSeed(t *testing.T) {
	g := NewWithT(t)
	s := twsource.New(twsource.Config{Staleness: time.Second, StartedAt: start, Random: func() float64 { return 0 }})
	shouldRead := func(after time.Duration) bool { return s.ShouldRead(start.Add(after), twsource.Observation{}) }
	for after := time.Second; after < 7*time.Second; after += 500 * time.Millisecond {
		s.RecordLoading(start.Add(after))
		g.Expect(shouldRead(after + 400*time.Millisecond)).To(BeFalse())
	}
	g.Expect(shouldRead(7900 * time.Millisecond)).To(BeFalse())
	g.Expect(shouldRead(8100*time.Millisecond)).To(BeTrue(), "the wait is bounded")

	s = twsource.New(twsource.Config{Staleness: time.Second, StartedAt: start, Random: func() float64 { return 0 }})
	s.RecordLoading(start.Add(time.Second))
	g.Expect(shouldRead(2900 * time.Millisecond)).To(BeFalse())
	g.Expect(shouldRead(3100*time.Millisecond)).To(BeTrue(), "no seed reports progress any more")
}
