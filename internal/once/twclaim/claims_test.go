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

// writer fails or loses the answer of the next writes.
type writer struct {
	table *twmemory.Table

	mu   sync.Mutex
	fail int
	lose int
}

// disturb makes the next write fail, or lose its answer.
func (w *writer) disturb(fail, lose int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fail, w.lose = fail, lose
}

var errDown = turmericwall.NewProblem(turmericwall.KindStoreUnavailable, "down", "wait")

func (w *writer) Write(ctx context.Context, writes ...turmericwall.Write) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fail > 0 {
		w.fail--
		return errDown
	}
	err := w.table.Commit(ctx, turmericwall.Transaction{Token: uuid.NewString(), Writes: writes})
	if err == nil && w.lose > 0 {
		w.lose--
		return errDown
	}
	return err
}

// cluster is several daemons on one table.
type cluster struct {
	daemons map[string]*daemon
}

type daemon struct {
	name     string
	cluster  *cluster
	alive    bool
	writer   *writer
	registry *twattempt.Registry
	claims   *twclaim.Claims
}

func (c *cluster) Inquire(_ context.Context, owner, attempt string) (turmericwall.AttemptState, error) {
	d := c.daemons[owner]
	if !d.alive {
		return turmericwall.AttemptUnknown, errors.New("no answer")
	}
	return d.registry.State(attempt), nil
}

func (c *cluster) Live(incarnation string) bool { return c.daemons[incarnation].alive }

func (c *cluster) Hold(context.Context, string, []string) ([]string, error) { return nil, nil }

func (c *cluster) Place(context.Context, string, turmericwall.Arrival) (turmericwall.Grant, error) {
	return turmericwall.Grant{}, nil
}

func (c *cluster) Finish(context.Context, string, []turmericwall.Ending) error { return nil }

func (c *cluster) Isolated() bool { return false }

func (c *cluster) Leaders() []string { return nil }

func (c *cluster) Self() string { return "" }

type silent struct{}

func (silent) Record(turmericwall.EventID) turmericwall.LogEntry { return silent{} }
func (s silent) Str(string, string) turmericwall.LogEntry        { return s }
func (s silent) Int(string, int64) turmericwall.LogEntry         { return s }
func (s silent) Float(string, float64) turmericwall.LogEntry     { return s }
func (s silent) Err(error) turmericwall.LogEntry                 { return s }
func (silent) Send()                                             {}

// newCluster starts daemons; stop ends their recorders.
func newCluster(names ...string) (c *cluster, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error)
	c = &cluster{daemons: make(map[string]*daemon)}
	table := twmemory.New()
	for _, name := range names {
		d := &daemon{name: name, cluster: c, alive: true, writer: &writer{table: table}, registry: twattempt.New(name)}
		d.claims = twclaim.New(twclaim.Config{
			Incarnation: name, Table: table, Writer: d.writer, Peers: c, Registry: d.registry,
			Clock: clockwork.NewRealClock(), Recorder: silent{},
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

// outcomes of one performed call.
const (
	performAnswers = iota
	performFailsBefore
	performFailsAfter
	performFreezes
)

// run is one call under way or ended.
type run struct {
	key     string
	ran     bool
	notRun  bool
	resume  chan struct{}
	reached chan struct{}
	ended   chan struct{}
}

// start makes a call and returns when it has ended, or is frozen between claim and send.
func (d *daemon) start(key string, outcome int, ran map[string]int) *run {
	r := &run{key: key, resume: make(chan struct{}), reached: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := d.claims.Do(ctx, call(key), func(_ context.Context, beforeSend func() error) (*twclaim.Answer, error) {
			if outcome == performFreezes {
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

func (d *daemon) perform(key string, outcome int, beforeSend func() error, r *run, ran map[string]int) (*twclaim.Answer, error) {
	if outcome == performFailsBefore {
		return nil, turmericwall.NewProblem(turmericwall.KindNoUpstream, "none", "wait")
	}
	if err := beforeSend(); err != nil {
		return nil, err
	}
	r.ran = true
	ran[key]++
	if outcome == performFailsAfter {
		return nil, errors.New("reset")
	}
	return twclaim.AnswerOf(http.StatusOK, nil, []byte(key)), nil
}

// Daemons get calls under the same keys in any order. Claims fail, their answers are lost, upstreams
// fail before or after sending, daemons freeze between claim and send, are asked about meanwhile, and
// die. No key runs twice, and a call that was refused as not run did not run.
func TestAtMostOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		names := []string{"one", "two", "three"}
		c, stop := newCluster(names...)
		defer stop()
		ran := make(map[string]int)
		var frozen []*run
		for range rapid.IntRange(1, 12).Draw(t, "calls") {
			d := c.daemons[rapid.SampledFrom(names).Draw(t, "daemon")]
			key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
			d.writer.disturb(rapid.IntRange(0, 5).Draw(t, "fail")/5, rapid.IntRange(0, 4).Draw(t, "lose")/4)
			r := d.start(key, rapid.IntRange(performAnswers, performFreezes).Draw(t, "outcome"), ran)
			select {
			case <-r.ended:
				g.Expect(r.notRun && r.ran).To(BeFalse(), "not run, but it ran")
			default:
				frozen = append(frozen, r)
			}
			if rapid.IntRange(0, 7).Draw(t, "dies") == 0 {
				d.alive = !d.alive
			}
		}
		for _, r := range frozen {
			close(r.resume)
			<-r.ended
			g.Expect(r.notRun && r.ran).To(BeFalse(), "not run, but it ran")
		}
		for key, count := range ran {
			g.Expect(count).To(BeNumerically("<=", 1), fmt.Sprintf("%s ran %d times", key, count))
		}
	})
}

// The claim's row is written, but the daemon never hears of it: it says notRun, and its attempt is
// sealed. Another daemon finds the row, asks the owner, and may run the call, once.
func TestSealedClaimIsTakenOver(t *testing.T) {
	g := NewWithT(t)
	c, stop := newCluster("one", "two")
	defer stop()
	ran := make(map[string]int)
	c.daemons["one"].writer.disturb(0, 1)
	first := c.daemons["one"].start("k", performAnswers, ran)
	g.Expect(first.notRun).To(BeTrue())
	second := c.daemons["two"].start("k", performAnswers, ran)
	g.Expect(second.ran).To(BeTrue())
	g.Expect(ran["k"]).To(Equal(1))
}

// The owner of a written claim can't be asked. Nobody can know whether it ran: the answer is unknown,
// and the call is not run elsewhere.
func TestClaimOfAnUnreachableOwnerIsUnknown(t *testing.T) {
	g := NewWithT(t)
	c, stop := newCluster("one", "two")
	defer stop()
	ran := make(map[string]int)
	frozen := c.daemons["one"].start("k", performFreezes, ran)
	c.daemons["one"].alive = false
	second := c.daemons["two"].start("k", performAnswers, ran)
	g.Expect(second.ran).To(BeFalse())
	g.Expect(second.notRun).To(BeFalse())
	close(frozen.resume)
	<-frozen.ended
	g.Expect(ran["k"]).To(Equal(1))
}
