package twquota_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// The bound on an upstream that states a rate: in rateWindow its rate and half of it more, and rateSlack calls, from rateGrace
// after the first statement on.
const (
	rateWindow = 4
	rateShare  = 1.5
	rateSlack  = 5
	rateGrace  = 3
	rateTicks  = 50
	rateSpan   = 70
)

// hotUpstream gets four times what it takes, calmUpstream half of it.
var (
	hotUpstream  = turmericwall.UpstreamKey{ID: "hot"}
	calmUpstream = turmericwall.UpstreamKey{ID: "calm"}
)

// ratePlay is one course of events.
type ratePlay struct {
	fleet *rateFleet
	way   func(*throttled) admitter
	rate  float64
	tick  int
	// reached are the calls of each tick that reached the upstream that gets too many, and allowed their rate then.
	reached []int
	allowed []float64
	// refused are calls of the upstream below its rate that were refused while a leader lived, alone those refused without
	// one, of all asked.
	refused, asked, alone, askedAlone int
}

func playRates(daemons int, rate float64, seed uint64, way func(*throttled) admitter) *ratePlay {
	p := &ratePlay{fleet: newRateFleet(daemons, seed, way), way: way, rate: rate, reached: make([]int, rateSpan*rateTicks), allowed: make([]float64, rateSpan*rateTicks)}
	hot, calm, next := 0.0, 0.0, 0
	for p.tick = range rateSpan * rateTicks {
		p.events(float64(p.tick) / rateTicks)
		if p.tick >= next {
			p.fleet.heartbeat()
			next = p.tick + rateTicks/4
		}
		stated := p.stated(float64(p.tick) / rateTicks)
		p.allowed[p.tick] = stated
		for hot += 4 * rate / rateTicks * p.fleet.random.ExpFloat64(); hot > 1; hot-- {
			if p.send(hotUpstream, stated) {
				p.reached[p.tick]++
			}
		}
		for calm += rate / 2 / rateTicks * p.fleet.random.ExpFloat64(); calm > 1; calm-- {
			p.calm()
		}
		p.fleet.now = p.fleet.now.Add(time.Second / rateTicks)
	}
	return p
}

// stated is the rate that the upstreams state at a second; none is infinite.
func (p *ratePlay) stated(second float64) float64 {
	switch {
	case second < 2 || second >= 64:
		return math.Inf(1)
	case second >= 52 && second < 58:
		return 3 * p.rate
	case second >= 58:
		return p.rate / 2
	}
	return p.rate
}

// events are the failures: the leader dies, the leader and its standbys die while the store is away, daemons are cut off, a
// leader freezes and wakes, and half of the daemons restart.
func (p *ratePlay) events(second float64) {
	f := p.fleet
	at := func(s float64) bool { return math.Abs(second-s) < 0.5/rateTicks }
	switch {
	case at(9):
		f.daemons[f.leading].down = true
	case at(10.6):
		f.elect(1)
	case at(15):
		for i := range min(4, len(f.daemons)/2) {
			f.daemons[i].down = true
		}
	case at(22):
		f.elect(len(f.daemons) - 1)
	case at(27):
		for i := range len(f.daemons) / 4 {
			f.cut[i+len(f.daemons)/2] = true
		}
	case at(33):
		clear(f.cut)
	case at(36):
		f.daemons[f.leading].down = true
	case at(37.6):
		frozen := f.leading
		f.elect(len(f.daemons) - 2)
		f.daemons[frozen].frozen += 1600 * time.Millisecond
		f.daemons[frozen].down = false
	case at(42):
		for i := range len(f.daemons) / 2 {
			f.daemons[i].down = false
			f.daemons[i].restart(p.way)
		}
	}
}

// send plays a call at any live daemon that is not cut off, and the answer that states the rate.
func (p *ratePlay) send(upstream turmericwall.UpstreamKey, stated float64) bool {
	d := p.daemon()
	if d.way.Admit(context.Background(), upstream) != nil {
		return false
	}
	d.rates.Take(upstream, turmericwall.UpstreamStatement{
		SentAt: d.clock(), ReceivedAt: d.clock(), PerSecond: stated, RateStated: !math.IsInf(stated, 1), RateLifted: math.IsInf(stated, 1),
	})
	return true
}

func (p *ratePlay) daemon() *throttled {
	for {
		if d := p.fleet.daemons[p.fleet.random.IntN(len(p.fleet.daemons))]; p.fleet.reaches(d) {
			return d
		}
	}
}

// calm plays a call of the upstream that stays below its rate.
func (p *ratePlay) calm() {
	ok := p.send(calmUpstream, p.rate)
	if f := p.fleet; f.leading >= 0 && !f.daemons[f.leading].down {
		p.asked++
		if !ok {
			p.refused++
		}
		return
	}
	p.askedAlone++
	if !ok {
		p.alone++
	}
}

// most is the largest part of the bound that any window reached.
func (p *ratePlay) most() float64 {
	most := 0.0
	for end := (2 + rateGrace + rateWindow) * rateTicks; end <= len(p.reached); end++ {
		calls, rate := 0, 0.0
		for tick := end - rateWindow*rateTicks; tick < end; tick++ {
			calls += p.reached[tick]
			rate = max(rate, p.allowed[tick])
		}
		// A statement is known everywhere half a second after it.
		rate = max(rate, p.allowed[end-rateWindow*rateTicks-rateTicks/2])
		most = max(most, float64(calls)/(rateShare*rateWindow*rate+rateSlack))
	}
	return most
}

// Guards against upstreams that get more than the rate that they state, and calls refused of one that gets less, while
// leaders die and freeze, daemons are cut off and restart, and rates change.
func TestNoUpstreamGetsMoreThanItStates(t *testing.T) {
	for _, c := range []struct {
		daemons int
		rate    float64
		seeds   uint64
	}{{6, 1, 8}, {6, 3, 8}, {6, 40, 4}, {82, 3, 4}, {82, 40, 4}, {705, 1, 2}, {705, 40, 2}, {705, 100, 2}} {
		t.Run(fmt.Sprintf("daemons=%d rate=%.0f", c.daemons, c.rate), func(t *testing.T) {
			g := NewWithT(t)
			var asked, refused, askedAlone, alone, calls int
			most, mostEqual, refusedEqual := 0.0, 0.0, 0
			for seed := range c.seeds {
				p := playRates(c.daemons, c.rate, seed, func(d *throttled) admitter { return d.throttle })
				g.Expect(p.most()).To(BeNumerically("<=", 1), "seed %d", seed)
				most = max(most, p.most())
				asked, refused, askedAlone, alone = asked+p.asked, refused+p.refused, askedAlone+p.askedAlone, alone+p.alone
				for _, n := range p.reached[10*rateTicks : 50*rateTicks] {
					calls += n
				}
				equal := playRates(c.daemons, c.rate, seed, newEqualShare)
				mostEqual, refusedEqual = max(mostEqual, equal.most()), refusedEqual+equal.refused
			}
			t.Logf("at most %.2f of the bound, %.2f of the rate used at four times its load; below the rate %.3f refused with a leader, %.3f without; equal shares: %.2f of the bound, %.3f refused",
				most, float64(calls)/(40*c.rate*float64(c.seeds)), float64(refused)/float64(asked), float64(alone)/float64(max(askedAlone, 1)),
				mostEqual, float64(refusedEqual)/float64(asked))
			g.Expect(float64(refused)).To(BeNumerically("<=", 0.05*float64(asked)+2))
		})
	}
}
