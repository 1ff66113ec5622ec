package twquota_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"
	"unicode/utf8"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twthrottle"
	"github.com/turmericwall/turmericwall/internal/delivery/twbackoff"
	"github.com/turmericwall/turmericwall/internal/membership/twrates"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

const (
	// A daemon misses the leader after followerTimeout without a heartbeat, and the leader misses a daemon after
	// memberTimeout without an answer. A missed daemon counts as unresponsive until unresponsiveTimeout after its last
	// answer.
	followerTimeout     = 700 * time.Millisecond
	memberTimeout       = 1500 * time.Millisecond
	unresponsiveTimeout = 12 * time.Second
)

// admitter is an algorithm that keeps the sends of a daemon within the rate of an upstream.
type admitter interface {
	Admit(ctx context.Context, upstream turmericwall.UpstreamKey) error
}

// rateDaemon is one daemon before upstreams that state rates.
type rateDaemon struct {
	fleet *rateFleet
	index int
	// rates, throttle and admitter are new after each restart; admitter is the algorithm that is simulated.
	rates    *twrates.Rates
	throttle *twthrottle.Throttle
	admitter admitter
	// suspended is the time by which its monotonic clock is behind.
	suspended  time.Duration
	terminated bool
	// lastHeartbeatAt is when the last heartbeat was received; leader, rank, daemons and standbys are from it.
	lastHeartbeatAt time.Time
	leader          turmericwall.Member
	rank, daemons   int
	standbys        []turmericwall.Member
}

// rateFleet is a cluster of daemons in virtual time.
type rateFleet struct {
	turmericwall.PeerClient
	now     time.Time
	random  *rand.Rand
	daemons []*rateDaemon
	// leader is the leader's index, or -1.
	leader int
	// partitioned daemons reach no other daemon and are reached by none.
	partitioned map[int]bool
	// answeredAt is when a daemon last answered the leader.
	answeredAt map[int]time.Time
}

func newRateFleet(daemons int, seed uint64, newAdmitter func(*rateDaemon) admitter) *rateFleet {
	f := &rateFleet{
		now: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 11)),
		partitioned: make(map[int]bool), answeredAt: make(map[int]time.Time),
	}
	for i := range daemons {
		d := &rateDaemon{fleet: f, index: i}
		f.daemons = append(f.daemons, d)
		d.restart(newAdmitter)
	}
	return f
}

func (d *rateDaemon) member() turmericwall.Member {
	return turmericwall.Member{Address: string(rune('A' + d.index))}
}

func (d *rateDaemon) now() time.Time { return d.fleet.now.Add(-d.suspended) }

// restart replaces the daemon by a new incarnation, which has no state.
func (d *rateDaemon) restart(newAdmitter func(*rateDaemon) admitter) {
	d.lastHeartbeatAt, d.leader, d.rank, d.daemons, d.standbys = time.Time{}, turmericwall.Member{}, 0, 0, nil
	d.rates = twrates.New(twrates.Config{Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Now: d.now})
	d.throttle = twthrottle.New(twthrottle.Config{
		Rates: d.rates, Backoffs: twbackoff.New(), Peers: d.fleet, Self: d.member(),
		Leader: d.currentLeader, Now: d.now, Daemons: d.countDaemons, UnresponsiveDaemons: d.countUnresponsive,
		Standbys: func() []turmericwall.Member {
			var others []turmericwall.Member
			for _, s := range d.standbys {
				if s != d.member() {
					others = append(others, s)
				}
			}
			return others
		},
		StandbyRank: func() int {
			for i, s := range d.standbys {
				if s == d.member() {
					return i
				}
			}
			return -1
		},
		Rank: func() (int, int, time.Time) { return d.rank, d.daemons, d.lastHeartbeatAt },
	})
	d.admitter = newAdmitter(d)
}

func (d *rateDaemon) currentLeader() (turmericwall.Member, bool, bool) {
	if d.fleet.leader == d.index {
		return d.member(), true, true
	}
	if d.lastHeartbeatAt.IsZero() || d.now().Sub(d.lastHeartbeatAt) > followerTimeout {
		return turmericwall.Member{}, false, false
	}
	return d.leader, false, true
}

func (d *rateDaemon) countDaemons() int {
	if d.fleet.leader == d.index {
		return 1 + d.fleet.countAnswered(d.index, memberTimeout)
	}
	return d.daemons
}

func (d *rateDaemon) countUnresponsive() int {
	if d.fleet.leader != d.index {
		return 0
	}
	return d.fleet.countAnswered(d.index, unresponsiveTimeout) - d.fleet.countAnswered(d.index, memberTimeout)
}

// countAnswered returns the number of daemons that last answered the leader no longer ago than maxAge.
func (f *rateFleet) countAnswered(leader int, maxAge time.Duration) int {
	n := 0
	for i, at := range f.answeredAt {
		if i != leader && f.now.Sub(at) <= maxAge {
			n++
		}
	}
	return n
}

var errRefused = errors.New("send refused, or daemon not reached")

// Admit passes a request from one daemon to another. The requesting daemon is not known here and needs no check: calls
// are sent only through daemons that are not partitioned.
func (f *rateFleet) Admit(
	_ context.Context, address string, request turmericwall.AdmitRequest,
) (turmericwall.AdmitReply, error) {
	index, _ := utf8.DecodeRuneInString(address)
	d := f.daemons[index-'A']
	if !f.reaches(d) {
		return turmericwall.AdmitReply{}, errRefused
	}
	return d.throttle.Grant(request), nil
}

// heartbeat simulates one exchange of heartbeats between the leader and all daemons that it reaches.
func (f *rateFleet) heartbeat() {
	if f.leader < 0 || f.daemons[f.leader].terminated || f.partitioned[f.leader] {
		return
	}
	leader := f.daemons[f.leader]
	var standbys []turmericwall.Member
	for _, d := range f.daemons {
		if d != leader && f.reaches(d) && len(standbys) < 2 {
			standbys = append(standbys, d.member())
		}
	}
	daemons, rank := leader.countDaemons(), 0
	for _, d := range f.daemons {
		if d == leader || !f.reaches(d) {
			continue
		}
		rank++
		d.lastHeartbeatAt, d.leader, d.rank, d.daemons, d.standbys = d.now(), leader.member(), rank, daemons, standbys
		d.rates.RecordPeerRates(leader.rates.ListForPeers())
		leader.rates.RecordPeerRates(d.rates.ListReceived())
		f.answeredAt[d.index] = f.now
	}
	for _, d := range f.daemons {
		if !d.terminated {
			d.throttle.DiscardExpired()
		}
	}
}

func (f *rateFleet) reaches(d *rateDaemon) bool { return !d.terminated && !f.partitioned[d.index] }

// elect makes a daemon the leader. It does not know which daemons answered its predecessor.
func (f *rateFleet) elect(index int) {
	f.leader = index
	clear(f.answeredAt)
}

// equalShare is the alternative algorithm for comparison: each daemon uses an equal share of the rate and requests
// nothing from others.
type equalShare struct {
	daemon     *rateDaemon
	level      map[turmericwall.UpstreamKey]float64
	refilledAt map[turmericwall.UpstreamKey]time.Time
}

func newEqualShare(d *rateDaemon) admitter {
	return &equalShare{
		daemon: d, level: make(map[turmericwall.UpstreamKey]float64),
		refilledAt: make(map[turmericwall.UpstreamKey]time.Time),
	}
}

func (e *equalShare) Admit(_ context.Context, upstream turmericwall.UpstreamKey) error {
	rate, limited := e.daemon.rates.Rate(upstream)
	if !limited {
		return nil
	}
	now := e.daemon.now()
	last, known := e.refilledAt[upstream]
	if !known {
		last = now
	}
	e.refilledAt[upstream] = now
	e.level[upstream] = min(e.level[upstream]+now.Sub(last).Seconds()*rate/float64(max(e.daemon.countDaemons(), 1)), 1)
	if e.level[upstream] < 1 {
		return errRefused
	}
	e.level[upstream]--
	return nil
}
