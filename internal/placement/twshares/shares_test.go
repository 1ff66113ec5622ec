package twshares_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twshares"
)

var start = time.Unix(10_000, 0)

func call(id, account string) twshares.Call {
	return twshares.Call{ID: id, Account: account, PromptTokens: 5000, AnswerTokens: 3000, HeldMillis: 3000}
}

// begin lets the accounts begin with the same counter.
func begin(s *twshares.Shares, accounts ...string) {
	for _, account := range accounts {
		s.Enqueue(start, call("first", account), false)
	}
}

// use places calls of the account.
func use(s *twshares.Shares, now time.Time, account string, calls int) {
	for n := range calls {
		s.Place(now, call(fmt.Sprint(account, n), account), true)
	}
}

// tag returns the tag of the account's next call.
func tag(s *twshares.Shares, now time.Time, account string) float64 {
	next := call("next", account)
	s.Enqueue(now, next, false)
	defer s.Dequeue(next)
	s.BeginRound(now)
	return s.Tag(next)
}

// Guards against credit of an account that was idle: it would go before all others for as long as it was away.
func TestIdleAccountIsRaisedToTheLowestActiveOne(t *testing.T) {
	g := NewWithT(t)
	s := twshares.New()
	use(s, start, "a", 4)
	use(s, start, "b", 8)
	g.Expect(tag(s, start, "idle")).To(BeNumerically("==", tag(s, start, "a")))
	g.Expect(tag(s, start, "b")).To(BeNumerically(">", tag(s, start, "a")))
}

// Guards against a debt for capacity that nobody else wanted at the time.
func TestLeadOfAnAccountIsForgotten(t *testing.T) {
	g := NewWithT(t)
	s := twshares.New()
	use(s, start, "a", 1)
	use(s, start, "b", 20)
	lead := tag(s, start, "b") - tag(s, start, "a")
	later := start.Add(12 * time.Second)
	g.Expect(tag(s, later, "b") - tag(s, later, "a")).To(BeNumerically("<", lead/10))
}

// Guards against accounts that count alike although one is entitled to more.
func TestCostIsDividedByTheWeight(t *testing.T) {
	g := NewWithT(t)
	s := twshares.New()
	s.SetWeights(map[string]float64{"large": 4})
	begin(s, "small", "large")
	use(s, start, "small", 1)
	use(s, start, "large", 4)
	g.Expect(tag(s, start, "large")).To(BeNumerically("~", tag(s, start, "small"), 1e-6))
}

// Guards against accounts that stay charged for calls that did not run, or ended early.
func TestEndOfACallReplacesItsExpectedCost(t *testing.T) {
	g := NewWithT(t)
	s := twshares.New()
	begin(s, "a", "b")
	use(s, start, "a", 1)
	use(s, start, "b", 1)
	s.Settle(start, "b0", 0, true)
	g.Expect(tag(s, start, "b")).To(BeNumerically("<", tag(s, start, "a")))
	s.Settle(start.Add(5*time.Millisecond), "a0", 10, false)
	g.Expect(tag(s, start, "a") - tag(s, start, "b")).To(BeNumerically("~", 5040, 50))
	s.End("a0")
	s.End("b0")
	g.Expect(s.Used(twshares.Memory)).To(BeZero())
	g.Expect(s.Used(twshares.Prefill)).To(BeZero())
}

// Guards against an account with several waiting calls that all go before the first one of another account.
func TestWaitingCallsOfTwoAccountsAlternate(t *testing.T) {
	g := NewWithT(t)
	s := twshares.New()
	for n := range 2 {
		s.Enqueue(start, call(fmt.Sprint("a", n), "a"), false)
		s.Enqueue(start, call(fmt.Sprint("b", n), "b"), false)
	}
	s.BeginRound(start)
	first, second := s.Tag(call("a0", "a")), s.Tag(call("a1", "a"))
	g.Expect(s.Tag(call("b0", "b"))).To(And(BeNumerically(">=", first), BeNumerically("<", second)))
}

// Guards against a new leader for which the account whose calls are reported first has used least.
func TestNewLeaderLearnsTheUseInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	for _, order := range [][]string{{"surging", "small"}, {"small", "surging"}} {
		s := twshares.New()
		for _, account := range order {
			for n := range map[string]int{"surging": 20, "small": 2}[account] {
				s.Adopt(start, call(fmt.Sprint(account, n), account), false)
			}
		}
		lead := tag(s, start, "surging") - tag(s, start, "small")
		g.Expect(lead).To(BeNumerically("~", 18*26_600, 1))
	}
}

// Guards against accounts that keep to their share having to leave room, and accounts far above theirs that don't.
func TestOnlyAccountsFarAboveTheirShareYield(t *testing.T) {
	g := NewWithT(t)
	s := twshares.New()
	use(s, start, "surging", 60)
	yields := func(account string, missing float64) bool {
		s.BeginRound(start)
		return s.MustYield(call("x", account), twshares.Memory, missing)
	}
	g.Expect(yields("surging", 100_000)).To(BeFalse(), "nobody else has calls")
	for n := range 10 {
		use(s, start, fmt.Sprint("account", n), 3)
	}
	g.Expect(yields("surging", 0)).To(BeFalse(), "the rest is lent")
	g.Expect(yields("surging", 300_000)).To(BeTrue())
	g.Expect(yields("account3", 300_000)).To(BeFalse())
	g.Expect(yields("idle", 300_000)).To(BeFalse())
	g.Expect(s.MustYieldTo(call("x", "surging"), call("y", "account3"), twshares.Memory)).To(BeTrue())
	g.Expect(s.MustYieldTo(call("y", "account3"), call("x", "surging"), twshares.Memory)).To(BeFalse())
	s.SetWeights(map[string]float64{"surging": 200})
	g.Expect(yields("surging", 300_000)).To(BeFalse(), "it has the weight for it")
}

// Guards against urgent calls that leave room for less urgent ones, because their account has used more.
func TestLessUrgentCallsYield(t *testing.T) {
	g := NewWithT(t)
	s := twshares.New()
	use(s, start, "large", 40)
	lessUrgent := call("x", "small")
	lessUrgent.Priority = 2
	s.Enqueue(start, lessUrgent, false)
	s.BeginRound(start)
	urgent := call("y", "large")
	g.Expect(s.MustYieldTo(urgent, lessUrgent, twshares.Memory)).To(BeFalse())
	g.Expect(s.MustYieldTo(lessUrgent, urgent, twshares.Memory)).To(BeTrue())
	g.Expect(s.Reserve(urgent, twshares.Memory, 1000)).To(BeZero())
	g.Expect(s.MustYield(urgent, twshares.Memory, 300_000)).To(BeFalse())
}

// Guards against a leader whose memory grows with the names of accounts.
func TestNumberOfAccountsIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := twshares.New()
	for n := range 6000 {
		use(s, start, fmt.Sprint("account", n), 1)
	}
	g.Expect(len(s.Status())).To(BeNumerically("<=", 4096))
	for n := range 6000 {
		s.End(fmt.Sprint("account", n, "0"))
	}
	use(s, start.Add(time.Minute), "new", 1)
	g.Expect(s.Status()).To(Equal([]turmericwall.AccountShare{{
		Account: "new", Share: 1, Usage: 1, Placed: 1, MemoryTokens: 8000, PrefillTokens: 5000,
		LeadTokens: s.Status()[0].LeadTokens,
	}}))
	g.Expect(s.Used(twshares.Memory)).To(BeNumerically("==", 8000))
}

// Guards against weights from limits that can't be compared, and against stated weights that are not used.
func TestWeightsAreTheStatedOnesOrTheLimits(t *testing.T) {
	g := NewWithT(t)
	limited := func(name string, perSecond float64, tokens bool) turmericwall.ClientAccount {
		return turmericwall.ClientAccount{Name: name, Quota: turmericwall.Quota{PerSecond: perSecond, CountsTokens: tokens}}
	}
	accounts := []turmericwall.ClientAccount{limited("a", 3000, true), limited("b", 1000, true)}
	g.Expect(twshares.Weights(accounts, nil)).To(Equal(map[string]float64{"a": 1.5, "b": 0.5}))
	g.Expect(twshares.Weights(accounts, map[string]float64{"b": 7})).To(Equal(map[string]float64{"b": 7}))
	g.Expect(twshares.Weights(append(accounts, limited("c", 10, false)), nil)).To(BeNil(), "calls and tokens")
	g.Expect(twshares.Weights(append(accounts, limited("c", 0, true)), nil)).To(BeNil(), "one has no limit")
	g.Expect(twshares.Weights(nil, nil)).To(BeEmpty())
}

// BenchmarkRound orders 60 waiting calls of 500 accounts with 240 placed ones, while memory is short.
func BenchmarkRound(b *testing.B) {
	s := twshares.New()
	var waiting []twshares.Call
	for n := range 500 {
		use(s, start, fmt.Sprint("account", n), 1)
	}
	for n := range 60 {
		waiting = append(waiting, call(fmt.Sprint("w", n), fmt.Sprint("account", 7*n)))
		s.Enqueue(start, waiting[n], false)
	}
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		s.BeginRound(now)
		for _, w := range waiting {
			s.Tag(w)
			s.Reserve(w, twshares.Memory, 200)
			s.MustYield(w, twshares.Memory, 100_000)
		}
	}
}
