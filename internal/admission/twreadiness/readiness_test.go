package twreadiness_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/admission/twreadiness"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const maxWaiting = 224

func newReadiness() *twreadiness.Readiness {
	return twreadiness.New(twreadiness.Config{StartedAt: start, MaxWaiting: maxWaiting})
}

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// plainCall is a call of the deployments' plain services, read at the time.
func plainCall(millis int) twreadiness.Call {
	return twreadiness.Call{ReceivedAt: at(millis), TargetAt: at(millis + 120), Deadline: at(millis + 600)}
}

func learn(r *twreadiness.Readiness, millis int, items ...twreadiness.Item) {
	for _, item := range items {
		r.RecordKnown(at(millis), item)
	}
}

// Guards against calls that are refused at once after all daemons were killed, and against calls that wait longer than they can be
// answered in time: all callers come back at once, at 6, 82 and 986 daemons, each with a share of the calls of one second.
func TestCallsOfAllCallersWaitAsLongAsTheirTargetsBear(t *testing.T) {
	for _, daemons := range []int{6, 82, 986} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, uint64(daemons)))
			served, refused := 0, 0
			for range daemons {
				r := newReadiness()
				learn(r, 0, twreadiness.ItemRoutes)
				knownAt := 60 + random.IntN(200)
				waiting := []twreadiness.Call{}
				for range 1 + 1200/daemons {
					call := plainCall(random.IntN(100))
					if random.IntN(5) == 0 {
						call.Model, call.TargetAt, call.Deadline = true, call.ReceivedAt.Add(900*time.Millisecond), call.ReceivedAt.Add(14*time.Second)
					}
					d := r.Arrive(call.ReceivedAt, call)
					g.Expect(d.Served).To(BeFalse())
					if d.Cause != "" {
						g.Expect(d.Cause).To(Equal(twreadiness.CauseFull))
						refused++
						continue
					}
					g.Expect(d.WaitUntil).To(BeTemporally("<", call.TargetAt))
					waiting = append(waiting, call)
				}
				g.Expect(r.Waiting()).To(BeNumerically("<=", maxWaiting))
				for _, call := range waiting {
					d := r.Reconsider(at(knownAt-1), call)
					if d.Cause != "" {
						g.Expect(call.Model).To(BeFalse(), "the target of a model call bears the wait")
						g.Expect(at(knownAt - 1)).To(BeTemporally(">=", call.ReceivedAt.Add(105*time.Millisecond)))
						refused++
						r.Leave()
					}
				}
				learn(r, knownAt, twreadiness.ItemUpstreams, twreadiness.ItemEvidence, twreadiness.ItemLeader)
				for r.Waiting() > 0 {
					g.Expect(r.Reconsider(at(knownAt), waiting[0]).Served).To(BeTrue())
					served++
					r.Leave()
				}
			}
			g.Expect(served).To(BeNumerically(">", refused))
		})
	}
}

// Guards against calls that are held although what is missing can't come in time: they are refused after the longest wait.
func TestCallIsRefusedAtOnceIfWhatIsMissingComesTooLate(t *testing.T) {
	g := NewWithT(t)
	r := newReadiness()
	learn(r, 10, twreadiness.ItemRoutes, twreadiness.ItemUpstreams)
	r.RecordStalled(twreadiness.ItemEvidence, at(3000))
	d := r.Arrive(at(50), plainCall(50))
	g.Expect(d.Cause).To(Equal(twreadiness.CauseStalled))
	g.Expect(d.Missing).To(Equal(twreadiness.ItemEvidence))
	g.Expect(d.RetryAt).To(Equal(at(3000)))
	g.Expect(r.Arrive(at(2950), plainCall(2950)).WaitUntil).To(Equal(at(3055)), "it comes in time for this one")
	g.Expect(r.Waiting()).To(Equal(1))
	r.RecordStalled(twreadiness.ItemEvidence, time.Time{})
	g.Expect(r.Arrive(at(60), plainCall(60)).WaitUntil).To(Equal(at(165)), "a source has answered again")
}

// Guards against calls that wait beyond their caller's deadline, calls that are read late, and more waiting calls than there is
// memory for.
func TestWaitIsBoundedByTheCallAndByTheirNumber(t *testing.T) {
	g := NewWithT(t)
	r := newReadiness()
	short := plainCall(0)
	short.Deadline = at(40)
	g.Expect(r.Arrive(at(0), short).WaitUntil).To(Equal(at(40)))
	g.Expect(r.Arrive(at(106), plainCall(0)).Cause).To(Equal(twreadiness.CauseLate))
	unknown := twreadiness.Call{ReceivedAt: at(0), Deadline: at(600)}
	g.Expect(r.Arrive(at(0), unknown).WaitUntil).To(Equal(at(100)), "its target, of 120 ms, is unknown without the routes")
	for deadline, target := range map[int]int{600: 120, 1500: 150, 14_000: 800, 30: 6} {
		unknown.Deadline = at(deadline)
		g.Expect(r.Reconsider(at(0), unknown).WaitUntil).To(BeTemporally("<", at(target)))
	}
	for r.Waiting() < maxWaiting {
		g.Expect(r.Arrive(at(1), plainCall(1)).Cause).To(BeEmpty())
	}
	g.Expect(r.Arrive(at(1), plainCall(1)).Cause).To(Equal(twreadiness.CauseFull))
	r.Leave()
	g.Expect(r.Arrive(at(1), plainCall(1)).Cause).To(BeEmpty(), "a caller has left")
	r.Stop()
	g.Expect(r.Reconsider(at(2), plainCall(1)).Cause).To(Equal(twreadiness.CauseStopping))
}

func BenchmarkArrive(b *testing.B) {
	r := newReadiness()
	learn(r, 0, twreadiness.ItemRoutes, twreadiness.ItemUpstreams)
	call := plainCall(1)
	for b.Loop() {
		if d := r.Arrive(at(2), call); d.Cause == "" {
			r.Leave()
		}
	}
}
