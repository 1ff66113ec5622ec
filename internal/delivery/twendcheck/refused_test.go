package twendcheck_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
)

// Guards against a run that counts as ended because its upstream refuses connections, whatever became of those that were open.
func TestRefusedQueryProvesNoEndOfARun(t *testing.T) {
	for _, states := range []turmericwall.ConnectionStates{{}, {Broken: 9}, {Closed: 9}, {Broken: 9, Closed: 9}, {Open: 1, Broken: 9}} {
		checker := twendcheck.New(twendcheck.Config{
			Query: func(context.Context, turmericwall.Upstream) (int64, error) {
				return 0, failed(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)})
			},
			Others:      func(turmericwall.Upstream) []turmericwall.Upstream { return make([]turmericwall.Upstream, 1) },
			QueryDirect: func(context.Context, turmericwall.Upstream) error { return nil },
			Connections: func(turmericwall.Upstream, string, time.Time) turmericwall.ConnectionStates { return states },
		})
		found := checker.Check(context.Background(), broken())
		g := NewWithT(t)
		g.Expect(found.Evidence).To(Equal(twendcheck.EvidenceRefused))
		g.Expect(found.Proof).To(Equal(twrunend.Proof("")), "%+v", states)
	}
}
