package twseeker_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twseeker"
)

// peers plays the daemons that are asked.
type peers struct {
	mu sync.Mutex
	// leaders is whom each peer names; a peer without an entry does not answer.
	leaders map[string]string
	asked   map[string]int
	useful  []bool
}

func (p *peers) learn(_ context.Context, address string) (turmericwall.Member, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[address]++
	leader, ok := p.leaders[address]
	if !ok {
		return turmericwall.Member{}, false, errors.New("no answer")
	}
	return turmericwall.Member{Address: leader}, false, nil
}

func (p *peers) note(useful bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.useful = append(p.useful, useful)
}

func (p *peers) count(address string) func() int {
	return func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.asked[address]
	}
}

func (p *peers) last() []bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.useful
}

func run(t *testing.T, p *peers, standbys []turmericwall.Member, seeds []string, holder string) {
	t.Helper()
	p.asked = make(map[string]int)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	s := twseeker.New(twseeker.Config{
		Self: "self", Due: func() bool { return true }, Learn: p.learn, Asked: p.note,
		Standbys: func() []turmericwall.Member { return standbys },
		Seeds:    func() []string { return seeds },
		Holder:   func() turmericwall.Member { return turmericwall.Member{Address: holder} },
	})
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
}

// A starting daemon hears of the leader from a seed and never joins the leader itself.
func TestTheLeaderThatASeedNamesIsAsked(t *testing.T) {
	g := NewWithT(t)
	p := &peers{leaders: map[string]string{"seed": "leader", "leader": "leader"}}
	run(t, p, nil, []string{"self", "seed"}, "")
	g.Eventually(p.count("leader")).Should(BeNumerically(">", 0))
	g.Expect(p.count("self")()).To(BeZero())
	g.Expect(p.last()).NotTo(ContainElement(false))
}

// The leader and one standby are gone; only they are asked.
func TestAllPeersAreAskedInTurn(t *testing.T) {
	g := NewWithT(t)
	p := &peers{leaders: map[string]string{}}
	run(t, p, []turmericwall.Member{{Address: "standby"}, {Address: "seed"}}, []string{"seed", "other"}, "holder")
	for _, address := range []string{"standby", "seed", "other", "holder"} {
		g.Eventually(p.count(address), 2*time.Second).Should(BeNumerically(">", 0), address)
	}
	g.Expect(p.last()).NotTo(ContainElement(true))
}

// A seed that knows no leader and nothing new counts as help, and nobody reads the store.
func TestAPeerThatKnowsNothingIsOfNoUse(t *testing.T) {
	g := NewWithT(t)
	p := &peers{leaders: map[string]string{"seed": "", "other": "self"}}
	run(t, p, nil, []string{"seed", "other"}, "")
	g.Eventually(p.last).Should(HaveLen(4))
	g.Expect(p.last()).NotTo(ContainElement(true))
}
