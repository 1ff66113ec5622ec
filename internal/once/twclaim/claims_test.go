package twclaim_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/once/twattempt"
	"github.com/turmericwall/turmericwall/internal/once/twclaim"
	"github.com/turmericwall/turmericwall/internal/platform/twmemory"
)

// faultyWriter fails the next writes, or applies them and loses the answer.
type faultyWriter struct {
	table *twmemory.Table

	mu   sync.Mutex
	fail int
	lose int
}

// injectFaults sets how many of the next writes fail, and how many lose their answer.
func (w *faultyWriter) injectFaults(fail, lose int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail, w.lose = fail, lose
}

var errStoreUnavailable = turmericwall.NewProblem(
	turmericwall.KindStoreUnavailable, "the store is unavailable", "retry later")

func (w *faultyWriter) Write(ctx context.Context, writes ...turmericwall.Write) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fail > 0 {
		w.fail--
		return errStoreUnavailable
	}
	err := w.table.Commit(ctx, turmericwall.Transaction{Token: uuid.NewString(), Writes: writes})
	if err == nil && w.lose > 0 {
		w.lose--
		return errStoreUnavailable
	}
	return err
}

// cluster is a group of daemons that share one table; it implements turmericwall.Peers for all of them.
type cluster struct {
	daemons map[string]*daemon
}

type daemon struct {
	name     string
	cluster  *cluster
	alive    bool
	writer   *faultyWriter
	registry *twattempt.Registry
	claims   *twclaim.Claims
}

func (c *cluster) QueryAttempt(_ context.Context, owner, attempt string) (turmericwall.AttemptState, error) {
	d := c.daemons[owner]
	if !d.alive {
		return turmericwall.AttemptUnknown, errors.New("no answer")
	}
	return d.registry.State(attempt), nil
}

func (c *cluster) IsLive(incarnation string) bool { return c.daemons[incarnation].alive }

func (c *cluster) WantedAttempts(context.Context, string, []string) ([]string, error) {
	return nil, nil
}

func (c *cluster) Place(context.Context, string, turmericwall.Arrival) (turmericwall.Grant, error) {
	return turmericwall.Grant{}, nil
}

func (c *cluster) Finish(context.Context, string, []turmericwall.Ending) error { return nil }

func (c *cluster) IsPartitioned() bool { return false }

func (c *cluster) EligibleLeaders() []string { return nil }

func (c *cluster) Self() string { return "" }

// discardRecorder discards all log events.
type discardRecorder struct{}

func (discardRecorder) Record(turmericwall.EventID) turmericwall.LogEntry { return discardRecorder{} }
func (s discardRecorder) Str(string, string) turmericwall.LogEntry        { return s }
func (s discardRecorder) Int(string, int64) turmericwall.LogEntry         { return s }
func (s discardRecorder) Float(string, float64) turmericwall.LogEntry     { return s }
func (s discardRecorder) Err(error) turmericwall.LogEntry                 { return s }
func (discardRecorder) Send()                                             {}

// newCluster starts the named daemons; stop ends their recorders and waits for them.
func newCluster(names ...string) (c *cluster, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error)
	c = &cluster{daemons: make(map[string]*daemon)}
	table := twmemory.New()
	for _, name := range names {
		d := &daemon{
			name: name, cluster: c, alive: true,
			writer: &faultyWriter{table: table}, registry: twattempt.New(name),
		}
		d.claims = twclaim.New(twclaim.Config{
			Incarnation: name, Table: table, Writer: d.writer, Peers: c, Registry: d.registry,
			Clock: clockwork.NewRealClock(), Recorder: discardRecorder{},
		})
		c.daemons[name] = d
		go func() { ends <- d.claims.Run(ctx) }()
	}
	return c, func() {
		cancel()
		for range names {
			<-ends
		}
	}
}

func call(key string) twclaim.Call {
	return twclaim.Call{Account: "a", Service: "s", Key: key, BodyHash: "b"}
}

// Outcomes of one performed call.
const (
	performAnswered = iota
	performFailsBeforeSend
	performFailsAfterSend
	performSuspended
)

// run is one call that is running or has ended.
type run struct {
	key     string
	ran     bool
	notRun  bool
	resume  chan struct{}
	reached chan struct{}
	ended   chan struct{}
}

// start makes a call and returns when it has ended, or is suspended between claim and send.
func (d *daemon) start(key string, outcome int, ran map[string]int) *run {
	r := &run{key: key, resume: make(chan struct{}), reached: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := d.claims.Do(ctx, call(key),
			func(_ context.Context, beforeSend func() error) (*twclaim.Answer, error) {
				if outcome == performSuspended {
					close(r.reached)
					<-r.resume
				}
				return d.perform(key, outcome, beforeSend, r, ran)
			})
		var problem *turmericwall.Problem
		r.notRun = errors.As(err, &problem) && problem.Outcome() == turmericwall.OutcomeNotRun
	}()
	select {
	case <-r.reached:
	case <-r.ended:
	}
	return r
}

func (d *daemon) perform(
	key string, outcome int, beforeSend func() error, r *run, ran map[string]int,
) (*twclaim.Answer, error) {
	if outcome == performFailsBeforeSend {
		return nil, turmericwall.NewProblem(turmericwall.KindNoUpstream, "the service has no upstream", "retry later")
	}
	if err := beforeSend(); err != nil {
		return nil, err
	}
	r.ran = true
	ran[key]++
	if outcome == performFailsAfterSend {
		return nil, errors.New("connection reset after the call was sent")
	}
	return twclaim.NewAnswer(http.StatusOK, nil, []byte(key)), nil
}

// Guards against a call that runs twice, and against a call that is refused as not run although it ran. Daemons
// receive calls under the same keys in any order, while claim writes fail or lose their answers, upstreams fail
// before or after the call is sent, and daemons are suspended between claim and send, are queried meanwhile, and
// terminate.
func TestKeyRunsAtMostOnceInAnyOrderOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		names := []string{"one", "two", "three"}
		c, stop := newCluster(names...)
		defer stop()
		ran := make(map[string]int)
		var suspended []*run
		for range rapid.IntRange(1, 12).Draw(t, "calls") {
			d := c.daemons[rapid.SampledFrom(names).Draw(t, "daemon")]
			key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
			d.writer.injectFaults(rapid.IntRange(0, 5).Draw(t, "fail")/5, rapid.IntRange(0, 4).Draw(t, "lose")/4)
			r := d.start(key, rapid.IntRange(performAnswered, performSuspended).Draw(t, "outcome"), ran)
			select {
			case <-r.ended:
				g.Expect(r.notRun && r.ran).To(BeFalse(), "the call was refused as not run, but it ran")
			default:
				suspended = append(suspended, r)
			}
			if rapid.IntRange(0, 7).Draw(t, "dies") == 0 {
				d.alive = !d.alive
			}
		}
		for _, r := range suspended {
			close(r.resume)
			<-r.ended
			g.Expect(r.notRun && r.ran).To(BeFalse(), "the call was refused as not run, but it ran")
		}
		for key, count := range ran {
			g.Expect(count).To(BeNumerically("<=", 1), fmt.Sprintf("key %s ran %d times", key, count))
		}
	})
}

// The claim's row is written but the answer to the write is lost: the daemon refuses the call as not run and seals
// its attempt. Another daemon reads the row, queries the owner, and runs the call once.
func TestSealedClaimIsTakenOver(t *testing.T) {
	g := NewWithT(t)
	c, stop := newCluster("one", "two")
	defer stop()
	ran := make(map[string]int)
	c.daemons["one"].writer.injectFaults(0, 1)
	first := c.daemons["one"].start("k", performAnswered, ran)
	g.Expect(first.notRun).To(BeTrue())
	second := c.daemons["two"].start("k", performAnswered, ran)
	g.Expect(second.ran).To(BeTrue())
	g.Expect(ran["k"]).To(Equal(1))
}

// The owner of a written claim is unreachable, so no other daemon can tell whether the call ran: the outcome is
// unknown, and the call is not run by another daemon.
func TestClaimOfUnreachableOwnerHasUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	c, stop := newCluster("one", "two")
	defer stop()
	ran := make(map[string]int)
	suspended := c.daemons["one"].start("k", performSuspended, ran)
	c.daemons["one"].alive = false
	second := c.daemons["two"].start("k", performAnswered, ran)
	g.Expect(second.ran).To(BeFalse())
	g.Expect(second.notRun).To(BeFalse())
	close(suspended.resume)
	<-suspended.ended
	g.Expect(ran["k"]).To(Equal(1))
}
