package twfence_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

// stopResult is an engine's answer to an order to stop a run.
type stopResult struct {
	export turmericwall.EngineExport
	err    error
	// hangs is set if there is no answer.
	hangs bool
}

func refused(sent turmericwall.SendError) stopResult {
	sent.Err = errors.New("refused")
	return stopResult{err: &sent}
}

// prove proves the end of a run that had begun and whose engine gives the answers, one after the other.
func prove(answers ...stopResult) (proof twfence.Proof, targets []string, dropped int, err error) {
	return proveWithin(200*time.Millisecond, true, answers...)
}

// proveWithin is prove for a run that may not have begun, for the span at most.
func proveWithin(span time.Duration, begun bool, answers ...stopResult) (proof twfence.Proof, targets []string, dropped int, err error) {
	drops := make(chan string, 1)
	fence := twfence.New(twfence.Config{
		Stop: func(ctx context.Context, _, to turmericwall.Upstream, _ string) (turmericwall.EngineExport, bool, error) {
			targets = append(targets, to.ID)
			answer := answers[min(len(targets), len(answers))-1]
			if answer.hangs {
				<-ctx.Done()
				return answer.export, false, &turmericwall.SendError{Sent: true, Err: ctx.Err()}
			}
			return answer.export, false, answer.err
		},
		Drop: func(_ context.Context, _ turmericwall.Upstream, export turmericwall.EngineExport) error {
			drops <- export.Handle
			return nil
		},
		Others: func(turmericwall.Upstream) []turmericwall.Upstream {
			return []turmericwall.Upstream{{ID: "d2"}, {ID: "d3"}}
		},
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	proof, err = fence.Prove(ctx, twfence.Run{Engine: turmericwall.Upstream{ID: "d1"}, CallID: "call", SentAt: time.Now(), HasBegun: begun})
	select {
	case <-drops:
		dropped++
	case <-time.After(20 * time.Millisecond):
	}
	return proof, targets, dropped, err
}

// Guards against a run that counts as ended although its engine may work on.
func TestEndOfRunIsProvedByItsEngineOnly(t *testing.T) {
	unanswered := refused(turmericwall.SendError{Sent: true})
	for _, c := range []struct {
		name    string
		answers []stopResult
		want    twfence.Proof
		targets []string
		dropped int
	}{
		{"stopped", []stopResult{{export: turmericwall.EngineExport{Handle: "h"}}}, twfence.ProofStopped, []string{"d2"}, 1},
		{"no such run", []stopResult{refused(turmericwall.SendError{Sent: true, NotRun: true, Status: 404})}, twfence.ProofNotRunning, []string{"d2"}, 0},
		{"another incarnation", []stopResult{refused(turmericwall.SendError{Sent: true, Status: 421, IncarnationReplaced: true})}, twfence.ProofReplaced, []string{"d2"}, 0},
		{"nobody listens", []stopResult{refused(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)})}, twfence.ProofRefused, []string{"d2"}, 0},
		{
			"a connection that breaks, a target without room, then nobody listens",
			[]stopResult{
				unanswered, refused(turmericwall.SendError{Sent: true, NotRun: true, Status: 503}),
				refused(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)}),
			},
			twfence.ProofRefused,
			[]string{"d2", "d3", "d2"},
			0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			proof, targets, dropped, err := prove(c.answers...)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(proof).To(Equal(c.want))
			g.Expect(targets).To(Equal(c.targets))
			g.Expect(dropped).To(Equal(c.dropped))
		})
	}
}

// Guards against an engine that counts as unreachable because one packet was lost, and against a stream that waits for one that
// stays unreachable.
func TestEngineIsUnreachableOnlyAfterAWhile(t *testing.T) {
	unconnected := refused(turmericwall.SendError{ConnectFailed: true})
	t.Run("stays so", func(t *testing.T) {
		g := NewWithT(t)
		beganAt := time.Now()
		proof, targets, _, err := proveWithin(5*time.Second, true, unconnected)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proof).To(Equal(twfence.ProofUnreachable))
		g.Expect(len(targets)).To(BeNumerically(">=", 3))
		g.Expect(time.Since(beganAt)).To(And(BeNumerically(">=", 700*time.Millisecond), BeNumerically("<", 2*time.Second)))
	})
	t.Run("answers again", func(t *testing.T) {
		g := NewWithT(t)
		proof, _, _, err := proveWithin(5*time.Second, true, unconnected, unconnected, unconnected, stopResult{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proof).To(Equal(twfence.ProofStopped))
	})
}

// Guards against a call that waits at its engine, counts as ended there, and runs later.
func TestCallThatMayStillBeginHasNotEnded(t *testing.T) {
	absent := refused(turmericwall.SendError{Sent: true, NotRun: true, Status: 404})
	t.Run("until it begins and is stopped", func(t *testing.T) {
		g := NewWithT(t)
		proof, targets, _, err := proveWithin(time.Second, false, absent, absent, absent, stopResult{export: turmericwall.EngineExport{Handle: "h"}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proof).To(Equal(twfence.ProofStopped))
		g.Expect(targets).To(HaveLen(4))
	})
	t.Run("if it never begins", func(t *testing.T) {
		g := NewWithT(t)
		beganAt := time.Now()
		proof, _, _, err := proveWithin(5*time.Second, false, absent)
		g.Expect(err).To(MatchError(twfence.ErrUnproved))
		g.Expect(proof).To(BeEmpty())
		g.Expect(time.Since(beganAt)).To(BeNumerically("<", 2*time.Second), "its caller can try again")
	})
}

// Guards against a run that goes on elsewhere while the process of its engine stands still, is busy, or has no share of
// connections left.
func TestEndOfRunStaysUnprovedWithoutAnswer(t *testing.T) {
	for name, answer := range map[string]stopResult{
		"no answer":                 {hangs: true},
		"a move under way":          refused(turmericwall.SendError{Sent: true, Status: 409}),
		"all connections in use":    refused(turmericwall.SendError{ShareUsed: true}),
		"an answer that broke off":  refused(turmericwall.SendError{Sent: true}),
		"a lost packet":             refused(turmericwall.SendError{ConnectFailed: true}),
		"a refusal before the send": refused(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(-time.Minute)}),
		"a peer that fell silent":   refused(turmericwall.SendError{Sent: true, PathLost: true}),
		"an error of another layer": {err: errors.New("odd")},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			proof, _, _, err := prove(answer)
			g.Expect(err).To(MatchError(twfence.ErrUnproved))
			g.Expect(proof).To(BeEmpty())
		})
	}
}
