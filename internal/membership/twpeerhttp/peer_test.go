package twpeerhttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twlists"
	"github.com/turmericwall/turmericwall/internal/membership/twpeerhttp"
)

// serve starts a server and returns its address.
func serve(t *testing.T, config twpeerhttp.Config) string {
	t.Helper()
	server := httptest.NewServer(twpeerhttp.NewServer(config))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// placeRequest returns a request for a placement with all fields that are sent.
func placeRequest() turmericwall.PlaceRequest {
	now := time.Now()
	return turmericwall.PlaceRequest{
		ID: "1/0", Service: "s", Owner: "o", Zone: "z", Work: turmericwall.ModelWork{PromptTokens: 10, Subject: "x"},
		TargetDeadline: now.Add(time.Second), GiveUpDeadline: now.Add(2 * time.Second),
		CallerDeadline: now.Add(3 * time.Second),
		EventGapMillis: 300, Moving: true, SlowEngine: "e", Only: "o", Avoid: []string{"e"},
	}
}

// Guards against a leader that doesn't learn for how long the caller has been held and that its prefill was lost, and a
// daemon that doesn't learn what was short. Both are left out by daemons of the previous release.
func TestHeldCallsAndCausesOfRefusalsAreSent(t *testing.T) {
	g := NewWithT(t)
	want := placeRequest()
	want.ReceivedAt, want.PrefillLost, want.Account = time.Now().Add(-3*time.Second), true, "a"
	address := serve(t, twpeerhttp.Config{
		IsLeader: func() bool { return true },
		Place: func(_ context.Context, got turmericwall.PlaceRequest) (turmericwall.Placement, error) {
			g.Expect(got.ReceivedAt).To(BeTemporally("~", want.ReceivedAt, 200*time.Millisecond))
			g.Expect(got.PrefillLost).To(BeTrue())
			g.Expect(got.Account).To(Equal("a"))
			return turmericwall.Placement{}, turmericwall.NewRefusalProblem(
				turmericwall.Refusal{Reason: "r", Cause: turmericwall.RefusedForShare, RetryAt: time.Now()})
		},
	})
	_, err := twpeerhttp.NewClient(nil).Place(context.Background(), address, want)
	var problem *turmericwall.Problem
	g.Expect(errors.As(err, &problem)).To(BeTrue())
	g.Expect(problem.RefusedFor()).To(Equal(turmericwall.RefusedForShare))
}

func TestPlacementKeepsItsFieldsAndDeadlines(t *testing.T) {
	g := NewWithT(t)
	want := placeRequest()
	address := serve(t, twpeerhttp.Config{
		IsLeader: func() bool { return true },
		Place: func(_ context.Context, got turmericwall.PlaceRequest) (turmericwall.Placement, error) {
			g.Expect(got.TargetDeadline).To(BeTemporally("~", want.TargetDeadline, 200*time.Millisecond))
			g.Expect(got.CallerDeadline).To(BeTemporally("~", want.CallerDeadline, 200*time.Millisecond))
			got.TargetDeadline, got.GiveUpDeadline, got.CallerDeadline = want.TargetDeadline, want.GiveUpDeadline, want.CallerDeadline
			g.Expect(got).To(Equal(want))
			return turmericwall.Placement{
				Decode: turmericwall.Upstream{ID: "d"}, ReserveTokens: 7, Late: true, Reason: "r",
				PrefillEndsAt: time.Now().Add(time.Second),
			}, nil
		},
	})
	got, err := twpeerhttp.NewClient(nil).Place(context.Background(), address, want)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]any{got.ID, got.Decode.ID, got.ReserveTokens, got.Late, got.Reason}).
		To(Equal([]any{"1/0", "d", 7, true, "r"}))
	g.Expect(got.PrefillEndsAt).To(BeTemporally("~", time.Now().Add(time.Second), 300*time.Millisecond))
}

func TestRefusalKeepsRetryTime(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, twpeerhttp.Config{
		IsLeader: func() bool { return true },
		Place: func(context.Context, turmericwall.PlaceRequest) (turmericwall.Placement, error) {
			return turmericwall.Placement{}, turmericwall.NewRefusalProblem(turmericwall.Refusal{
				Reason: "full", RetryAt: time.Now().Add(2 * time.Second),
			})
		},
	})
	_, err := twpeerhttp.NewClient(nil).Place(context.Background(), address, placeRequest())
	g.Expect(turmericwall.IsKind(err, turmericwall.KindOverloaded)).To(BeTrue())
	g.Expect(err.(*turmericwall.Problem).RetryAt()).
		To(BeTemporally("~", time.Now().Add(2*time.Second), 300*time.Millisecond))
}

// A daemon requests a placement from one that is no longer the leader. It must be refused: the former leader gets no
// ends of placements, so its reservations would never be released.
func TestOnlyLeaderPlacesCalls(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, twpeerhttp.Config{IsLeader: func() bool { return false }})
	_, err := twpeerhttp.NewClient(nil).Place(context.Background(), address, placeRequest())
	g.Expect(err).To(MatchError(ContainSubstring("421")))
}

func TestFinishRunsHeartbeatAndStateKeepTheirFields(t *testing.T) {
	g := NewWithT(t)
	var ended []turmericwall.PlacementUpdate
	var adopted []turmericwall.PlacedCall
	me := turmericwall.HeartbeatReply{
		Member: turmericwall.Member{Name: "b", Address: "b:1", Incarnation: "b1"}, UptimeMillis: 7,
	}
	state := turmericwall.SharedState{
		Plan: &turmericwall.RoutePlan{Version: 4}, Upstreams: []turmericwall.Upstream{{ID: "u"}}, UpstreamsPosition: 9,
	}
	address := serve(t, twpeerhttp.Config{
		HandleHeartbeat: func(_ context.Context, heartbeat turmericwall.Heartbeat) turmericwall.HeartbeatReply {
			g.Expect(heartbeat.Term).To(BeEquivalentTo(3))
			g.Expect(heartbeat.Changing).
				To(Equal([]turmericwall.ChangingEngine{{ID: "e", Role: turmericwall.RolePrefill, RemainingMillis: 70}}))
			return me
		},
		State: func(request turmericwall.StateRequest) turmericwall.SharedState {
			g.Expect(request.UpstreamsPosition).To(BeEquivalentTo(8))
			return state
		},
		Finish:          func(update turmericwall.PlacementUpdate) { ended = append(ended, update) },
		AdoptPlacedCall: func(placed turmericwall.PlacedCall) { adopted = append(adopted, placed) },
	})
	c, ctx := twpeerhttp.NewClient(nil), context.Background()
	g.Expect(c.SendUpdates(ctx, address, []turmericwall.PlacementUpdate{
		{ID: "1", Running: true, Prefilled: true, PrefillMillis: 5},
	})).To(Succeed())
	g.Expect(ended).To(
		Equal([]turmericwall.PlacementUpdate{{ID: "1", Running: true, Prefilled: true, PrefillMillis: 5}}),
	)
	g.Expect(c.ReportPlacedCalls(ctx, address, []turmericwall.PlacedCall{
		{Request: placeRequest(), Engine: "d", AgeMillis: -40, PaceTokens: 150, PaceMillis: 420, PaceAgeMillis: 30},
	})).To(Succeed())
	g.Expect([]int64{int64(adopted[0].PaceTokens), adopted[0].PaceMillis, adopted[0].PaceAgeMillis}).
		To(Equal([]int64{150, 420, 30}))
	g.Expect([]any{adopted[0].Engine, adopted[0].AgeMillis, adopted[0].Request.ID}).To(
		Equal([]any{"d", int64(-40), "1/0"}))
	got, err := c.Heartbeat(ctx, address, turmericwall.Heartbeat{
		Term:     3,
		Changing: []turmericwall.ChangingEngine{{ID: "e", Role: turmericwall.RolePrefill, RemainingMillis: 70}},
	})
	g.Expect([]any{got, err}).To(Equal([]any{me, nil}))
	received, err := c.FetchState(ctx, address, turmericwall.StateRequest{UpstreamsPosition: 8})
	g.Expect([]any{received, err}).To(Equal([]any{state, nil}))
}

func TestCorruptPlanIsAnError(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"packedPlan":"AAAA"}`)
	}))
	defer server.Close()
	_, err := twpeerhttp.NewClient(nil).
		FetchState(context.Background(), strings.TrimPrefix(server.URL, "http://"), turmericwall.StateRequest{})
	g.Expect(err).To(MatchError(ContainSubstring("unpack the plan")))
}

// All daemons start at once and request all upstreams. If the list were encoded for each, it would fill the memory
// and the link of the daemon that answers.
func TestCompleteListOfUpstreamsIsCompressedOnce(t *testing.T) {
	g := NewWithT(t)
	state := turmericwall.SharedState{UpstreamsPosition: 9}
	for n := range 3000 {
		state.Upstreams = append(state.Upstreams, turmericwall.Upstream{
			ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n), Zone: "z",
		})
	}
	address := serve(
		t, twpeerhttp.Config{State: func(turmericwall.StateRequest) turmericwall.SharedState { return state }},
	)
	response, err := http.Post("http://"+address+"/peer/state", "application/json", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(body)).To(BeNumerically("<", 64<<10))
	received, err := twpeerhttp.NewClient(nil).FetchState(context.Background(), address, turmericwall.StateRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.Upstreams).To(Equal(state.Upstreams))
	state.UpstreamsPosition, state.Upstreams = 10, state.Upstreams[:1]
	received, err = twpeerhttp.NewClient(nil).FetchState(context.Background(), address, turmericwall.StateRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.Upstreams).To(HaveLen(1), "a newer list is compressed anew")
}

// Guards against whole lists that fill the link of a daemon which all others ask at once, and against an answer without the list that
// counts as state: its age would make the peer's older list look new.
func TestListIsWithheldWhileOthersGetIt(t *testing.T) {
	g := NewWithT(t)
	state := turmericwall.SharedState{UpstreamsPosition: 9, StateAgeMillis: 5}
	for n := range 3000 {
		state.Upstreams = append(state.Upstreams, turmericwall.Upstream{ID: fmt.Sprint("i-", n), Service: "s"})
	}
	address := serve(t, twpeerhttp.Config{
		State: func(turmericwall.StateRequest) turmericwall.SharedState { return state },
		Lists: twlists.New(twlists.Config{LinkMegabits: 0.2}),
	})
	ask := func(name string) turmericwall.SharedState {
		received, err := twpeerhttp.NewClient(nil).FetchState(context.Background(), address, turmericwall.StateRequest{
			Joining: &turmericwall.HeartbeatReply{Member: turmericwall.Member{Address: name}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		return received
	}
	g.Expect(ask("a").Upstreams).To(HaveLen(3000))
	g.Expect(ask("b")).To(Equal(turmericwall.SharedState{Loading: true, StateAgeMillis: -1}))
}

// A removal of engines changes hundreds of upstreams at once. Each peer must get the changes between its own state and
// this daemon's, compressed.
func TestManyChangedUpstreamsAreCompressed(t *testing.T) {
	g := NewWithT(t)
	state := turmericwall.SharedState{UpstreamsPosition: 9, Partial: true, Removed: []string{"gone"}}
	for n := range 400 {
		state.Upstreams = append(state.Upstreams, turmericwall.Upstream{
			ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprint("10.0.0.1:", n), Zone: "z", Leaving: true,
		})
	}
	address := serve(t, twpeerhttp.Config{
		State: func(request turmericwall.StateRequest) turmericwall.SharedState {
			answer := state
			answer.Upstreams = state.Upstreams[request.UpstreamsPosition:]
			return answer
		},
	})
	response, err := http.Post("http://"+address+"/peer/state", "application/json", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(body)).To(BeNumerically("<", 10<<10))
	for _, position := range []int64{0, 100, 0} {
		received, err := twpeerhttp.NewClient(nil).FetchState(context.Background(), address,
			turmericwall.StateRequest{UpstreamsPosition: position})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(received.Partial).To(BeTrue())
		g.Expect(received.Removed).To(Equal(state.Removed))
		g.Expect(received.Upstreams).To(Equal(state.Upstreams[position:]))
	}
}

func TestUnreadableMessagesAreRejected(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, twpeerhttp.Config{})
	for _, path := range []string{"heartbeat", "place", "finish", "runs", "state"} {
		response, err := http.Post("http://"+address+"/peer/"+path, "application/json", strings.NewReader("{"))
		g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	}
}
