package twsource_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/membership/twsource"
)

const (
	startStep = 10 * time.Millisecond
	// leasePoll is the time between two reads of the lease by a candidate, and electedAfter the time that the first one with the state
	// needs to take it.
	leasePoll    = 400 * time.Millisecond
	electedAfter = 100 * time.Millisecond
)

// starting is how all daemons start at once: what works, and what doesn't.
type starting struct {
	seeds, deadSeeds int
	storeAway        bool
	storeTakes       time.Duration
	// peerHasState is set if the seeds run already, with state, evidence and a leader.
	peerHasState bool
	// leaderKilledAfter is when the first leader is killed; zero if it isn't.
	leaderKilledAfter time.Duration
}

// startingDaemon is one daemon of a start.
type startingDaemon struct {
	source               *twsource.Source
	stateAt, evidenceAt  time.Time
	readingUntil, pollAt time.Time
	// leaseReadAt is when it last read the lease, which names the leader.
	leaseReadAt time.Time
	knowsLeader bool
	asked       int
}

// start lets the daemons start for the span. It returns the most reads of the store in a second, and when the last daemon had state, evidence
// and a leader.
func (c starting) start(daemons int, span time.Duration) (mostReads int, servingAfter time.Duration) {
	random := rand.New(rand.NewPCG(1, uint64(daemons)))
	fleet := make([]*startingDaemon, daemons)
	for i := range fleet {
		fleet[i] = &startingDaemon{asked: i, source: twsource.New(twsource.Config{
			Staleness: staleness, Seed: i < c.seeds, NoSeeds: c.seeds+c.deadSeeds == 0, StartedAt: start, Random: random.Float64,
		})}
		if i < c.seeds && c.peerHasState {
			fleet[i].stateAt, fleet[i].evidenceAt, fleet[i].knowsLeader = start, start, true
		}
	}
	perSecond := make(map[int64]int)
	var firstStateAt time.Time
	for now := start; now.Before(start.Add(span)); now = now.Add(startStep) {
		read := func(n int) bool {
			perSecond[int64(now.Sub(start)/time.Second)] += n
			return !c.storeAway
		}
		electedAt := firstStateAt.Add(electedAfter)
		if c.leaderKilledAfter > 0 && now.Sub(start) > c.leaderKilledAfter {
			electedAt = start.Add(c.leaderKilledAfter + 1600*time.Millisecond)
		}
		hasLeader := c.peerHasState || (!firstStateAt.IsZero() && now.After(electedAt))
		ready := true
		for i, d := range fleet {
			d.knowsLeader = d.knowsLeader && hasLeader
			o := twsource.Observation{LeaderLive: d.knowsLeader}
			if !d.stateAt.IsZero() && !now.Before(d.stateAt) {
				o.FreshAt = d.stateAt
			}
			if d.evidenceAt.IsZero() && d.source.ShouldReadEvidence(now) && read(1) {
				d.evidenceAt = now.Add(c.storeTakes)
				d.leaseReadAt = d.evidenceAt
				if i == 0 && c.deadSeeds == 0 {
					// It held the lease before.
					d.source.RecordLeading(now)
				}
			}
			if d.source.ShouldRead(now, o) && now.After(d.readingUntil) {
				d.readingUntil = now.Add(max(c.storeTakes, 260*time.Millisecond))
				if !read(2) {
					d.source.RecordRead(errors.New("no reply from the store"))
				} else if d.stateAt.IsZero() {
					d.stateAt = now.Add(2 * c.storeTakes)
				} else {
					d.stateAt = later(d.stateAt, now)
				}
			}
			if !o.FreshAt.IsZero() && !d.knowsLeader && !now.Before(d.pollAt) && d.source.ShouldRead(now, o) {
				d.pollAt = now.Add(leasePoll)
				if read(1) {
					d.leaseReadAt = now.Add(c.storeTakes)
				}
			}
			if !o.FreshAt.IsZero() && (firstStateAt.IsZero() || o.FreshAt.Before(firstStateAt)) {
				firstStateAt = o.FreshAt
			}
			if d.source.ShouldQueryPeer(now, o) {
				c.query(d, fleet, now, hasLeader)
			}
			// A daemon finds the leader by the lease, if it has read it since the election, or its former holder leads again.
			found := !d.leaseReadAt.IsZero() && (c.deadSeeds == 0 || d.leaseReadAt.After(electedAt)) && now.After(d.leaseReadAt)
			d.knowsLeader = d.knowsLeader || (hasLeader && (i < c.seeds || found))
			if d.knowsLeader && d.stateAt.IsZero() {
				d.stateAt, d.evidenceAt = now, now
			}
			ready = ready && d.knowsLeader && !d.stateAt.IsZero() && !d.evidenceAt.IsZero()
		}
		if ready && servingAfter == 0 {
			servingAfter = now.Sub(start)
		}
		if !ready {
			servingAfter = 0
		}
	}
	for _, n := range perSecond {
		mostReads = max(mostReads, n)
	}
	return mostReads, servingAfter
}

// query asks a seed, which answers what it knows.
func (c starting) query(d *startingDaemon, fleet []*startingDaemon, now time.Time, hasLeader bool) {
	d.asked++
	asked := d.asked % max(c.seeds+c.deadSeeds, 1)
	if asked >= c.seeds {
		d.source.RecordQuery(false)
		return
	}
	seed := fleet[asked]
	d.source.RecordPeer(now, 5*time.Millisecond)
	hasState := !seed.stateAt.IsZero() && now.After(seed.stateAt)
	if !hasState {
		d.source.RecordLoading(now)
	}
	if hasState && d.stateAt.IsZero() {
		d.stateAt = now
	}
	if hasState {
		d.stateAt = later(d.stateAt, seed.stateAt)
	}
	if !seed.evidenceAt.IsZero() && now.After(seed.evidenceAt) && d.evidenceAt.IsZero() {
		d.evidenceAt = now
	}
	d.knowsLeader = d.knowsLeader || (hasLeader && hasState)
	d.source.RecordQuery(hasState)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Guards against daemons that start at the same time and ask the store more often than its rates bear, or serve the later the more they
// are: 2,000 reads a second for a thousand daemons.
func TestStartOfAllDaemonsStaysWithinTheStoresRates(t *testing.T) {
	const maxReads = 2000
	for name, c := range map[string]struct {
		starting
		within time.Duration
	}{
		"seeds":               {starting{seeds: 3, storeTakes: 4 * time.Millisecond}, 500 * time.Millisecond},
		"a dead seed":         {starting{seeds: 2, deadSeeds: 1, storeTakes: 4 * time.Millisecond}, 800 * time.Millisecond},
		"all seeds dead":      {starting{deadSeeds: 3, storeTakes: 4 * time.Millisecond}, 3500 * time.Millisecond},
		"no seeds":            {starting{storeTakes: 4 * time.Millisecond}, 1000 * time.Millisecond},
		"slow store":          {starting{seeds: 3, storeTakes: 700 * time.Millisecond}, 2200 * time.Millisecond},
		"store away":          {starting{seeds: 3, storeAway: true}, 0},
		"a peer has it":       {starting{seeds: 3, storeAway: true, peerHasState: true}, 500 * time.Millisecond},
		"leader killed again": {starting{seeds: 3, storeTakes: 4 * time.Millisecond, leaderKilledAfter: time.Second}, 3500 * time.Millisecond},
	} {
		for _, daemons := range []int{6, 82, 986} {
			t.Run(fmt.Sprintf("%s, %d", name, daemons), func(t *testing.T) {
				g := NewWithT(t)
				reads, after := c.start(daemons, 4*time.Second)
				t.Logf("%d reads a second at most, all serve after %v", reads, after)
				g.Expect(reads).To(BeNumerically("<=", maxReads))
				g.Expect(after).To(BeNumerically("<=", c.within))
				g.Expect(after > 0).To(Equal(c.within > 0))
			})
		}
	}
}
