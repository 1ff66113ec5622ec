package twsource_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/membership/twsource"
)

const (
	// inForceWithin is the time within which a change must be in force; staleness is 0.65 of it.
	inForceWithin = 2 * time.Second
	// calmAge is the largest age of the state in a heartbeat while nothing fails: two reads of the store and a heartbeat.
	calmAge = 1050 * time.Millisecond
	// missedAfter is the time without a heartbeat after which a leader counts as gone.
	missedAfter = 700 * time.Millisecond
	// queryTimeout and maxQueries are those of queries to peers, and storeReads the reads that the store answers in a second.
	queryTimeout = 400 * time.Millisecond
	maxQueries   = 3
	storeReads   = 2000
)

// silence is how daemons are left alone from one moment on: their leader sends nothing, or nothing that reaches them.
type silence struct {
	// leaderLive is set if the leader goes on and has new state, which the daemons don't get.
	leaderLive bool
	// peersAnswer is set if peers answer queries, with state that doesn't get newer.
	peersAnswer bool
}

// play returns the longest time after the silence began until a daemon had new state, and the most reads of the store in a second.
func (c silence) play(daemons int) (longest time.Duration, mostReads int) {
	random := rand.New(rand.NewPCG(3, uint64(daemons)))
	silentAt := start.Add(time.Minute)
	perSecond := make(map[int64]int)
	for range daemons {
		source := newSource(false, random.Float64)
		freshAt := silentAt.Add(-time.Duration(random.Int64N(int64(calmAge))))
		var queriesEnd []time.Time
		renewedAt := time.Time{}
		for now := silentAt; renewedAt.IsZero() && now.Before(silentAt.Add(10*time.Second)); now = now.Add(startStep) {
			o := twsource.Observation{FreshAt: freshAt, Daemons: daemons, LeaderLive: c.leaderLive || now.Sub(silentAt) < missedAfter}
			o.Informed = o.LeaderLive
			if source.ShouldRead(now, o) {
				perSecond[int64(now.Sub(silentAt)/time.Second)] += 2
				source.RecordRead(nil)
				renewedAt = now
			}
			for len(queriesEnd) > 0 && !now.Before(queriesEnd[0]) {
				queriesEnd = queriesEnd[1:]
				source.RecordQuery(c.peersAnswer)
			}
			if len(queriesEnd) == maxQueries || !source.ShouldQueryPeer(now, o) {
				continue
			}
			if c.peersAnswer {
				source.RecordPeer(now, 5*time.Millisecond)
				source.RecordQuery(true)
				continue
			}
			queriesEnd = append(queriesEnd, now.Add(queryTimeout))
		}
		if renewedAt.IsZero() {
			return time.Hour, 0
		}
		longest = max(longest, renewedAt.Sub(silentAt))
	}
	for _, n := range perSecond {
		mostReads = max(mostReads, n)
	}
	return longest, mostReads
}

// Guards against daemons that wait for peers which stand still, or which answer with the same old state again and again, and against daemons
// that don't get the state of a leader which they hear.
func TestDaemonsLeftAloneReadWithinTheBoundOfAChange(t *testing.T) {
	for _, c := range []struct {
		name string
		silence
	}{
		{"peers stand still", silence{}},
		{"peers answer with old state", silence{peersAnswer: true}},
		{"the leader is heard, peers stand still", silence{leaderLive: true}},
		{"the leader is heard, peers answer with old state", silence{leaderLive: true, peersAnswer: true}},
	} {
		for _, daemons := range []int{6, 84, 986} {
			t.Run(fmt.Sprintf("%s, %d", c.name, daemons), func(t *testing.T) {
				g := NewWithT(t)
				longest, reads := c.play(daemons)
				t.Logf("new state after %v at most, %d reads a second", longest, reads)
				bound := inForceWithin
				if daemons > 500 {
					// The store's rate spreads two reads of each.
					bound += time.Duration(2*daemons) * time.Second / storeReads
				}
				g.Expect(longest).To(BeNumerically("<=", bound))
				g.Expect(reads).To(BeNumerically("<=", storeReads))
			})
		}
	}
}
