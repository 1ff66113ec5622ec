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

// The bound on an upstream that states a rate: in any rateWindow seconds rateFactor times what its rate allows, and
// rateSlack calls in addition, from rateGrace seconds after the first statement on.
const (
	rateWindow = 4
	rateFactor = 1.5
	rateSlack  = 5
	rateGrace  = 3
	// rateTicks is the number of ticks per second, rateSeconds the duration of a simulation.
	rateTicks   = 50
	rateSeconds = 70
)

// hotUpstream is called at four times its rate, calmUpstream at half of it.
var (
	hotUpstream  = turmericwall.UpstreamKey{ID: "hot"}
	calmUpstream = turmericwall.UpstreamKey{ID: "calm"}
)

// rateSimulation is one simulation of a fleet before two upstreams that state rates.
type rateSimulation struct {
	fleet       *rateFleet
	newAdmitter func(*rateDaemon) admitter
	rate        float64
	tick        int
	// reached counts the calls that reached the hot upstream in each tick, and statedPerTick is the rate that it stated
	// then.
	reached       []int
	statedPerTick []float64
	// refused counts the calls to the calm upstream that were refused while there was a leader, of calmCalls;
	// refusedLeaderless those that were refused without a leader, of calmCallsLeaderless.
	refused, calmCalls, refusedLeaderless, calmCallsLeaderless int
}

func simulateRates(daemons int, rate float64, seed uint64, newAdmitter func(*rateDaemon) admitter) *rateSimulation {
	s := &rateSimulation{
		fleet: newRateFleet(daemons, seed, newAdmitter), newAdmitter: newAdmitter, rate: rate,
		reached: make([]int, rateSeconds*rateTicks), statedPerTick: make([]float64, rateSeconds*rateTicks),
	}
	hot, calm, nextHeartbeat := 0.0, 0.0, 0
	for s.tick = range rateSeconds * rateTicks {
		s.applyEvents(float64(s.tick) / rateTicks)
		if s.tick >= nextHeartbeat {
			s.fleet.heartbeat()
			nextHeartbeat = s.tick + rateTicks/4
		}
		stated := s.statedRate(float64(s.tick) / rateTicks)
		s.statedPerTick[s.tick] = stated
		for hot += 4 * rate / rateTicks * s.fleet.random.ExpFloat64(); hot > 1; hot-- {
			if s.sendCall(hotUpstream, stated) {
				s.reached[s.tick]++
			}
		}
		for calm += rate / 2 / rateTicks * s.fleet.random.ExpFloat64(); calm > 1; calm-- {
			s.sendCalmCall()
		}
		s.fleet.now = s.fleet.now.Add(time.Second / rateTicks)
	}
	return s
}

// statedRate returns the rate that the hot upstream states at the given second; it is infinite while none is stated.
func (s *rateSimulation) statedRate(second float64) float64 {
	switch {
	case second < 2 || second >= 64:
		return math.Inf(1)
	case second >= 52 && second < 58:
		return 3 * s.rate
	case second >= 58:
		return s.rate / 2
	}
	return s.rate
}

// applyEvents applies the failures of the given second: the leader terminates, the leader and its standbys terminate
// while the store is unavailable, daemons are partitioned, a leader is suspended and resumes, and half of the daemons
// restart.
func (s *rateSimulation) applyEvents(second float64) {
	f := s.fleet
	at := func(eventSecond float64) bool { return math.Abs(second-eventSecond) < 0.5/rateTicks }
	switch {
	case at(9):
		f.daemons[f.leader].terminated = true
	case at(10.6):
		f.elect(1)
	case at(15):
		for i := range min(4, len(f.daemons)/2) {
			f.daemons[i].terminated = true
		}
	case at(22):
		f.elect(len(f.daemons) - 1)
	case at(27):
		for i := range len(f.daemons) / 4 {
			f.partitioned[i+len(f.daemons)/2] = true
		}
	case at(33):
		clear(f.partitioned)
	case at(36):
		f.daemons[f.leader].terminated = true
	case at(37.6):
		suspended := f.leader
		f.elect(len(f.daemons) - 2)
		f.daemons[suspended].suspended += 1600 * time.Millisecond
		f.daemons[suspended].terminated = false
	case at(42):
		for i := range len(f.daemons) / 2 {
			f.daemons[i].terminated = false
			f.daemons[i].restart(s.newAdmitter)
		}
	}
}

// sendCall sends a call through any daemon that is live and not partitioned. If the daemon admits it, the answer states
// the rate.
func (s *rateSimulation) sendCall(upstream turmericwall.UpstreamKey, stated float64) bool {
	d := s.pickDaemon()
	if d.admitter.Admit(context.Background(), upstream) != nil {
		return false
	}
	d.rates.RecordAnswer(upstream, turmericwall.UpstreamStatement{
		SentAt: d.now(), ReceivedAt: d.now(), PerSecond: stated,
		RateStated: !math.IsInf(stated, 1), RateLifted: math.IsInf(stated, 1),
	})
	return true
}

func (s *rateSimulation) pickDaemon() *rateDaemon {
	for {
		if d := s.fleet.daemons[s.fleet.random.IntN(len(s.fleet.daemons))]; s.fleet.reaches(d) {
			return d
		}
	}
}

// sendCalmCall sends a call to the upstream that is called below its rate.
func (s *rateSimulation) sendCalmCall() {
	ok := s.sendCall(calmUpstream, s.rate)
	if f := s.fleet; f.leader >= 0 && !f.daemons[f.leader].terminated {
		s.calmCalls++
		if !ok {
			s.refused++
		}
		return
	}
	s.calmCallsLeaderless++
	if !ok {
		s.refusedLeaderless++
	}
}

// maxFractionOfBound returns the largest fraction of the bound that the calls of any window reached.
func (s *rateSimulation) maxFractionOfBound() float64 {
	most := 0.0
	for end := (2 + rateGrace + rateWindow) * rateTicks; end <= len(s.reached); end++ {
		calls, rate := 0, 0.0
		for tick := end - rateWindow*rateTicks; tick < end; tick++ {
			calls += s.reached[tick]
			rate = max(rate, s.statedPerTick[tick])
		}
		// All daemons must apply a statement within half a second.
		rate = max(rate, s.statedPerTick[end-rateWindow*rateTicks-rateTicks/2])
		most = max(most, float64(calls)/(rateFactor*rateWindow*rate+rateSlack))
	}
	return most
}

// Guards against upstreams that receive more calls than the rate that they state, and against refused calls to an
// upstream that is called below its rate, while leaders terminate and are suspended, daemons are partitioned and
// restart, and rates change. Equal shares of the rate are simulated for comparison.
func TestNoUpstreamGetsMoreThanItStates(t *testing.T) {
	for _, c := range []struct {
		daemons int
		rate    float64
		seeds   uint64
	}{{6, 1, 8}, {6, 3, 8}, {6, 40, 4}, {82, 3, 4}, {82, 40, 4}, {705, 1, 2}, {705, 40, 2}, {705, 100, 2}} {
		t.Run(fmt.Sprintf("daemons=%d rate=%.0f", c.daemons, c.rate), func(t *testing.T) {
			g := NewWithT(t)
			var calmCalls, refused, calmCallsLeaderless, refusedLeaderless, hotCalls int
			most, mostEqual, refusedEqual := 0.0, 0.0, 0
			for seed := range c.seeds {
				s := simulateRates(c.daemons, c.rate, seed, func(d *rateDaemon) admitter { return d.throttle })
				g.Expect(s.maxFractionOfBound()).To(BeNumerically("<=", 1), "seed %d", seed)
				most = max(most, s.maxFractionOfBound())
				calmCalls, refused, calmCallsLeaderless, refusedLeaderless = calmCalls+s.calmCalls, refused+s.refused,
					calmCallsLeaderless+s.calmCallsLeaderless, refusedLeaderless+s.refusedLeaderless
				for _, n := range s.reached[10*rateTicks : 50*rateTicks] {
					hotCalls += n
				}
				equal := simulateRates(c.daemons, c.rate, seed, newEqualShare)
				mostEqual, refusedEqual = max(mostEqual, equal.maxFractionOfBound()), refusedEqual+equal.refused
			}
			// All values are fractions: of the bound, of the hot upstream's rate, and of the calls to the calm one.
			t.Logf(
				"%.2f of bound, %.2f of rate; refused %.3f with leader, %.3f without; equal shares: %.2f of bound, refused %.3f",
				most, float64(hotCalls)/(40*c.rate*float64(c.seeds)),
				float64(refused)/float64(calmCalls), float64(refusedLeaderless)/float64(max(calmCallsLeaderless, 1)),
				mostEqual, float64(refusedEqual)/float64(calmCalls))
			g.Expect(float64(refused)).To(BeNumerically("<=", 0.05*float64(calmCalls)+2))
		})
	}
}
