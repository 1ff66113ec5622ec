package twendcheck_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
)

func TestOnlyUpstreamsThatAnswerNobodyHaveEnded(t *testing.T) {
	failed := func(e turmericwall.SendError) error {
		e.Err = errors.New("failed")
		return &e
	}
	reached := []error{failed(turmericwall.SendError{ConnectFailed: true}), nil}
	brokenOff := failed(turmericwall.SendError{Sent: true})
	for name, test := range map[string]struct {
		errs []error
		want bool
		// others are the errors of the other upstreams.
		others []error
	}{
		"answers":                              {[]error{nil}, false, reached},
		"refuses":                              {[]error{failed(turmericwall.SendError{ConnectFailed: true})}, true, reached},
		"another incarnation answers":          {[]error{failed(turmericwall.SendError{Sent: true, Status: 421, IncarnationReplaced: true})}, true, reached},
		"answers with a failure":               {[]error{failed(turmericwall.SendError{Sent: true, Status: 500})}, false, reached},
		"no free connection":                   {[]error{failed(turmericwall.SendError{})}, false, reached},
		"this daemon has no path":              {[]error{failed(turmericwall.SendError{ConnectFailed: true, PathLost: true})}, false, reached},
		"answers on a new connection":          {[]error{brokenOff, nil}, false, reached},
		"closes each connection":               {[]error{brokenOff, brokenOff}, true, reached},
		"nobody answers this daemon":           {[]error{brokenOff, brokenOff}, false, []error{brokenOff, brokenOff}},
		"refuses, after a connection was open": {[]error{brokenOff, failed(turmericwall.SendError{ConnectFailed: true})}, true, reached},
	} {
		t.Run(name, func(t *testing.T) {
			queries := 0
			checker := twendcheck.New(twendcheck.Config{Query: func(context.Context, turmericwall.Upstream) error {
				queries++
				return test.errs[queries-1]
			}, Others: func(turmericwall.Upstream) []turmericwall.Upstream {
				return make([]turmericwall.Upstream, len(test.others))
			}, QueryDirect: func(context.Context, turmericwall.Upstream) error {
				err := test.others[0]
				test.others = test.others[1:]
				return err
			}})
			got := checker.HasEnded(context.Background(), turmericwall.Upstream{ID: "u"})
			NewWithT(t).Expect(got).To(Equal(test.want))
		})
	}
}

// Guards against a query for each of the answers that break with their upstream.
func TestAnswersThatBreakTogetherShareACheck(t *testing.T) {
	g := NewWithT(t)
	var queries atomic.Int64
	checker := twendcheck.New(twendcheck.Config{
		Query: func(context.Context, turmericwall.Upstream) error {
			queries.Add(1)
			return &turmericwall.SendError{ConnectFailed: true, Err: errors.New("refused")}
		},
		Others:      func(turmericwall.Upstream) []turmericwall.Upstream { return make([]turmericwall.Upstream, 1) },
		QueryDirect: func(context.Context, turmericwall.Upstream) error { return nil },
	})
	var answers sync.WaitGroup
	var ended atomic.Int64
	for range 20 {
		answers.Go(func() {
			if checker.HasEnded(context.Background(), turmericwall.Upstream{ID: "u", StartedMillis: 1}) {
				ended.Add(1)
			}
		})
	}
	answers.Wait()
	g.Expect(ended.Load()).To(BeEquivalentTo(20))
	g.Expect(queries.Load()).To(BeEquivalentTo(1))
	checker.HasEnded(context.Background(), turmericwall.Upstream{ID: "u", StartedMillis: 2})
	g.Expect(queries.Load()).To(BeEquivalentTo(2), "the next incarnation is checked by itself")
}
