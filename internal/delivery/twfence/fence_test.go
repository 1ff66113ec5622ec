package twfence_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twfence"
	"github.com/turmericwall/turmericwall/internal/delivery/twrunend"
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

// prove proves the end of a run that had begun and whose engine, which has lost all its connections, gives the answers, one after the
// other.
func prove(answers ...stopResult) (proof twrunend.Proof, targets []string, dropped int, err error) {
	return proveWithin(500*time.Millisecond, fixture{begun: true, states: turmericwall.ConnectionStates{Broken: 2}}, answers...)
}

// fixture is what is known of a run and its engine beside the engine's answers.
type fixture struct {
	begun, shared bool
	states        turmericwall.ConnectionStates
	// found is what the engine's start proves.
	found twrunend.Proof
}

// proveWithin is prove for a run of which that is known, for the span at most.
func proveWithin(span time.Duration, f fixture, answers ...stopResult) (proof twrunend.Proof, targets []string, dropped int, err error) {
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
		CheckEnd: func(context.Context, twendcheck.Run) twendcheck.Finding { return twendcheck.Finding{Proof: f.found} },
		Connections: func(turmericwall.Upstream, string, time.Time) turmericwall.ConnectionStates {
			return f.states
		},
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
	})
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	proof, err = fence.Prove(ctx, twfence.Run{
		Engine: turmericwall.Upstream{ID: "d1"}, CallID: "call", SentAt: time.Now(), HasBegun: f.begun, IsShared: f.shared,
	})
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
		want    twrunend.Proof
		targets []string
		dropped int
	}{
		{"stopped", []stopResult{{export: turmericwall.EngineExport{Handle: "h"}}}, twrunend.ProofStopped, []string{"d2"}, 1},
		{
			"a connection that breaks, a target without room, nobody listens, then stopped",
			[]stopResult{
				unanswered, refused(turmericwall.SendError{Sent: true, NotRun: true, Status: 503}),
				refused(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)}),
				{export: turmericwall.EngineExport{Handle: "h"}},
			},
			twrunend.ProofStopped,
			[]string{"d2", "d3", "d2", "d3"},
			1,
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

// Guards against an engine that is unreachable and counts as ended, or counts as unreachable because one packet was lost, and against a stream
// that waits for one that stays so.
func TestEngineIsUnreachableOnlyAfterAWhile(t *testing.T) {
	unconnected := refused(turmericwall.SendError{ConnectFailed: true})
	t.Run("stays so", func(t *testing.T) {
		g := NewWithT(t)
		beganAt := time.Now()
		proof, targets, _, err := proveWithin(5*time.Second, fixture{begun: true, states: turmericwall.ConnectionStates{Open: 1}}, unconnected)
		g.Expect(err).To(And(MatchError(twfence.ErrUnproved), MatchError(twfence.ErrUnreachable)))
		g.Expect(proof).To(BeEmpty())
		g.Expect(len(targets)).To(BeNumerically(">=", 3))
		g.Expect(time.Since(beganAt)).To(And(BeNumerically(">=", 700*time.Millisecond), BeNumerically("<", 2*time.Second)))
	})
	t.Run("answers again", func(t *testing.T) {
		g := NewWithT(t)
		proof, _, _, err := proveWithin(5*time.Second, fixture{begun: true}, unconnected, unconnected, unconnected, stopResult{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proof).To(Equal(twrunend.ProofStopped))
	})
}

// Guards against an engine that counts as replaced since it refused an order as one for another engine, as while it changes its role.
func TestOnlyAnotherStartShowsThatAnEngineWasReplaced(t *testing.T) {
	misdirected := refused(turmericwall.SendError{Sent: true, NotRun: true, Status: 421, IncarnationReplaced: true})
	for name, found := range map[string]twrunend.Proof{"another start": twrunend.ProofReplaced, "the same start": ""} {
		t.Run(name, func(t *testing.T) {
			proof, _, _, _ := proveWithin(200*time.Millisecond, fixture{begun: true, found: found}, misdirected)
			NewWithT(t).Expect(proof).To(Equal(found))
		})
	}
}

// Guards against a run that was preempted, counts as ended, and goes on later.
func TestRunThatItsEngineDoesNotHaveNowHasNotEnded(t *testing.T) {
	absent := refused(turmericwall.SendError{Sent: true, NotRun: true, Status: 404})
	for _, c := range []struct {
		name  string
		found twrunend.Proof
	}{{"the same start", ""}, {"another start", twrunend.ProofReplaced}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			proof, targets, _, err := proveWithin(5*time.Second, fixture{begun: true, found: c.found}, absent)
			g.Expect(proof).To(Equal(c.found))
			g.Expect(targets).To(HaveLen(1), "it may go on at its engine at once")
			if c.found == "" {
				g.Expect(err).To(And(MatchError(twfence.ErrUnproved), MatchError(twfence.ErrAbsent)))
			}
		})
	}
}

// Guards against an order that stopped an earlier run of the call at the same engine, and counts as the end of the later one.
func TestOrderProvesNoEndWhereTwoRunsMayWork(t *testing.T) {
	g := NewWithT(t)
	stopped := stopResult{export: turmericwall.EngineExport{Handle: "h"}}
	absent := refused(turmericwall.SendError{Sent: true, NotRun: true, Status: 404})
	proof, targets, dropped, err := proveWithin(time.Second, fixture{begun: true, shared: true}, stopped, absent)
	g.Expect(err).To(MatchError(twfence.ErrAbsent))
	g.Expect(proof).To(BeEmpty())
	g.Expect(targets).To(HaveLen(2))
	g.Expect(dropped).To(Equal(1))
}

// Guards against an engine that counts as ended since it refuses connections, whatever became of those that were open, or has a full
// queue of them.
func TestEngineWithOpenConnectionsHasNotEnded(t *testing.T) {
	refusal := refused(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)})
	for _, c := range []struct {
		name   string
		f      fixture
		answer stopResult
		// unreachable is set if the engine's machine acknowledges nothing.
		unreachable bool
	}{
		{"refuses, another connection is open", fixture{states: turmericwall.ConnectionStates{Open: 1, Broken: 2}}, refusal, false},
		{"refuses, all other answers were lost", fixture{states: turmericwall.ConnectionStates{Broken: 9}}, refusal, false},
		{"refuses, idle connections closed", fixture{states: turmericwall.ConnectionStates{Closed: 2}}, refusal, false},
		{"refuses, all connections ended", fixture{states: turmericwall.ConnectionStates{Broken: 9, Closed: 9}}, refusal, false},
		{"refuses for long, no other connection", fixture{}, refusal, false},
		{"unconnected for long, no other connection", fixture{}, refused(turmericwall.SendError{ConnectFailed: true}), false},
		{"unconnected, its machine is heard", fixture{states: turmericwall.ConnectionStates{Open: 1, Heard: true}}, refused(turmericwall.SendError{ConnectFailed: true}), false},
		{"unconnected, its machine isn't heard, as the daemon has lost its path", fixture{states: turmericwall.ConnectionStates{Open: 1}}, refused(turmericwall.SendError{ConnectFailed: true, PathLost: true}), false},
		{"unconnected, its machine isn't heard", fixture{states: turmericwall.ConnectionStates{Open: 1}}, refused(turmericwall.SendError{ConnectFailed: true}), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.f.begun = true
			g, beganAt := NewWithT(t), time.Now()
			proof, _, _, err := proveWithin(5*time.Second, c.f, c.answer)
			g.Expect(proof).To(BeEmpty())
			g.Expect(errors.Is(err, twfence.ErrUnreachable)).To(Equal(c.unreachable))
			g.Expect(time.Since(beganAt)).To(BeNumerically("<", 3*time.Second), "its caller can take it up elsewhere")
		})
	}
}

// Guards against a caller that waits for an engine which has most likely ended, and could take its stream up elsewhere.
func TestCallerOfAnEngineThatRefusesConnectionsIsFreeSoon(t *testing.T) {
	g, beganAt := NewWithT(t), time.Now()
	refusal := refused(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(time.Minute)})
	_, targets, _, err := proveWithin(5*time.Second, fixture{begun: true, states: turmericwall.ConnectionStates{Broken: 3}}, refusal)
	g.Expect(err).To(And(MatchError(twfence.ErrUnproved), Not(MatchError(twfence.ErrAbsent))))
	g.Expect(len(targets)).To(BeNumerically(">", 1))
	g.Expect(time.Since(beganAt)).To(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<", time.Second)))
}

// Guards against a stream that is given up early because connections were refused before its run was sent.
func TestRefusalBeforeTheSendFreesNobody(t *testing.T) {
	g, beganAt := NewWithT(t), time.Now()
	before := refused(turmericwall.SendError{ConnectFailed: true, RefusedAt: time.Now().Add(-time.Minute)})
	_, _, _, err := proveWithin(5*time.Second, fixture{begun: true, states: turmericwall.ConnectionStates{Broken: 3}}, before)
	g.Expect(err).To(MatchError(twfence.ErrUnproved))
	g.Expect(time.Since(beganAt)).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 3*time.Second)))
}

// Guards against a call that waits at its engine, counts as ended there, and runs later.
func TestCallThatMayStillBeginHasNotEnded(t *testing.T) {
	absent := refused(turmericwall.SendError{Sent: true, NotRun: true, Status: 404})
	t.Run("until it begins and is stopped", func(t *testing.T) {
		g := NewWithT(t)
		proof, targets, _, err := proveWithin(time.Second, fixture{}, absent, absent, absent, stopResult{export: turmericwall.EngineExport{Handle: "h"}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proof).To(Equal(twrunend.ProofStopped))
		g.Expect(targets).To(HaveLen(4))
	})
	t.Run("if it never begins", func(t *testing.T) {
		g := NewWithT(t)
		beganAt := time.Now()
		proof, _, _, err := proveWithin(5*time.Second, fixture{}, absent)
		g.Expect(err).To(And(MatchError(twfence.ErrUnproved), MatchError(twfence.ErrAbsent)))
		g.Expect(proof).To(BeEmpty())
		g.Expect(time.Since(beganAt)).To(And(BeNumerically(">", 500*time.Millisecond), BeNumerically("<", 2*time.Second)), "it can run there again")
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
