package twdiscovery_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twdiscovery"
)

// peers simulates the daemons that are queried.
type peers struct {
	mu sync.Mutex
	// leaders holds the leader that each peer names; a peer without an entry does not answer.
	leaders map[string]string
	queries map[string]int
	useful  []bool
}

func (p *peers) fetchState(_ context.Context, address string) (turmericwall.Member, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queries[address]++
	leader, ok := p.leaders[address]
	if !ok {
		return turmericwall.Member{}, false, errors.New("no reply")
	}
	return turmericwall.Member{Address: leader}, false, nil
}

func (p *peers) recordOutcome(useful bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.useful = append(p.useful, useful)
}

func (p *peers) countQueries(address string) func() int {
	return func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.queries[address]
	}
}

func (p *peers) outcomes() []bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.useful
}

func run(t *testing.T, p *peers, standbys []turmericwall.Member, seeds []string, holder string) {
	t.Helper()
	p.queries = make(map[string]int)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	d := twdiscovery.New(twdiscovery.Config{
		Self: "self", ShouldQuery: func() bool { return true }, FetchState: p.fetchState, OnQueried: p.recordOutcome,
		Standbys: func() []turmericwall.Member { return standbys },
		Seeds:    func() []string { return seeds },
		Holder:   func() turmericwall.Member { return turmericwall.Member{Address: holder} },
	})
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
}

// Guards against a starting daemon that gets the leader's address from a seed and never joins the leader.
func TestLeaderNamedBySeedIsQueried(t *testing.T) {
	g := NewWithT(t)
	p := &peers{leaders: map[string]string{"seed": "leader", "leader": "leader"}}
	run(t, p, nil, []string{"self", "seed"}, "")
	g.Eventually(p.countQueries("leader")).Should(BeNumerically(">", 0))
	g.Expect(p.countQueries("self")()).To(BeZero())
	g.Expect(p.outcomes()).NotTo(ContainElement(false))
}

// The leader and one standby have terminated. The other peers must be queried too.
func TestAllPeersAreQueriedInTurn(t *testing.T) {
	g := NewWithT(t)
	p := &peers{leaders: map[string]string{}}
	run(t, p, []turmericwall.Member{{Address: "standby"}, {Address: "seed"}}, []string{"seed", "other"}, "holder")
	for _, address := range []string{"standby", "seed", "other", "holder"} {
		g.Eventually(p.countQueries(address), 2*time.Second).Should(BeNumerically(">", 0), address)
	}
	g.Expect(p.outcomes()).NotTo(ContainElement(true))
}

// Guards against a peer without a leader or newer state whose reply counts as useful: no daemon would read the store.
func TestReplyWithoutLeaderOrNewerStateIsNotUseful(t *testing.T) {
	g := NewWithT(t)
	p := &peers{leaders: map[string]string{"seed": "", "other": "self"}}
	run(t, p, nil, []string{"seed", "other"}, "")
	g.Eventually(p.outcomes).Should(HaveLen(4))
	g.Expect(p.outcomes()).NotTo(ContainElement(true))
}
