package twevidencereports_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidencereports"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
)

// fleet is a number of daemons that exchange evidence in memory.
type fleet struct {
	mu      sync.Mutex
	daemons []*daemon
	// leader is the address of the leader; empty if there is none.
	leader string
	// cut are the addresses of daemons that nobody reaches.
	cut       map[string]bool
	exchanges int
}

type daemon struct {
	fleet      *fleet
	self       turmericwall.Member
	quarantine *twquarantine.Quarantine
	reports    *twevidencereports.Reports
	announced  int
}

func newFleet(size int) *fleet {
	f := &fleet{cut: make(map[string]bool)}
	for n := range size {
		f.add(fmt.Sprint("d", n), "1")
	}
	return f
}

func (f *fleet) add(address, incarnation string) *daemon {
	d := &daemon{fleet: f, self: turmericwall.Member{Name: address, Address: address, Incarnation: address + incarnation}}
	d.quarantine = twquarantine.New(twquarantine.Config{
		Self: func() turmericwall.Member { return d.self }, Leader: d.leader, OnChange: func() {},
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Now: time.Now,
	})
	d.reports = twevidencereports.New(twevidencereports.Config{
		Quarantine: d.quarantine, Leader: d.leader, Relay: func() turmericwall.Member { return turmericwall.Member{} },
		KnownPeers: func() []string { return []string{"d0", "d1"} }, Peers: d,
		Followers: f.followers(d),
		Announce:  func() { d.announced++ }, Persist: func(context.Context) {}, Load: func(context.Context) {}, Count: func(string, int64) {},
	})
	f.daemons = append(f.daemons, d)
	return d
}

// maxFollowers is the number of daemons up to which the leader sends its evidence to each, else to two standbys.
const maxFollowers = 128

// followers returns the daemons to which a leader sends its evidence on.
func (f *fleet) followers(d *daemon) func() []string {
	return func() []string {
		var others []string
		for _, other := range f.daemons {
			if other != d {
				others = append(others, other.self.Address)
			}
		}
		if len(others) > maxFollowers {
			others = others[:2]
		}
		return others
	}
}

func (f *fleet) find(address string) *daemon {
	for n := len(f.daemons) - 1; n >= 0; n-- {
		if f.daemons[n].self.Address == address {
			return f.daemons[n]
		}
	}
	return nil
}

func (d *daemon) leader() (turmericwall.Member, bool, bool) {
	leader := d.fleet.find(d.fleet.leader)
	if leader == nil {
		return turmericwall.Member{}, false, false
	}
	return leader.self, leader == d, true
}

func (d *daemon) ExchangeEvidence(
	_ context.Context, address string, evidence turmericwall.Evidence,
) (turmericwall.Evidence, error) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.fleet.exchanges++
	if d.fleet.cut[address] || d.fleet.cut[d.self.Address] {
		return turmericwall.Evidence{}, errors.New("no answer")
	}
	other := d.fleet.find(address)
	other.quarantine.Merge(evidence)
	if leader := d.fleet.find(d.fleet.leader); leader == d {
		return turmericwall.Evidence{}, nil
	}
	reply, _ := other.quarantine.Export()
	return reply, nil
}

// round lets each daemon exchange what is due, after the leader's heartbeats.
func (f *fleet) round() {
	if leader := f.find(f.leader); leader != nil {
		for _, d := range f.daemons {
			if d != leader {
				d.reports.Want(leader.self, leader.quarantine.Version())
			}
		}
	}
	for _, d := range f.daemons {
		d.reports.Exchange(context.Background())
	}
}

var input = turmericwall.Input{Service: "s", Request: "r"}

func (d *daemon) recordEnds(first, count int) {
	for n := range count {
		d.quarantine.RecordEnd(turmericwall.UpstreamKey{ID: fmt.Sprint("e", first+n)}, time.Now(), input, turmericwall.EndProved)
	}
}

func (d *daemon) verdict() turmericwall.Verdict { return d.quarantine.Judge(input).Verdict }

// Guards against messages while nothing crashes, and against daemons that learn nothing of what others noticed.
func TestAllDaemonsLearnOfEndsWithinTwoRounds(t *testing.T) {
	for name, leader := range map[string]string{"with a leader": "d2", "without a leader": ""} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(6)
			f.leader = leader
			f.round()
			g.Expect(f.exchanges).To(BeZero())
			f.daemons[0].recordEnds(0, 1)
			f.daemons[4].recordEnds(1, 1)
			f.daemons[1].recordEnds(2, 1)
			f.round()
			f.round()
			for _, d := range f.daemons {
				if leader != "" || d.self.Address == "d0" || d.self.Address == "d1" {
					g.Expect(d.verdict()).To(Equal(turmericwall.VerdictQuarantined), d.self.Name)
				}
			}
			f.round()
			before := f.exchanges
			f.round()
			f.round()
			g.Expect(f.exchanges).To(Equal(before), "what is known is sent once")
		})
	}
}

// Guards against a quarantine that ends with the leader, or that a daemon which starts doesn't know.
func TestNextLeaderLearnsWhatTheOthersKnow(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	f.leader = "d0"
	f.daemons[3].recordEnds(0, 3)
	f.round()
	f.round()
	f.daemons = f.daemons[1:]
	f.leader = "d9"
	started := f.add("d9", "2")
	f.round()
	g.Expect(started.verdict()).To(Equal(turmericwall.VerdictQuarantined))
}

// Guards against a daemon that starts and serves with a peer's evidence before it knows the leader, which knows the runs under way.
func TestPeersEvidenceDoesNotReplaceTheLeaders(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	started, peer := f.daemons[0], f.daemons[1]
	peer.recordEnds(0, 3)
	started.reports.Fetch(context.Background(), peer.self.Address, peer.self.Incarnation, peer.quarantine.Version(), true)
	g.Expect(started.verdict()).To(Equal(turmericwall.VerdictQuarantined))
	g.Expect(started.quarantine.IsCurrent()).To(BeFalse())
	f.leader = f.daemons[2].self.Address
	f.round()
	f.round()
	g.Expect(started.quarantine.IsCurrent()).To(BeTrue())
}

// Guards against evidence that a daemon in a cut keeps to itself when the cut heals.
func TestEvidenceOfACutIsSentAfterIt(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	f.leader = "d0"
	f.cut["d3"] = true
	f.daemons[3].recordEnds(0, 3)
	f.round()
	g.Expect(f.daemons[3].verdict()).To(Equal(turmericwall.VerdictQuarantined), "a daemon that can tell nobody goes by its own")
	g.Expect(f.daemons[1].verdict()).To(Equal(turmericwall.VerdictClear))
	f.cut["d3"] = false
	f.round()
	f.round()
	g.Expect(f.daemons[1].verdict()).To(Equal(turmericwall.VerdictQuarantined))
}

// Guards against messages that grow faster than the number of daemons, and against a daemon that learns late.
func TestOneEndCostsEachDaemonAFewExchanges(t *testing.T) {
	for _, size := range []int{6, 82, 986} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(size)
			f.leader = "d2"
			f.daemons[size-1].recordEnds(0, 1)
			f.round()
			f.round()
			f.round()
			t.Logf("%d exchanges for an end", f.exchanges)
			g.Expect(f.exchanges).To(BeNumerically("<=", size+2), "the report, one for each other daemon, and two standbys")
			// A part that all daemons use: each of them sees engines write on it before it learns that another one has.
			shared := turmericwall.Input{Service: "s", Request: "other", Parts: []string{"first"}}
			f.exchanges = 0
			f.daemons[0].quarantine.RecordEnd(turmericwall.UpstreamKey{ID: "e"}, time.Now(), shared, turmericwall.EndProved)
			f.round()
			f.round()
			for _, d := range f.daemons {
				d.quarantine.RecordProgress(shared)
			}
			for range 4 {
				f.round()
			}
			t.Logf("%d exchanges for an end under a part in use", f.exchanges)
			g.Expect(f.exchanges).To(BeNumerically("<=", 4*size))
			f.daemons[size-1].recordEnds(1, 2)
			f.round()
			f.round()
			for _, d := range f.daemons {
				g.Expect(d.verdict()).To(Equal(turmericwall.VerdictQuarantined), d.self.Name)
			}
		})
	}
}
