package twgate_test

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twgate"
	"github.com/turmericwall/turmericwall/internal/admission/twreadiness"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
)

func newGate() *twgate.Gate {
	return twgate.New(twgate.Config{
		StartedAt: time.Now(), MaxWaiting: 8, Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}),
		Count: func(string, int64) {}, Observe: func(string, int64) {},
	})
}

func learnAll(gate *twgate.Gate) {
	for item := range twreadiness.Items {
		gate.RecordKnown(item)
	}
}

// await starts a call whose target is the given span away, and returns the channel of its result.
func await(ctx context.Context, gate *twgate.Gate, target time.Duration) <-chan error {
	now, result := time.Now(), make(chan error, 1)
	go func() {
		result <- gate.Await(ctx, "id", func() twreadiness.Call {
			return twreadiness.Call{ReceivedAt: now, TargetAt: now.Add(target), Deadline: now.Add(10 * target)}
		})
	}()
	return result
}

// Guards against waiting calls that are not served at once when all is known, that outlast their target, their caller or the daemon,
// and against places that they keep.
func TestWaitingCallEnds(t *testing.T) {
	background := context.Background()
	t.Run("known", func(t *testing.T) {
		g := NewWithT(t)
		gate := newGate()
		result := await(background, gate, 20*time.Second)
		g.Eventually(gate.Waiting).Should(BeEquivalentTo(1))
		g.Expect(gate.Missing()).To(Equal([]string{"routes", "upstreams", "evidence", "leader"}))
		learnAll(gate)
		g.Eventually(result).Should(Receive(BeNil()))
		g.Expect(gate.IsOpen()).To(BeTrue())
		g.Expect(gate.Waiting()).To(BeZero())
		g.Expect(gate.KnownMillis(twreadiness.ItemLeader)).To(BeNumerically(">=", 0))
	})
	t.Run("target", func(t *testing.T) {
		g := NewWithT(t)
		gate := newGate()
		var err error
		g.Eventually(await(background, gate, 80*time.Millisecond)).Should(Receive(&err))
		g.Expect(turmericwall.IsKind(err, turmericwall.KindNotReady)).To(BeTrue())
		g.Expect(gate.Waiting()).To(BeZero())
	})
	t.Run("caller", func(t *testing.T) {
		g := NewWithT(t)
		gate := newGate()
		ctx, leave := context.WithCancel(background)
		result := await(ctx, gate, 20*time.Second)
		g.Eventually(gate.Waiting).Should(BeEquivalentTo(1))
		leave()
		g.Eventually(result).Should(Receive(MatchError(context.Canceled)))
		g.Expect(gate.Waiting()).To(BeZero())
	})
	t.Run("daemon", func(t *testing.T) {
		g := NewWithT(t)
		gate := newGate()
		result := await(background, gate, 20*time.Second)
		g.Eventually(gate.Waiting).Should(BeEquivalentTo(1))
		gate.Stop()
		var err error
		g.Eventually(result).Should(Receive(&err))
		g.Expect(turmericwall.IsKind(err, turmericwall.KindNotReady)).To(BeTrue())
		g.Eventually(await(background, gate, time.Second)).Should(Receive(HaveOccurred()), "a call that arrives later doesn't wait")
	})
}
