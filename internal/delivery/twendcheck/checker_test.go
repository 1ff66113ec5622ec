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

func TestOnlyUpstreamsThatRefuseConnectionsHaveEnded(t *testing.T) {
	for name, test := range map[string]struct {
		err    error
		cutOff bool
		want   bool
	}{
		"accepts":                {nil, false, false},
		"refuses":                {&turmericwall.SendError{ConnectFailed: true, Err: errors.New("refused")}, false, true},
		"no free connection":     {&turmericwall.SendError{Err: errors.New("all in use")}, false, false},
		"this daemon is cut off": {&turmericwall.SendError{ConnectFailed: true, Err: errors.New("no route")}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			checker := twendcheck.New(twendcheck.Config{
				Connect:  func(context.Context, turmericwall.Upstream) error { return test.err },
				IsCutOff: func(string) bool { return test.cutOff },
			})
			got := checker.HasEnded(context.Background(), turmericwall.Upstream{ID: "u"})
			NewWithT(t).Expect(got).To(Equal(test.want))
		})
	}
}

// Guards against a connection for each of the answers that break with their upstream.
func TestAnswersThatBreakTogetherShareACheck(t *testing.T) {
	g := NewWithT(t)
	var connects atomic.Int64
	checker := twendcheck.New(twendcheck.Config{
		Connect: func(context.Context, turmericwall.Upstream) error {
			connects.Add(1)
			return &turmericwall.SendError{ConnectFailed: true, Err: errors.New("refused")}
		},
		IsCutOff: func(string) bool { return false },
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
	g.Expect(connects.Load()).To(BeEquivalentTo(1))
	checker.HasEnded(context.Background(), turmericwall.Upstream{ID: "u", StartedMillis: 2})
	g.Expect(connects.Load()).To(BeEquivalentTo(2), "the next incarnation is checked by itself")
}
