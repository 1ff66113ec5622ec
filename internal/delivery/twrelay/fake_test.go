package twrelay_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twauthenticator"
	"github.com/turmericwall/turmericwall/internal/admission/twdrain"
	"github.com/turmericwall/turmericwall/internal/admission/twreadiness"
	"github.com/turmericwall/turmericwall/internal/delivery/twconcurrency"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twpicker"
	"github.com/turmericwall/turmericwall/internal/delivery/twrelay"
	"github.com/turmericwall/turmericwall/internal/delivery/twretries"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/membership/twupstreams"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/placement/twstreamrecords"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
	"github.com/turmericwall/turmericwall/internal/routing/twmatcher"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

// sendFunc simulates one upstream's answer to one send.
type sendFunc func(
	ctx context.Context, to turmericwall.Upstream, call turmericwall.OutgoingCall,
) (*turmericwall.Answer, error)

// fakeUpstreams simulates all upstreams and counts what reaches them.
type fakeUpstreams struct {
	mu      sync.Mutex
	send    sendFunc
	sends   []turmericwall.OutgoingCall
	targets []string
	prefill func(n int) (turmericwall.EngineExport, error)
	// hangingPrefills are engines that never finish a prefill.
	hangingPrefills map[string]bool
	prefills        int
	prefillCalls    []turmericwall.OutgoingCall
	full            map[string]bool
	// unresponsive engines do not answer reservations.
	unresponsive   map[string]bool
	reservations   int
	droppedExports int
	move           func(from, to turmericwall.Upstream) (turmericwall.EngineExport, bool, error)
	// copyErr is the error of copies that are made while the run continues.
	copyErr error
	// onCopy is called while a copy is made. onMove is called when a move begins, and moveSpan is how long it takes.
	onCopy   func()
	onMove   func()
	moveSpan time.Duration
}

func (u *fakeUpstreams) Send(
	ctx context.Context, to turmericwall.Upstream, call turmericwall.OutgoingCall,
) (*turmericwall.Answer, error) {
	u.mu.Lock()
	u.sends = append(u.sends, call)
	u.targets = append(u.targets, to.ID)
	u.mu.Unlock()
	return u.send(ctx, to, call)
}

func (u *fakeUpstreams) Prefill(
	ctx context.Context, to turmericwall.Upstream, call turmericwall.OutgoingCall,
) (turmericwall.EngineExport, error) {
	if u.hangingPrefills[to.ID] {
		<-ctx.Done()
		return turmericwall.EngineExport{}, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
	}
	u.mu.Lock()
	u.prefills++
	u.prefillCalls = append(u.prefillCalls, call)
	n := u.prefills
	u.mu.Unlock()
	if u.prefill != nil {
		return u.prefill(n)
	}
	return turmericwall.EngineExport{Address: "p:1", Handle: fmt.Sprint("h", n)}, nil
}

func (u *fakeUpstreams) DropExport(context.Context, turmericwall.Upstream, turmericwall.EngineExport) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.droppedExports++
	return nil
}

func (u *fakeUpstreams) Reserve(
	ctx context.Context, to turmericwall.Upstream, _ int, _ time.Time,
) (string, bool, error) {
	if u.unresponsive[to.ID] {
		<-ctx.Done()
		return "", false, ctx.Err()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.full[to.ID] {
		return "", false, nil
	}
	u.reservations++
	return fmt.Sprint("r", u.reservations), true, nil
}

func (u *fakeUpstreams) DropReservation(context.Context, turmericwall.Upstream, string) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reservations--
	return nil
}

func (u *fakeUpstreams) CopyRun(
	context.Context, turmericwall.Upstream, turmericwall.Upstream, string,
) (turmericwall.EngineExport, error) {
	if u.onCopy != nil {
		u.onCopy()
	}
	return turmericwall.EngineExport{Address: "d1:1", Handle: "copy"}, u.copyErr
}

func (u *fakeUpstreams) MoveRun(
	ctx context.Context, from, to turmericwall.Upstream, _ string,
) (turmericwall.EngineExport, bool, error) {
	if u.onMove != nil {
		u.onMove()
	}
	select {
	case <-time.After(u.moveSpan):
		return u.move(from, to)
	case <-ctx.Done():
		return turmericwall.EngineExport{}, false, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
	}
}

func (u *fakeUpstreams) CachedPrompts(context.Context, turmericwall.Upstream) ([]turmericwall.CachedPrompt, error) {
	return nil, nil
}

func (u *fakeUpstreams) FetchLoad(context.Context, turmericwall.Upstream) (turmericwall.EngineLoad, error) {
	return turmericwall.EngineLoad{}, nil
}

func (u *fakeUpstreams) ChangeRole(context.Context, turmericwall.Upstream, turmericwall.RoleOrder) (bool, error) {
	return true, nil
}

func (u *fakeUpstreams) sentTo() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.targets...)
}

// fakeThrottle simulates the rates of upstreams: those in closedUntil accept no call.
type fakeThrottle struct {
	mu          sync.Mutex
	closedUntil map[string]time.Time
	// backoffUntil holds the upstreams that are in back-off for this daemon.
	backoffUntil map[string]time.Time
	admitted     map[string]int
	// onAdmit is called while a send is admitted, which may take a request to another daemon.
	onAdmit func(id string)
}

func (t *fakeThrottle) Admit(_ context.Context, upstream turmericwall.UpstreamKey) error {
	if t.onAdmit != nil {
		t.onAdmit(upstream.ID)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if until, closed := t.closedUntil[upstream.ID]; closed {
		return turmericwall.NewProblem(turmericwall.KindOverloaded, upstream.ID+" takes no more",
			"come back at the time given").WithRetryAt(until)
	}
	t.admitted[upstream.ID]++
	return nil
}

func (t *fakeThrottle) BackoffUntil(upstream turmericwall.UpstreamKey) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.backoffUntil[upstream.ID]
}

func (t *fakeThrottle) backOff(id string, span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil[id] = time.Now().Add(span)
	t.closedUntil[id] = t.backoffUntil[id]
}

func (t *fakeThrottle) ReturnSend(upstream turmericwall.UpstreamKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admitted[upstream.ID]--
}

// fixture is a relay with simulated dependencies.
type fixture struct {
	relay     *twrelay.Relay
	config    twrelay.Config
	upstreams *fakeUpstreams
	placer    *fakePlacer
	throttle  *fakeThrottle
	view      *twupstreams.View
	outcomes  []twrelay.Outcome
	drain     *twdrain.Drain
	slack     float64
	retries   *twretries.Budget
	routes    *twroutes.Table
	proof     *twproof.Proof
	log       *logBuffer
	streams   *twstreamrecords.Records
	// awaitStart holds calls at the start; nil if none is held.
	awaitStart func(ctx context.Context, id string, describe func() twreadiness.Call) error
	picker     *twpicker.Picker
	limiter    *twconcurrency.Limiter
	// credit is what the limiter starts with.
	credit float64
	// lastEvent and resumes are those of the calls.
	lastEvent int64
	resumes   string
	endings
}

// logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

var errConnectionReset = errors.New("connection reset")

func newFixture(kind turmericwall.CallKind) *fixture {
	s := &fixture{
		upstreams: &fakeUpstreams{}, placer: &fakePlacer{},
		throttle: &fakeThrottle{
			closedUntil: make(map[string]time.Time), backoffUntil: make(map[string]time.Time),
			admitted: make(map[string]int),
		},
		view: twupstreams.New(twupstreams.Config{}), slack: 50,
	}
	s.setEnded(false)
	s.drain = twdrain.New(twdrain.Config{})
	s.proof = twproof.New(twproof.Config{MaxAge: time.Minute, InForceWithin: time.Minute})
	s.proof.Confirm(twboottime.Now())
	s.log = &logBuffer{}
	s.streams = twstreamrecords.New(twstreamrecords.Config{})
	routes := twroutes.New()
	s.routes = routes
	routes.Apply(&turmericwall.RoutePlan{
		Version: 3,
		Routes: []turmericwall.Route{
			{
				Name: "plain", Host: "h", Prefix: "/p/", Kind: kind, MaxUpstreams: 2, TimeoutMillis: 900, TargetMillis: 120,
				Services: []turmericwall.WeightedService{{Service: "plain", Weight: 1}},
			},
			{
				Name: "model", Host: "h", Prefix: "/m/", Kind: turmericwall.CallStream, MaxUpstreams: 1, TimeoutMillis: 2000,
				TargetMillis: 1000, ForModelEngine: true, EventGapMillis: 300,
				Services: []turmericwall.WeightedService{{Service: "engines", Weight: 1}},
			},
			{
				Name: "resume", Host: "h", Prefix: "/r/", Kind: turmericwall.CallStream, MaxUpstreams: 2, TimeoutMillis: 6000,
				TargetMillis: 1000, ForModelEngine: true, EventGapMillis: 300, Resumable: true,
				Services: []turmericwall.WeightedService{{Service: "engines", Weight: 1}},
			},
			{
				Name: "empty", Host: "h", Prefix: "/e/", Kind: kind, TimeoutMillis: 900,
				Services: []turmericwall.WeightedService{{Service: "none", Weight: 1}},
			},
		},
		Services: []turmericwall.ServicePlan{
			{Name: "plain", MaxConnections: 10},
			{Name: "none", MaxConnections: 10},
			{Name: "engines", MaxConnections: 10, Engine: &turmericwall.EnginePlan{
				Slots: 4, MemoryTokens: 50_000, TokensPerEvent: 50, MaxReservationMillis: 2000,
			}},
		},
		Limits: turmericwall.CallerLimits{MaxBodyBytes: 1000},
	})
	s.view.ApplyListing(time.Now(), 1, []turmericwall.Upstream{
		{ID: "a", Service: "plain", Slots: 4},
		{ID: "b", Service: "plain", Slots: 4},
		{ID: "c", Service: "plain", Slots: 4},
		engine("p1", turmericwall.RolePrefill), engine("d1", turmericwall.RoleDecode), engine("d2", turmericwall.RoleDecode),
	})
	s.quarantine = twquarantine.New(twquarantine.Config{
		Self:   func() turmericwall.Member { return turmericwall.Member{} },
		Leader: func() (turmericwall.Member, bool, bool) { return turmericwall.Member{}, true, true }, OnChange: func() {},
		Recorder: tweventlog.New(tweventlog.Config{Output: s.log}), Now: time.Now,
	})
	s.retries = twretries.New(twretries.Config{Ratio: 0.2, Slack: s.slack, WindowMillis: 10_000})
	s.picker = twpicker.New(twpicker.Config{})
	s.limiter = twconcurrency.New(twconcurrency.Config{
		TargetMillis: func(string) int64 { return 120 }, Random: func() float64 { return s.credit },
	})
	s.config = twrelay.Config{
		Routes: routes, View: s.view, Upstreams: s.upstreams, Picker: s.picker, Placer: s.placer,
		Limiter: s.limiter, LimitsPlainServices: true,
		Matcher:       twmatcher.New(twmatcher.Config{Routes: routes, Proof: s.proof}),
		Throttle:      s.throttle,
		Retries:       s.retries,
		Authenticator: twauthenticator.New(twauthenticator.Config{Routes: routes, Proof: s.proof}),
		Recorder:      tweventlog.New(tweventlog.Config{Output: s.log}), Daemons: func() int { return 1 }, Daemon: "me",
		Streams: s.streams,
		AwaitStart: func(ctx context.Context, id string, describe func() twreadiness.Call) error {
			if s.awaitStart == nil {
				return nil
			}
			return s.awaitStart(ctx, id, describe)
		},
		CheckEnd: func(_ context.Context, run twendcheck.Run) twendcheck.Finding {
			s.checks.Add(1)
			found := twendcheck.Finding{Incarnation: run.Upstream.Key(), Result: turmericwall.EndResult(s.found.Load())}
			if found.Result == turmericwall.EndProved {
				found.Proof = twrunend.ProofReplaced
			}
			return found
		},
		Quarantine:    s.quarantine,
		FlushEvidence: func(context.Context) { s.flushes.Add(1) },
		Observe:       func(o twrelay.Outcome) { s.outcomes = append(s.outcomes, o) },
		Drain:         s.drain,
	}
	s.relay = twrelay.New(s.config)
	return s
}

func engine(id string, role turmericwall.Role) turmericwall.Upstream {
	return turmericwall.Upstream{ID: id, Service: "engines", Address: id + ":1", Slots: 4, Role: role, Version: "v1"}
}

func (s *fixture) serve(ctx context.Context, path string) (*httptest.ResponseRecorder, error) {
	return s.serveWithin(ctx, path, time.Second)
}

// serveWithin serves a call whose caller waits for the span.
func (s *fixture) serveWithin(ctx context.Context, path string, span time.Duration) (*httptest.ResponseRecorder, error) {
	now := time.Now()
	w := httptest.NewRecorder()
	err := s.relay.Serve(ctx, w, turmericwall.RoutedCall{
		ID: "id1", Host: "h", Method: http.MethodPost, Target: path, Path: path, ReceivedAt: now,
		Deadline: now.Add(span), LastEvent: s.lastEvent, Resumes: s.resumes,
		Work: turmericwall.ModelWork{PromptTokens: 5000, HintTokens: 3000, MaxTokens: 6500},
	})
	return w, err
}

func answer(status int, body string) *turmericwall.Answer {
	return &turmericwall.Answer{
		Status: status, Length: int64(len(body)), Header: http.Header{"X-Server-Signature": {"sig"}},
		Body: io.NopCloser(strings.NewReader(body)),
	}
}

// brokenBody returns its bytes and then the error.
type brokenBody struct {
	from *bytes.Reader
	err  error
}

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err == io.EOF {
		return n, b.err
	}
	return n, err
}

func (brokenBody) Close() error { return nil }

func brokenAnswer(body string, err error) *turmericwall.Answer {
	return &turmericwall.Answer{
		Status: 200, Length: -1, Header: http.Header{},
		Body: brokenBody{bytes.NewReader([]byte(body)), err},
	}
}

func notRunError() error {
	return &turmericwall.SendError{Sent: true, NotRun: true, Status: 503, Err: errors.New("full")}
}
