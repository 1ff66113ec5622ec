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
	brokenOff := failed(turmericwall.SendError{Sent: true})
	for name, test := range map[string]struct {
		errs []error
		want bool
	}{
		"answers":                              {[]error{nil}, false},
		"refuses":                              {[]error{failed(turmericwall.SendError{ConnectFailed: true})}, true},
		"another incarnation answers":          {[]error{failed(turmericwall.SendError{Sent: true, Status: 421, IncarnationReplaced: true})}, true},
		"answers with a failure":               {[]error{failed(turmericwall.SendError{Sent: true, Status: 500})}, false},
		"no free connection":                   {[]error{failed(turmericwall.SendError{})}, false},
		"this daemon has no path":              {[]error{failed(turmericwall.SendError{ConnectFailed: true, PathLost: true})}, false},
		"answers on a new connection":          {[]error{brokenOff, nil}, false},
		"closes each connection":               {[]error{brokenOff, brokenOff}, true},
		"refuses, after a connection was open": {[]error{brokenOff, failed(turmericwall.SendError{ConnectFailed: true})}, true},
	} {
		t.Run(name, func(t *testing.T) {
			queries := 0
			checker := twendcheck.New(twendcheck.Config{Query: func(context.Context, turmericwall.Upstream) error {
				queries++
				return test.errs[queries-1]
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
