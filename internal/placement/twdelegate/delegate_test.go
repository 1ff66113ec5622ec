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
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
	"github.com/turmericwall/turmericwall/internal/placement/twcoordinator"
	"github.com/turmericwall/turmericwall/internal/placement/twdelegate"
)

// fakeLeader is the leader's side of the calls between daemons.
type fakeLeader struct {
	turmericwall.PeerClient
	mu          sync.Mutex
	place       func(ctx context.Context) (turmericwall.Placement, error)
	ended       []turmericwall.PlacementUpdate
	placedCalls []turmericwall.PlacedCall
	reports     int
	failing     bool
}

func (l *fakeLeader) Place(
	ctx context.Context, _ string, request turmericwall.PlaceRequest,
) (turmericwall.Placement, error) {
	p, err := l.place(ctx)
	p.ID = request.ID
	return p, err
}

func (l *fakeLeader) SendUpdates(_ context.Context, _ string, updates []turmericwall.PlacementUpdate) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return errors.New("leader unreachable")
	}
	l.ended = append(l.ended, updates...)
	return nil
}

func (l *fakeLeader) Admit(context.Context, string, turmericwall.AdmitRequest) (turmericwall.AdmitReply, error) {
	return turmericwall.AdmitReply{}, nil
}

func (l *fakeLeader) ReportPlacedCalls(_ context.Context, _ string, placedCalls []turmericwall.PlacedCall) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports++
	l.placedCalls = placedCalls
	return nil
}

// oldestMillis returns the age of the oldest run that was reported, in milliseconds.
func (l *fakeLeader) oldestMillis() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := int64(0)
	for _, placed := range l.placedCalls {
		oldest = max(oldest, placed.AgeMillis)
	}
	return oldest
}

func (l *fakeLeader) counts() (ended, runs, reports int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ended), len(l.placedCalls), l.reports
}

// fixture is a running delegate with a fake leader, which is current while live is set.
type fixture struct {
	delegate *twdelegate.Delegate
	leader   *fakeLeader
	mu       sync.Mutex
	current  turmericwall.Member
	live     bool
}

func (s *fixture) setLeader(name string, live bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.live = turmericwall.Member{Name: name, Address: name, Incarnation: name}, live
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &fixture{leader: &fakeLeader{}}
	s.setLeader("k", true)
	engines := []turmericwall.Upstream{
		{ID: "p", Service: "s", Slots: 4, Role: turmericwall.RolePrefill},
		{ID: "d", Service: "s", Slots: 4, Role: turmericwall.RoleDecode},
	}
	own := twcoordinator.New(twcoordinator.Config{
		RefusingCalls: func() []turmericwall.UpstreamKey { return nil },
		Tuning:        twallocator.DefaultTuning(),
		Upstreams:     func(string) []turmericwall.Upstream { return engines },
		Service: func(string) (turmericwall.ServicePlan, bool) {
			return turmericwall.ServicePlan{
				Engine: &turmericwall.EnginePlan{Slots: 4, MemoryTokens: 50_000, TokensPerEvent: 50},
			}, true
		},
		IsLeader:     func() bool { return false },
		ChangingRole: func(time.Time) []string { return nil },
	})
	s.delegate = twdelegate.New(twdelegate.Config{
		Local: own, Peers: s.leader, Owner: "me", Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
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

func placeRequest(id string) turmericwall.PlaceRequest {
	now := time.Now()
	return turmericwall.PlaceRequest{
		ID: id, Service: "s", Owner: "me",
		Work:           turmericwall.ModelWork{PromptTokens: 2000, HintTokens: 500, MaxTokens: 1000},
		TargetDeadline: now.Add(time.Second), GiveUpDeadline: now.Add(5 * time.Second),
		CallerDeadline: now.Add(5 * time.Second),
	}
}

func TestLeaderPlacesCallAndReceivesItsEnd(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.leader.place = func(context.Context) (turmericwall.Placement, error) {
		return turmericwall.Placement{Decode: turmericwall.Upstream{ID: "d"}, Reason: "leader"}, nil
	}
	p, err := s.delegate.Place(context.Background(), placeRequest("1/0"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Reason).To(Equal("leader"))
	s.delegate.ApplyUpdate(turmericwall.PlacementUpdate{ID: "1/0", Service: "s"})
	g.Eventually(func() int { ended, _, _ := s.leader.counts(); return ended }).Should(Equal(1))
}

func TestLeaderRefusalIsFinal(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.leader.place = func(context.Context) (turmericwall.Placement, error) {
		return turmericwall.Placement{}, turmericwall.NewRefusalProblem(turmericwall.Refusal{Reason: "full"})
	}
	_, err := s.delegate.Place(context.Background(), placeRequest("1/0"))
	g.Expect(turmericwall.IsKind(err, turmericwall.KindOverloaded)).To(BeTrue())
}

// Guards against a run whose age is counted from its last pause instead of its first token: a new leader would expect
// its memory to be free seconds late.
func TestPauseReportKeepsAgeOfRun(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.leader.place = func(context.Context) (turmericwall.Placement, error) {
		return turmericwall.Placement{Decode: turmericwall.Upstream{ID: "d"}, PrefillEndsAt: time.Now()}, nil
	}
	_, err := s.delegate.Place(context.Background(), placeRequest("1/0"))
	g.Expect(err).NotTo(HaveOccurred())
	s.delegate.ApplyUpdate(turmericwall.PlacementUpdate{ID: "1/0", Service: "s", Running: true, Prefilled: true})
	time.Sleep(300 * time.Millisecond)
	s.delegate.ApplyUpdate(turmericwall.PlacementUpdate{ID: "1/0", Service: "s", Running: true, EventGapExceeded: true})
	s.setLeader("next", true)
	g.Eventually(s.leader.oldestMillis, "2s").Should(BeNumerically(">=", 300))
}

// Guards against callers that wait for the next leader when the leader is unreachable, or suspended with the request.
// The daemon places the call with its own coordinator; reservations keep two daemons from overfilling an engine.
func TestDaemonPlacesLocallyWhileLeaderIsUnresponsive(t *testing.T) {
	cases := []struct {
		name  string
		place func(s *fixture) func(context.Context) (turmericwall.Placement, error)
	}{
		{"unreachable", func(*fixture) func(context.Context) (turmericwall.Placement, error) {
			return func(context.Context) (turmericwall.Placement, error) {
				return turmericwall.Placement{}, errors.New("connection refused")
			}
		}},
		{"suspended", func(s *fixture) func(context.Context) (turmericwall.Placement, error) {
			return func(ctx context.Context) (turmericwall.Placement, error) {
				time.AfterFunc(50*time.Millisecond, func() { s.setLeader("k", false) })
				<-ctx.Done()
				return turmericwall.Placement{}, ctx.Err()
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newFixture(t)
			s.leader.place = c.place(s)
			startedAt := time.Now()
			p, err := s.delegate.Place(context.Background(), placeRequest("1/0"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(p.Decode.ID).To(Equal("d"))
			g.Expect(p.Reason).To(ContainSubstring("without the leader"))
			g.Expect(time.Since(startedAt)).To(BeNumerically("<", 500*time.Millisecond))
		})
	}
}

// Guards against a new leader that places calls on full engines because it knows of no calls.
func TestNewLeaderReceivesPlacedCallsOnce(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.setLeader("k", false)
	_, err := s.delegate.Place(context.Background(), placeRequest("1/0"))
	g.Expect(err).NotTo(HaveOccurred())
	s.setLeader("next", true)
	g.Eventually(func() int { _, runs, _ := s.leader.counts(); return runs }).Should(Equal(1))
	g.Expect(s.leader.placedCalls[0].Engine).To(Equal("d"))
	g.Consistently(func() int { _, _, reports := s.leader.counts(); return reports }, 300*time.Millisecond).
		Should(Equal(1))
}

// Guards against a new leader that fills slow engines because it knows no pace: each run's last one must reach it, and
// only that of runs with a limit of event gaps.
func TestNewLeaderReceivesThePaceOfRuns(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.setLeader("k", false)
	for _, id := range []string{"1/0", "2/0"} {
		request := placeRequest(id)
		if id == "1/0" {
			request.EventGapMillis = 300
		}
		_, err := s.delegate.Place(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
		s.delegate.ApplyUpdate(turmericwall.PlacementUpdate{
			ID: id, Service: "s", Running: true, AnswerTokens: 300, AnswerMillis: 400,
		})
	}
	s.delegate.ApplyUpdate(turmericwall.PlacementUpdate{
		ID: "1/0", Service: "s", Running: true, PaceTokens: 150, PaceMillis: 450,
	})
	s.setLeader("next", true)
	g.Eventually(func() int { _, runs, _ := s.leader.counts(); return runs }).Should(Equal(2))
	for _, placed := range s.leader.placedCalls {
		if placed.Request.ID == "2/0" {
			g.Expect(placed.PaceTokens).To(BeZero())
			continue
		}
		g.Expect([]int64{int64(placed.PaceTokens), placed.PaceMillis}).To(Equal([]int64{150, 450}))
		g.Expect(placed.PaceAgeMillis).To(BeNumerically("<", 1000))
	}
}

func TestEndsAreResentUntilLeaderIsReachable(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.leader.mu.Lock()
	s.leader.failing = true
	s.leader.mu.Unlock()
	s.delegate.ApplyUpdate(turmericwall.PlacementUpdate{ID: "1/0", Service: "s"})
	g.Consistently(func() int { ended, _, _ := s.leader.counts(); return ended }, 150*time.Millisecond).Should(BeZero())
	s.leader.mu.Lock()
	s.leader.failing = false
	s.leader.mu.Unlock()
	g.Eventually(func() int { ended, _, _ := s.leader.counts(); return ended }).Should(Equal(1))
}

func TestCancelledCallIsWithdrawnFromLeader(t *testing.T) {
	g := NewWithT(t)
	s := newFixture(t)
	s.leader.place = func(ctx context.Context) (turmericwall.Placement, error) {
		<-ctx.Done()
		return turmericwall.Placement{}, ctx.Err()
	}
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, leave)
	_, err := s.delegate.Place(ctx, placeRequest("1/0"))
	g.Expect(turmericwall.IsKind(err, turmericwall.KindCancelled)).To(BeTrue())
	g.Eventually(func() int { ended, _, _ := s.leader.counts(); return ended }).
		Should(Equal(1), "the leader may have placed it")
}
