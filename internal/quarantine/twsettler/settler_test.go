package twsettler_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/quarantine/twevidence"
	"github.com/turmericwall/turmericwall/internal/quarantine/twsettler"
)

// evidence has one open end, of the incarnation that started at 5.
type evidence struct {
	openedAt time.Time
	settled  turmericwall.EndResult
}

func (e *evidence) OpenEnds() []twevidence.OpenEnd {
	id := twevidence.EndID{Service: "s", Upstream: turmericwall.UpstreamKey{ID: "u", StartedMillis: 5}}
	return []twevidence.OpenEnd{{EndID: id, OpenedAt: e.openedAt}}
}

func (e *evidence) Settle(_ twevidence.EndID, _ time.Time, result turmericwall.EndResult) {
	e.settled = result
}

// Guards against an end that stays open, or is taken for none, although the registry shows the next incarnation.
func TestOpenEndsAreSettledByQueriesAndTheRegistry(t *testing.T) {
	listed := func(startedMillis int64) *turmericwall.Upstream {
		return &turmericwall.Upstream{ID: "u", StartedMillis: startedMillis}
	}
	for name, test := range map[string]struct {
		listed *turmericwall.Upstream
		found  twendcheck.Finding
		age    time.Duration
		want   turmericwall.EndResult
	}{
		"the incarnation answers":                        {listed(5), twendcheck.Finding{Result: turmericwall.EndRefuted}, 0, turmericwall.EndRefuted},
		"another incarnation answers":                    {listed(5), twendcheck.Finding{Result: turmericwall.EndProved}, 0, turmericwall.EndProved},
		"nobody answers":                                 {listed(5), twendcheck.Finding{}, 20 * time.Second, turmericwall.EndUnknown},
		"nobody answers, the entry is another's":         {listed(6), twendcheck.Finding{}, 0, turmericwall.EndProved},
		"the entry was removed":                          {nil, twendcheck.Finding{}, 0, turmericwall.EndProved},
		"an answer without a start":                      {listed(5), twendcheck.Finding{Answered: true}, time.Second, turmericwall.EndUnknown},
		"an answer without a start, the entry is new":    {listed(6), twendcheck.Finding{Answered: true}, 0, turmericwall.EndProved},
		"an answer without a start, the entry is steady": {listed(5), twendcheck.Finding{Answered: true}, 5 * time.Second, turmericwall.EndRefuted},
		"too long ago":                                   {nil, twendcheck.Finding{}, time.Minute, turmericwall.EndUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			e := &evidence{openedAt: time.Now().Add(-test.age)}
			twsettler.New(twsettler.Config{
				Evidence:      e,
				IsResponsible: func() bool { return true },
				Check:         func(context.Context, twendcheck.Run) twendcheck.Finding { return test.found },
				Listed: func(string) (turmericwall.Upstream, bool) {
					if test.listed == nil {
						return turmericwall.Upstream{}, false
					}
					return *test.listed, true
				},
			}).SettleOnce(context.Background())
			NewWithT(t).Expect(e.settled).To(Equal(test.want))
		})
	}
}
