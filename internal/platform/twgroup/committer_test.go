package twgroup_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/platform/twgroup"
	"github.com/turmericwall/turmericwall/internal/platform/twmemory"
)

func start(t *testing.T) (*twgroup.Committer, *twmemory.Table) {
	table := twmemory.New()
	committer := twgroup.New(twgroup.Config{Table: table, Registry: metrics.NewRegistry()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- committer.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return committer, table
}

// Many callers write at once, and one of them has a condition that fails. It alone gets the conflict;
// the writes that went in the same group are durable.
func TestOneConflictDoesNotFailTheGroup(t *testing.T) {
	g := NewWithT(t)
	committer, table := start(t)
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

// A daemon that shares the platform with many others gets far more writes than it may make transactions.
// All are durable, in few transactions: the platform is not overrun, and nobody is refused.
func TestWritesBeyondTheShareGoTogether(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	committer := twgroup.New(twgroup.Config{Table: twmemory.New(), Registry: registry, Daemons: func() int { return 100 }})
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

// Two callers race to create the same row. One wins, whether or not they met in one group.
func TestOneOfTwoRacingWritersWins(t *testing.T) {
	g := NewWithT(t)
	committer, _ := start(t)
	errs := make(chan error, 2)
	for range 2 {
		go func() { errs <- committer.Write(context.Background(), turmericwall.Write{Key: "same"}) }()
	}
	first, second := <-errs, <-errs
	g.Expect([]bool{first == nil, second == nil}).To(ConsistOf(true, false))
}

func BenchmarkWrite(b *testing.B) {
	table := twmemory.New()
	committer := twgroup.New(twgroup.Config{Table: table, Registry: metrics.NewRegistry()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = committer.Run(ctx) }()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = committer.Write(ctx, turmericwall.Write{Key: fmt.Sprintf("%d", b.N)})
		}
	})
}
