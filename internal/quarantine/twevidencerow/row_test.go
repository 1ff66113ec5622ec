package twevidencerow_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidencerow"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
)

// store holds one row.
type store struct {
	row    turmericwall.FeedRow
	writes int
}

func (s *store) CompareAndSwap(
	_ context.Context, _, key string, ifVersion int64, value []byte,
) (int64, turmericwall.FeedRow, bool, error) {
	if ifVersion != s.row.Version {
		return 0, s.row, false, nil
	}
	s.writes++
	s.row = turmericwall.FeedRow{Key: key, Value: value, Version: s.row.Version + 1}
	return s.row.Version, s.row, true, nil
}

func (s *store) Rows(context.Context, string) (turmericwall.Snapshot, error) {
	snapshot := turmericwall.Snapshot{Version: s.row.Version}
	if s.row.Version > 0 {
		snapshot.Rows = []turmericwall.FeedRow{s.row}
	}
	return snapshot, nil
}

type daemon struct {
	quarantine *twquarantine.Quarantine
	row        *twevidencerow.Row
	leads      bool
}

func newDaemon(s *store, leads bool) *daemon {
	d := &daemon{leads: leads}
	recorder := tweventlog.New(tweventlog.Config{Output: io.Discard})
	d.quarantine = twquarantine.New(twquarantine.Config{
		Self:     func() turmericwall.Member { return turmericwall.Member{} },
		Leader:   func() (turmericwall.Member, bool, bool) { return turmericwall.Member{}, d.leads, d.leads },
		OnChange: func() {}, Recorder: recorder, Now: time.Now,
	})
	d.row = twevidencerow.New(twevidencerow.Config{
		Store: s, Table: "t", Quarantine: d.quarantine, Leader: func() (self, live bool) { return d.leads, true },
		HasState: func() bool { return true }, Recorder: recorder,
	})
	return d
}

func (d *daemon) recordEnds(first, count int) {
	for n := range count {
		d.quarantine.RecordEnd(turmericwall.UpstreamKey{ID: fmt.Sprint("e", first+n)}, time.Now(), input, turmericwall.EndProved)
	}
}

var input = turmericwall.Input{Service: "s", Request: "r", Parts: []string{"p"}}

// Guards against a daemon that is cut from all others and learns by itself what they know, against writes while nothing crashes,
// and against a new leader that overwrites what it doesn't know.
func TestDaemonsWithoutALeaderLearnFromTheRow(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	write := func(d *daemon) { g.Expect(d.row.WriteIfChanged(context.Background())).To(Succeed()) }
	leader, cut, next := newDaemon(s, true), newDaemon(s, false), newDaemon(s, true)
	write(leader)
	write(cut)
	g.Expect(s.writes).To(BeZero(), "nothing is known")
	leader.recordEnds(0, 3)
	write(leader)
	write(leader)
	g.Expect(s.writes).To(Equal(1))
	cut.row.Apply(s.row)
	g.Expect(cut.quarantine.Judge(input).Verdict).To(Equal(turmericwall.VerdictQuarantined))
	next.recordEnds(20, 1)
	write(next)
	write(next)
	g.Expect(next.quarantine.Judge(input).Verdict).To(Equal(turmericwall.VerdictQuarantined))
	g.Expect(s.writes).To(Equal(2))
	write(leader)
	leader.recordEnds(30, 400)
	write(leader)
	write(leader)
	g.Expect(len(s.row.Value)).To(BeNumerically("<", 64<<10))
	leader.row.Apply(turmericwall.FeedRow{Version: 99, Value: []byte("{")})
}

// Guards against ends that are lost with all daemons: those that a daemon without a leader noticed, and a start without them.
func TestDaemonThatStartsKnowsWhatOthersWroteWithoutALeader(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	for n := range 3 {
		noticing := newDaemon(s, false)
		g.Expect(noticing.row.Load(context.Background())).To(BeTrue())
		noticing.recordEnds(n, 1)
		noticing.row.Persist(context.Background())
	}
	started, follower := newDaemon(s, false), newDaemon(s, false)
	started.row.Load(context.Background())
	g.Expect(started.quarantine.Judge(input).Verdict).To(Equal(turmericwall.VerdictQuarantined))
	follower.row.Load(context.Background())
	follower.row.Persist(context.Background())
	g.Expect(s.writes).To(Equal(3), "a daemon that noticed nothing writes nothing")
}

// Guards against a daemon that starts, gets a peer's evidence and places a request before it knows the leader, which has runs of it
// under way.
func TestDaemonThatAPeerToldWaitsForTheLeader(t *testing.T) {
	g := NewWithT(t)
	started := newDaemon(&store{}, false)
	started.quarantine.MarkPeerEvidence()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- started.row.Run(ctx) }()
	g.Consistently(started.quarantine.IsCurrent, 600*time.Millisecond).Should(BeFalse())
	g.Eventually(started.quarantine.IsCurrent, 2*time.Second).Should(BeTrue(), "without a leader it serves all the same")
	cancel()
	g.Expect(<-ended).To(MatchError(context.Canceled))
}
