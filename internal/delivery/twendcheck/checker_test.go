package twendcheck_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

// upstream is listed with a start of 1.
var upstream = turmericwall.Upstream{ID: "u", StartedMillis: 1}

// queryFunc answers a query with the start that the upstream states.
type queryFunc func(ctx context.Context) (int64, error)

// newChecker returns a checker whose queries are answered by the function, and those of other upstreams with the error.
func newChecker(query queryFunc, control error) *twendcheck.Checker {
	return twendcheck.New(twendcheck.Config{
		Query:       func(ctx context.Context, _ turmericwall.Upstream) (int64, error) { return query(ctx) },
		Others:      func(turmericwall.Upstream) []turmericwall.Upstream { return make([]turmericwall.Upstream, 2) },
		QueryDirect: func(context.Context, turmericwall.Upstream) error { return control },
	})
}

// broken returns a run that broke off now.
func broken() twendcheck.Run {
	return twendcheck.Run{Upstream: upstream, SentAt: time.Now().Add(-time.Second), BrokenAt: time.Now()}
}

func failed(e turmericwall.SendError) error {
	e.Err = errors.New("failed")
	return &e
}

func TestCheckTellsEndedFromAliveAndUnknown(t *testing.T) {
	refused, brokenOff := failed(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)}), failed(turmericwall.SendError{Sent: true})
	unconnected := failed(turmericwall.SendError{ConnectFailed: true})
	refusedBefore := failed(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(-time.Minute)})
	endless := &turmericwall.SendError{Sent: true, Err: &turmericwall.LimitError{Limit: turmericwall.LimitHeadBytes}}
	for name, test := range map[string]struct {
		started int64
		errs    []error
		control error
		want    turmericwall.EndResult
	}{
		"answers":                              {1, []error{nil}, nil, turmericwall.EndRefuted},
		"states another start":                 {2, []error{nil}, nil, turmericwall.EndProved},
		"states no start":                      {0, []error{nil}, nil, turmericwall.EndUnknown},
		"answers with a failure":               {0, []error{failed(turmericwall.SendError{Sent: true, Status: 500})}, nil, turmericwall.EndUnknown},
		"refuses":                              {0, []error{refused}, nil, turmericwall.EndProved},
		"refused before the run was sent":      {0, []error{refusedBefore}, nil, turmericwall.EndUnknown},
		"accepts no connection in time":        {0, []error{unconnected}, nil, turmericwall.EndUnknown},
		"another upstream answers":             {0, []error{failed(turmericwall.SendError{Sent: true, Status: 421, IncarnationReplaced: true})}, nil, turmericwall.EndProved},
		"no free connection":                   {0, []error{failed(turmericwall.SendError{})}, nil, turmericwall.EndUnknown},
		"this daemon has no path":              {0, []error{failed(turmericwall.SendError{ConnectFailed: true, PathLost: true})}, nil, turmericwall.EndUnknown},
		"answers on a new connection":          {1, []error{brokenOff, nil}, nil, turmericwall.EndRefuted},
		"resets each connection":               {0, []error{brokenOff}, nil, turmericwall.EndUnknown},
		"resets some connections":              {1, []error{brokenOff, brokenOff, brokenOff, nil}, nil, turmericwall.EndRefuted},
		"resets connections, then refuses":     {0, []error{brokenOff, brokenOff, refused}, nil, turmericwall.EndProved},
		"nobody answers this daemon":           {0, []error{brokenOff, brokenOff}, brokenOff, turmericwall.EndUnknown},
		"refuses, nobody answers this daemon":  {0, []error{refused}, brokenOff, turmericwall.EndUnknown},
		"answers without end":                  {0, []error{endless}, nil, turmericwall.EndUnknown},
		"refuses, after a connection was open": {0, []error{brokenOff, refused}, nil, turmericwall.EndProved},
	} {
		t.Run(name, func(t *testing.T) {
			queries := 0
			checker := newChecker(func(context.Context) (int64, error) {
				queries++
				return test.started, test.errs[min(queries, len(test.errs))-1]
			}, test.control)
			NewWithT(t).Expect(checker.Check(context.Background(), broken()).Result).To(Equal(test.want))
		})
	}
}

// Guards against a run that counts as ended because nobody listens at its upstream's address, where it may work on.
func TestOnlyAnotherIncarnationProvesTheEndOfARun(t *testing.T) {
	for name, test := range map[string]struct {
		started int64
		err     error
		want    twrunend.Proof
	}{
		"refuses":                  {0, failed(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)}), ""},
		"another upstream answers": {0, failed(turmericwall.SendError{Sent: true, Status: 421, IncarnationReplaced: true}), twrunend.ProofReplaced},
		"states another start, as may the one that got the run": {2, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			found := newChecker(func(context.Context) (int64, error) { return test.started, test.err }, nil).Check(context.Background(), broken())
			g.Expect(found.Result).To(Equal(turmericwall.EndProved), "as evidence on the input")
			g.Expect(found.Proof).To(Equal(test.want))
		})
	}
}

// Guards against a query for each of the answers that break with their upstream.
func TestRunsThatBreakTogetherShareACheck(t *testing.T) {
	g := NewWithT(t)
	var queries atomic.Int64
	checker := newChecker(func(context.Context) (int64, error) {
		queries.Add(1)
		time.Sleep(20 * time.Millisecond)
		return 0, failed(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)})
	}, nil)
	var answers sync.WaitGroup
	var ended atomic.Int64
	for range 20 {
		answers.Go(func() {
			if checker.Check(context.Background(), broken()).Result == turmericwall.EndProved {
				ended.Add(1)
			}
		})
	}
	answers.Wait()
	g.Expect(ended.Load()).To(BeEquivalentTo(20))
	g.Expect(queries.Load()).To(BeNumerically("<=", 2))
}

// Guards against an engine that broke one answer off, and then ended under another run while the first result still held.
func TestResultOfAnEarlierQuerySaysNothingAboutALaterRun(t *testing.T) {
	g := NewWithT(t)
	var crashed atomic.Bool
	checker := newChecker(func(context.Context) (int64, error) {
		if crashed.Load() {
			return 0, failed(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)})
		}
		return 1, nil
	}, nil)
	g.Expect(checker.Check(context.Background(), broken()).Result).To(Equal(turmericwall.EndRefuted))
	crashed.Store(true)
	g.Expect(checker.Check(context.Background(), broken()).Result).To(Equal(turmericwall.EndProved))
}

// Guards against an upstream whose entry lags after it has started again: a run that it breaks off isn't its end, and a further
// start is.
func TestRunBelongsToTheIncarnationSeenBeforeIt(t *testing.T) {
	g := NewWithT(t)
	started := int64(2)
	checker := newChecker(func(context.Context) (int64, error) { return started, nil }, nil)
	g.Expect(checker.Check(context.Background(), broken())).To(Equal(twendcheck.Finding{
		Incarnation: turmericwall.UpstreamKey{ID: "u", StartedMillis: 1}, Result: turmericwall.EndProved, Answered: true, Evidence: twendcheck.EvidenceAnswer,
	}))
	later := func() twendcheck.Run {
		return twendcheck.Run{Upstream: upstream, SentAt: time.Now(), BrokenAt: time.Now()}
	}
	earlier, onItsWay := later(), later()
	earlier.BegunAt = time.Now()
	g.Expect(checker.Check(context.Background(), later()).Result).To(Equal(turmericwall.EndRefuted))
	started = 3
	afterSighting := later()
	g.Expect(checker.Check(context.Background(), afterSighting)).To(Equal(twendcheck.Finding{
		Incarnation: turmericwall.UpstreamKey{ID: "u", StartedMillis: 2}, Result: turmericwall.EndProved, Answered: true, Evidence: twendcheck.EvidenceAnswer,
	}), "the run may have been sent to the third one")
	earlier.BrokenAt = time.Now()
	g.Expect(checker.Check(context.Background(), earlier)).To(Equal(twendcheck.Finding{
		Incarnation: turmericwall.UpstreamKey{ID: "u", StartedMillis: 2}, Result: turmericwall.EndProved, Answered: true, Evidence: twendcheck.EvidenceAnswer,
		Proof: twrunend.ProofReplaced,
	}), "the second one answered after the run had begun")
	onItsWay.BrokenAt = time.Now()
	g.Expect(checker.Check(context.Background(), onItsWay).Proof).To(BeEmpty(), "the run may have reached the third one only")
}

// Guards against a check that ends with the call that asked for it, or that takes a silent upstream for a living one.
func TestSilentUpstreamIsUnknown(t *testing.T) {
	g := NewWithT(t)
	checker := newChecker(func(ctx context.Context) (int64, error) {
		<-ctx.Done()
		return 0, failed(turmericwall.SendError{Sent: true})
	}, nil)
	g.Expect(checker.Check(context.Background(), broken()).Result).To(Equal(turmericwall.EndUnknown))
	left, leave := context.WithCancel(context.Background())
	leave()
	g.Expect(checker.Check(left, broken()).Result).To(Equal(turmericwall.EndUnknown))
}
