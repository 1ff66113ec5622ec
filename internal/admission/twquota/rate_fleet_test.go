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

// The spans after which daemons miss the leader, the leader misses them, and a lost daemon no longer counts as cut off.
const (
	leaderSpan = 700 * time.Millisecond
	memberSpan = 1500 * time.Millisecond
	absentSpan = 12 * time.Second
)

// admitter is one way to keep the sends of a daemon within the rate of an upstream.
type admitter interface {
	Admit(ctx context.Context, upstream turmericwall.UpstreamKey) error
}

// throttled is one daemon before upstreams that state rates.
type throttled struct {
	fleet *rateFleet
	index int
	// rates and throttle are built anew when the daemon restarts; way is the way that is played.
	rates    *twrates.Rates
	throttle *twthrottle.Throttle
	way      admitter
	// frozen is the time that its steady clock lacks.
	frozen time.Duration
	down   bool
	// heardAt, rank, daemons and standbys are those of the last heartbeat.
	heardAt       time.Time
	leader        turmericwall.Member
	rank, daemons int
	standbys      []turmericwall.Member
}

// rateFleet is some daemons in virtual time, of which one leads.
type rateFleet struct {
	turmericwall.PeerClient
	now     time.Time
	random  *rand.Rand
	daemons []*throttled
	// leading is the leader's index, or -1; cut daemons reach nobody and nobody reaches them.
	leading int
	cut     map[int]bool
	// answeredAt is when a daemon last answered the leader.
	answeredAt map[int]time.Time
}

func newRateFleet(daemons int, seed uint64, way func(*throttled) admitter) *rateFleet {
	f := &rateFleet{
		now: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 11)), cut: make(map[int]bool),
		answeredAt: make(map[int]time.Time),
	}
	for i := range daemons {
		d := &throttled{fleet: f, index: i}
		f.daemons = append(f.daemons, d)
		d.restart(way)
	}
	return f
}

func (d *throttled) member() turmericwall.Member {
	return turmericwall.Member{Address: string(rune('A' + d.index))}
}

func (d *throttled) clock() time.Time { return d.fleet.now.Add(-d.frozen) }

// restart forgets all that the daemon knew.
func (d *throttled) restart(way func(*throttled) admitter) {
	d.heardAt, d.leader, d.rank, d.daemons, d.standbys = time.Time{}, turmericwall.Member{}, 0, 0, nil
	d.rates = twrates.New(twrates.Config{Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Now: d.clock})
	d.throttle = twthrottle.New(twthrottle.Config{
		Rates: d.rates, Backoffs: twbackoff.New(), Peers: d.fleet, Self: d.member(), Leader: d.lead, Now: d.clock, Daemons: d.count, Absent: d.absent,
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
		Rank: func() (int, int, time.Time) { return d.rank, d.daemons, d.heardAt },
	})
	d.way = way(d)
}

func (d *throttled) lead() (turmericwall.Member, bool, bool) {
	if d.fleet.leading == d.index {
		return d.member(), true, true
	}
	if d.heardAt.IsZero() || d.clock().Sub(d.heardAt) > leaderSpan {
		return turmericwall.Member{}, false, false
	}
	return d.leader, false, true
}

func (d *throttled) count() int {
	if d.fleet.leading == d.index {
		return 1 + d.fleet.within(d.index, memberSpan)
	}
	return d.daemons
}

func (d *throttled) absent() int {
	if d.fleet.leading != d.index {
		return 0
	}
	return d.fleet.within(d.index, absentSpan) - d.fleet.within(d.index, memberSpan)
}

// within is how many daemons answered the leader within the span.
func (f *rateFleet) within(leader int, span time.Duration) int {
	n := 0
	for i, at := range f.answeredAt {
		if i != leader && f.now.Sub(at) <= span {
			n++
		}
	}
	return n
}

var errCut = errors.New("no answer")

// Admit carries an ask from one daemon to another. The caller is not known here: a daemon that is cut off asks nobody.
func (f *rateFleet) Admit(_ context.Context, address string, ask turmericwall.AdmitAsk) (turmericwall.AdmitReply, error) {
	index, _ := utf8.DecodeRuneInString(address)
	d := f.daemons[index-'A']
	if !f.reaches(d) {
		return turmericwall.AdmitReply{}, errCut
	}
	return d.throttle.Grant(ask), nil
}

// heartbeat plays one exchange between the leader and all that it reaches.
func (f *rateFleet) heartbeat() {
	if f.leading < 0 || f.daemons[f.leading].down || f.cut[f.leading] {
		return
	}
	leader := f.daemons[f.leading]
	var standbys []turmericwall.Member
	for _, d := range f.daemons {
		if d != leader && f.reaches(d) && len(standbys) < 2 {
			standbys = append(standbys, d.member())
		}
	}
	daemons, rank := leader.count(), 0
	for _, d := range f.daemons {
		if d == leader || !f.reaches(d) {
			continue
		}
		rank++
		d.heardAt, d.leader, d.rank, d.daemons, d.standbys = d.clock(), leader.member(), rank, daemons, standbys
		d.rates.TakeList(leader.rates.List())
		leader.rates.TakeList(d.rates.Own())
		f.answeredAt[d.index] = f.now
	}
	for _, d := range f.daemons {
		if !d.down {
			d.throttle.Forget()
		}
	}
}

func (f *rateFleet) reaches(d *throttled) bool { return !d.down && !f.cut[d.index] }

// elect makes a daemon the leader; its predecessor's list of those that answered is not known to it.
func (f *rateFleet) elect(index int) {
	f.leading = index
	clear(f.answeredAt)
}

// equalShare is the other way: each daemon keeps its part of the rate by itself.
type equalShare struct {
	daemon *throttled
	level  map[turmericwall.UpstreamKey]float64
	at     map[turmericwall.UpstreamKey]time.Time
}

func newEqualShare(d *throttled) admitter {
	return &equalShare{daemon: d, level: make(map[turmericwall.UpstreamKey]float64), at: make(map[turmericwall.UpstreamKey]time.Time)}
}

func (e *equalShare) Admit(_ context.Context, upstream turmericwall.UpstreamKey) error {
	rate, limited := e.daemon.rates.Rate(upstream)
	if !limited {
		return nil
	}
	now := e.daemon.clock()
	at, known := e.at[upstream]
	if !known {
		at = now
	}
	e.at[upstream] = now
	e.level[upstream] = min(e.level[upstream]+now.Sub(at).Seconds()*rate/float64(max(e.daemon.count(), 1)), 1)
	if e.level[upstream] < 1 {
		return errCut
	}
	e.level[upstream]--
	return nil
}
