package twbatch_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/platform/twbatch"
	"github.com/turmericwall/turmericwall/internal/platform/twmemory"
)

// startCommitter runs a Committer on an empty table until the test ends.
func startCommitter(t *testing.T) (*twbatch.Committer, *twmemory.Table) {
	table := twmemory.New()
	committer := twbatch.New(twbatch.Config{Table: table, Registry: metrics.NewRegistry()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- committer.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return committer, table
}

// Guards against a conflict that fails writes of other callers. 200 callers write at the same time, and the condition
// of one of them fails. Only this caller gets the conflict; the other writes are durable.
func TestConflictOfOneCallerDoesNotFailItsBatch(t *testing.T) {
	g := NewWithT(t)
	committer, table := startCommitter(t)
	const callers = 200
	errs := make([]chan error, callers)
	for i := range callers {
		errs[i] = make(chan error, 1)
		go func() {
			w := turmericwall.Write{Key: fmt.Sprintf("k%03d", i)}
			if i == 7 {
				w.IfVersion = 5
			}
			errs[i] <- committer.Write(context.Background(), w)
		}()
	}
	for i := range callers {
		err := <-errs[i]
		g.Expect(turmericwall.IsConflict(err)).To(Equal(i == 7))
	}
	rows, err := table.List(context.Background(), "k", "", callers)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(callers - 1))
}

// Guards against a daemon that exceeds its share of transactions. One of 100 daemons gets 600 writes at the same time,
// far more than its share. All of them are durable, in at most 30 transactions.
func TestWritesBeyondTheShareAreBatched(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	committer := twbatch.New(twbatch.Config{
		Table: twmemory.New(), Registry: registry, Daemons: func() int { return 100 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- committer.Run(ctx) }()
	const callers = 600
	errs := make(chan error, callers)
	for i := range callers {
		go func() { errs <- committer.Write(ctx, turmericwall.Write{Key: fmt.Sprintf("k%03d", i)}) }()
	}
	for range callers {
		g.Expect(<-errs).To(Succeed())
	}
	transactions := metrics.GetOrRegisterCounter("platform.transactions", registry).Count()
	g.Expect(transactions).To(BeNumerically("<=", callers/20))
	cancel()
	<-ended
}

// Two callers race to create the same row. One of them succeeds, whether or not both are in one batch.
func TestOneOfTwoRacingWritersWins(t *testing.T) {
	g := NewWithT(t)
	committer, _ := startCommitter(t)
	errs := make(chan error, 2)
	for range 2 {
		go func() { errs <- committer.Write(context.Background(), turmericwall.Write{Key: "same"}) }()
	}
	first, second := <-errs, <-errs
	g.Expect([]bool{first == nil, second == nil}).To(ConsistOf(true, false))
}

func BenchmarkWrite(b *testing.B) {
	table := twmemory.New()
	committer := twbatch.New(twbatch.Config{Table: table, Registry: metrics.NewRegistry()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = committer.Run(ctx) }()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = committer.Write(ctx, turmericwall.Write{Key: fmt.Sprintf("%d", b.N)})
		}
	})
}
