package twdelegate_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/placement/twbooks"
	"github.com/turmericwall/turmericwall/internal/placement/twcoordinator"
	"github.com/turmericwall/turmericwall/internal/placement/twdelegate"
)

// leader plays the leader's side of the calls between daemons.
type leader struct {
	turmericwall.PeerClient
	mu    sync.Mutex
	place func(ctx context.Context) (turmericwall.Placement, error)
	ended []turmericwall.PlacementEnd
	runs  []turmericwall.PlacedRun
	told  int
	fails bool
}

func (k *leader) Place(ctx context.Context, _ string, ask turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	p, err := k.place(ctx)
	p.ID = ask.ID
	return p, err
}

func (k *leader) Finish(_ context.Context, _ string, ends []turmericwall.PlacementEnd) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fails {
		return errors.New("no path")
	}
	k.ended = append(k.ended, ends...)
	return nil
}

func (k *leader) Admit(context.Context, string, turmericwall.AdmitAsk) (turmericwall.AdmitReply, error) {
	return turmericwall.AdmitReply{}, nil
}

func (k *leader) Runs(_ context.Context, _ string, runs []turmericwall.PlacedRun) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.told++
	k.runs = runs
	return nil
}

// oldest is the age of the oldest run that it was told of, in milliseconds.
func (k *leader) oldest() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest := int64(0)
	for _, run := range k.runs {
		oldest = max(oldest, run.AgeMillis)
	}
	return oldest
}

func (k *leader) heard() (ended, runs, told int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ended), len(k.runs), k.told
}

type site struct {
	delegate *twdelegate.Delegate
	leader   *leader
	mu       sync.Mutex
	current  turmericwall.Member
	live     bool
}

func (s *site) set(name string, live bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.live = turmericwall.Member{Name: name, Address: name, Incarnation: name}, live
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{leader: &leader{}}
	s.set("k", true)
	engines := []turmericwall.Upstream{
		{ID: "p", Service: "s", Slots: 4, Role: turmericwall.RolePrefill}, {ID: "d", Service: "s", Slots: 4, Role: turmericwall.RoleDecode},
	}
	own := twcoordinator.New(twcoordinator.Config{
		Open:      func(turmericwall.UpstreamKey) bool { return true },
		Tuning:    twbooks.DefaultTuning(),
		Upstreams: func(string) []turmericwall.Upstream { return engines },
		Service: func(string) (turmericwall.ServicePlan, bool) {
			return turmericwall.ServicePlan{Engine: &turmericwall.EnginePlan{Slots: 4, MemoryTokens: 50_000, TokensPerEvent: 50}}, true
		},
		Keeping: func() bool { return false },
		Away:    func(time.Time, turmericwall.Upstream) bool { return false },
	})
	s.delegate = twdelegate.New(twdelegate.Config{
		Own: own, Peers: s.leader, Owner: "me", Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
		Leader: func() (turmericwall.Member, bool, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.current, false, s.live
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.delegate.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return s
}

func ask(id string) turmericwall.PlaceAsk {
	now := time.Now()
	return turmericwall.PlaceAsk{
		ID: id, Service: "s", Owner: "me", Work: turmericwall.ModelWork{PromptTokens: 2000, HintTokens: 500, MaxTokens: 1000},
		TargetDeadline: now.Add(time.Second), GiveUpDeadline: now.Add(5 * time.Second), CallerDeadline: now.Add(5 * time.Second),
	}
}

func TestTheLeaderDecidesAndIsToldOfTheEnd(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.leader.place = func(context.Context) (turmericwall.Placement, error) {
		return turmericwall.Placement{Decode: turmericwall.Upstream{ID: "d"}, Reason: "leader"}, nil
	}
	p, err := s.delegate.Place(context.Background(), ask("1/0"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Reason).To(Equal("leader"))
	s.delegate.Finish(turmericwall.PlacementEnd{ID: "1/0", Service: "s"})
	g.Eventually(func() int { ended, _, _ := s.leader.heard(); return ended }).Should(Equal(1))
}

func TestTheLeadersRefusalCounts(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.leader.place = func(context.Context) (turmericwall.Placement, error) {
		return turmericwall.Placement{}, turmericwall.Refused(turmericwall.Refusal{Reason: "full"})
	}
	_, err := s.delegate.Place(context.Background(), ask("1/0"))
	g.Expect(turmericwall.IsKind(err, turmericwall.KindOverloaded)).To(BeTrue())
}

// A stream paused too long, and its daemon tells so while it goes on. A new leader must still hear how old the run is:
// counted from the pause on, its memory would be expected back seconds late.
func TestAPauseDoesNotMakeARunYoung(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.leader.place = func(context.Context) (turmericwall.Placement, error) {
		return turmericwall.Placement{Decode: turmericwall.Upstream{ID: "d"}, ReadDeadline: time.Now()}, nil
	}
	_, err := s.delegate.Place(context.Background(), ask("1/0"))
	g.Expect(err).NotTo(HaveOccurred())
	s.delegate.Finish(turmericwall.PlacementEnd{ID: "1/0", Service: "s", Running: true, PromptRead: true})
	time.Sleep(300 * time.Millisecond)
	s.delegate.Finish(turmericwall.PlacementEnd{ID: "1/0", Service: "s", Running: true, Paused: true})
	s.set("next", true)
	g.Eventually(s.leader.oldest, "2s").Should(BeNumerically(">=", 300))
}

// The leader is gone, or freezes with the ask in its hands. The caller can't wait for the next leader; the daemon decides
// on its own books, and the engines' reservations keep two deciders from overfilling an engine.
func TestADaemonDecidesAloneWhileNoLeaderAnswers(t *testing.T) {
	cases := []struct {
		name  string
		place func(s *site) func(context.Context) (turmericwall.Placement, error)
	}{
		{"unreachable", func(*site) func(context.Context) (turmericwall.Placement, error) {
			return func(context.Context) (turmericwall.Placement, error) {
				return turmericwall.Placement{}, errors.New("connection refused")
			}
		}},
		{"frozen", func(s *site) func(context.Context) (turmericwall.Placement, error) {
			return func(ctx context.Context) (turmericwall.Placement, error) {
				time.AfterFunc(50*time.Millisecond, func() { s.set("k", false) })
				<-ctx.Done()
				return turmericwall.Placement{}, ctx.Err()
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSite(t)
			s.leader.place = c.place(s)
			began := time.Now()
			p, err := s.delegate.Place(context.Background(), ask("1/0"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(p.Decode.ID).To(Equal("d"))
			g.Expect(p.Reason).To(ContainSubstring("without the leader"))
			g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		})
	}
}

// A new leader's books are empty. Told of no calls under way, it would place as many again on engines that are full.
func TestANewLeaderIsToldOfTheCallsUnderWay(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.set("k", false)
	_, err := s.delegate.Place(context.Background(), ask("1/0"))
	g.Expect(err).NotTo(HaveOccurred())
	s.set("next", true)
	g.Eventually(func() int { _, runs, _ := s.leader.heard(); return runs }).Should(Equal(1))
	g.Expect(s.leader.runs[0].Engine).To(Equal("d"))
	g.Consistently(func() int { _, _, told := s.leader.heard(); return told }, 300*time.Millisecond).Should(Equal(1))
}

func TestEndsWaitForAPathToTheLeader(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.leader.mu.Lock()
	s.leader.fails = true
	s.leader.mu.Unlock()
	s.delegate.Finish(turmericwall.PlacementEnd{ID: "1/0", Service: "s"})
	g.Consistently(func() int { ended, _, _ := s.leader.heard(); return ended }, 150*time.Millisecond).Should(BeZero())
	s.leader.mu.Lock()
	s.leader.fails = false
	s.leader.mu.Unlock()
	g.Eventually(func() int { ended, _, _ := s.leader.heard(); return ended }).Should(Equal(1))
}

func TestACallersLeavingEndsTheAsk(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.leader.place = func(ctx context.Context) (turmericwall.Placement, error) {
		<-ctx.Done()
		return turmericwall.Placement{}, ctx.Err()
	}
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, leave)
	_, err := s.delegate.Place(ctx, ask("1/0"))
	g.Expect(turmericwall.IsKind(err, turmericwall.KindCancelled)).To(BeTrue())
	g.Eventually(func() int { ended, _, _ := s.leader.heard(); return ended }).Should(Equal(1), "the leader may have placed it")
}
