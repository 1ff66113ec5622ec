package twallocator_test

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

const (
	crowdTarget   = 800 * time.Millisecond
	crowdDeadline = 14 * time.Second
)

// crowd replays accounts whose callers retry once, on engines whose speeds differ.
type crowd struct {
	allocator *twallocator.Allocator
	random    *rand.Rand
	now       time.Time
	list      []turmericwall.Upstream
	events    crowdEvents
	callers   map[string]*crowdCaller
	everyone  []*crowdCaller
	// busyUntil is until when each engine prefills, running what each placed call answers, prefilling the calls whose prompt
	// is not prefilled.
	busyUntil  map[string]time.Time
	running    map[string]turmericwall.PlacedCall
	startedAt  map[string]time.Time
	speeds     map[string]float64
	daemons    int
	weights    map[string]float64
	sent       int
	decisionAt time.Time
	held       []time.Duration
	// account returns the account of the calls of each of the callers' accounts.
	account func(n int) string
	// digest is that of all decisions, in their order.
	digest hash.Hash64
}

// crowdCaller is one caller, over its try and its retry.
type crowdCaller struct {
	account                int
	request                turmericwall.PlaceRequest
	answerTokens           int
	firstAt, sentAt        time.Time
	onTime, served, gaveUp bool
	retried                bool
}

type crowdEvent struct {
	at time.Time
	do func()
}

type crowdEvents []crowdEvent

func (e crowdEvents) Len() int           { return len(e) }
func (e crowdEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e crowdEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *crowdEvents) Push(x any) { *e = append(*e, x.(crowdEvent)) }

// Pop removes the last event.
func (e *crowdEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func crowdPlan() turmericwall.EnginePlan {
	return turmericwall.EnginePlan{Slots: 12, MemoryTokens: 75_158, TokensPerEvent: 50, MaxReservationMillis: 2000}
}

func newCrowd(prefills, decodes, daemons int, seed uint64) *crowd {
	c := &crowd{
		random: rand.New(rand.NewPCG(seed, 5)), now: start, callers: map[string]*crowdCaller{},
		busyUntil: map[string]time.Time{}, running: map[string]turmericwall.PlacedCall{},
		startedAt: map[string]time.Time{}, speeds: map[string]float64{}, daemons: daemons, weights: map[string]float64{},
		account: func(n int) string { return fmt.Sprint("account", n) }, digest: fnv.New64a(),
	}
	c.list = engines(prefills, decodes)
	for i := range c.list {
		c.list[i].Slots = 12
		c.speeds[c.list[i].ID] = 0.7 + 0.5*c.random.Float64()
	}
	c.replaceLeader()
	return c
}

// replaceLeader begins with a leader that knows only what daemons report: the placed calls.
func (c *crowd) replaceLeader() {
	old := c.allocator
	c.allocator = twallocator.New(twallocator.DefaultTuning())
	c.allocator.SetPlan(crowdPlan())
	c.allocator.SetEngines(c.now, c.list)
	c.allocator.SetWeights(c.weights)
	for _, caller := range c.everyone {
		id := caller.request.ID
		if placed, ok := c.running[id]; ok {
			placed.AgeMillis = c.now.Sub(c.startedAt[id]).Milliseconds()
			c.allocator.Adopt(c.now, placed)
		}
	}
	if old == nil {
		return
	}
	for _, caller := range c.everyone {
		if !caller.served && !caller.gaveUp && caller.request.ID != "" {
			c.allocator.Enqueue(c.now, caller.request)
		}
	}
}

func (c *crowd) at(t time.Time, do func()) { heap.Push(&c.events, crowdEvent{at: t, do: do}) }

// send sends calls of an account at the rate, in calls per second, from one time to another.
func (c *crowd) send(account int, rate float64, from, to time.Time) {
	for t := from; ; {
		t = t.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
		if t.After(to) {
			return
		}
		answer := int(math.Min(3500*math.Exp(0.5*c.random.NormFloat64()-0.125), 6500))
		caller := &crowdCaller{account: account, answerTokens: answer, firstAt: t}
		prompt := int(math.Min(5200*math.Exp(0.5*c.random.NormFloat64()-0.125), 11_000))
		hint := int(float64(answer) * math.Exp(0.5*c.random.NormFloat64()))
		c.sent++
		c.everyone = append(c.everyone, caller)
		subject := fmt.Sprintf("s%05d", c.sent)
		c.at(t, func() { c.try(caller, subject+"/0", subject, prompt, hint) })
	}
}

func (c *crowd) try(caller *crowdCaller, id, subject string, prompt, hint int) {
	caller.sentAt = c.now
	caller.request = turmericwall.PlaceRequest{
		ID: id, Service: "s", Owner: fmt.Sprint("daemon", c.random.IntN(c.daemons)), Zone: "z",
		Work:           turmericwall.ModelWork{PromptTokens: prompt, HintTokens: hint, MaxTokens: 6500, Subject: subject},
		TargetDeadline: c.now.Add(crowdTarget), GiveUpDeadline: caller.firstAt.Add(crowdDeadline),
		CallerDeadline: caller.firstAt.Add(crowdDeadline), EventGapMillis: 300,
	}
	caller.request.Account = c.account(caller.account)
	c.callers[id] = caller
	c.allocator.Enqueue(c.now, caller.request)
	c.decide()
}

func (c *crowd) decide() {
	d := c.allocator.Decide(c.now)
	for _, p := range d.Placed {
		_, _ = fmt.Fprintln(c.digest, c.now, p.ID, p.Prefill.ID, p.Decode.ID, p.ReserveTokens, p.PrefillEndsAt)
		c.place(p)
	}
	for _, r := range d.Refused {
		_, _ = fmt.Fprintln(c.digest, c.now, r.ID, r.RetryAt)
		caller := c.callers[r.ID]
		delete(c.callers, r.ID)
		c.held = append(c.held, c.now.Sub(caller.sentAt))
		if caller.retried {
			caller.gaveUp = true
			continue
		}
		caller.retried = true
		wait := min(r.RetryAt.Sub(c.now), caller.request.CallerDeadline.Sub(c.now)/3)
		work := caller.request.Work
		caller.request.ID = ""
		c.at(c.now.Add(wait), func() {
			c.try(caller, work.Subject+"/1", work.Subject, work.PromptTokens, work.HintTokens)
		})
	}
	if !d.NextAt.IsZero() && !c.decisionAt.After(c.now) {
		c.decisionAt = d.NextAt
		c.at(d.NextAt, func() {
			if c.now.Equal(c.decisionAt) {
				c.decide()
			}
		})
	}
}

func (c *crowd) place(p turmericwall.Placement) {
	caller := c.callers[p.ID]
	prefill, speed := p.Prefill.ID, 55.6
	if prefill == "" {
		prefill, speed = p.Decode.ID, 55.6/2
	}
	from := c.now
	if busy := c.busyUntil[prefill]; busy.After(from) {
		from = busy
	}
	work := caller.request.Work
	readAt := from.Add(time.Duration(float64(work.PromptTokens)/(speed*c.speeds[prefill])) * time.Millisecond)
	c.busyUntil[prefill] = readAt
	c.running[p.ID] = turmericwall.PlacedCall{Request: caller.request, Engine: p.Decode.ID}
	c.startedAt[p.ID] = readAt
	placedAt := c.now
	answerMillis := float64(caller.answerTokens) / c.speeds[p.Decode.ID]
	caller.served = true
	caller.onTime = readAt.Add(30 * time.Millisecond).Before(caller.firstAt.Add(crowdTarget))
	c.at(readAt, func() {
		c.allocator.ApplyUpdate(c.now, turmericwall.PlacementUpdate{
			ID: p.ID, Running: true, Prefilled: true, PrefillMillis: c.now.Sub(placedAt).Milliseconds(),
		})
	})
	c.at(readAt.Add(time.Duration(answerMillis)*time.Millisecond), func() {
		delete(c.running, p.ID)
		delete(c.startedAt, p.ID)
		c.allocator.ApplyUpdate(c.now, turmericwall.PlacementUpdate{
			ID: p.ID, AnswerTokens: caller.answerTokens, AnswerMillis: int64(answerMillis),
		})
		c.decide()
	})
}

func (c *crowd) run(to time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(to) {
		e := heap.Pop(&c.events).(crowdEvent)
		c.now = e.at
		e.do()
	}
	c.now = to
}

// loseEngines removes every fourth engine; its calls end there.
func (c *crowd) loseEngines() {
	var kept []turmericwall.Upstream
	for i, e := range c.list {
		if i%4 != 3 {
			kept = append(kept, e)
		}
	}
	c.list = kept
	c.allocator.SetEngines(c.now, c.list)
}

// usualRates are those of the accounts of the second deployment: a few are large.
func usualRates() []float64 {
	rates := []float64{6, 4.5, 3.5}
	for len(rates) < 16 {
		rates = append(rates, 11.0/13)
	}
	return rates
}

// crowdResult is the shares of the callers that were served on time, of the accounts that keep to their share and of
// those that surge, the lowest one of a single account of the former, and how long refused calls were held.
type crowdResult struct {
	kept, lowest, surging float64
	onTime                float64
	digest                uint64
	served                int
	heldBeyondEighth      int
	heldBeyondTarget      int
	refused               int
}

func (c *crowd) result(surging func(account int) bool) crowdResult {
	var r crowdResult
	sent, onTime := map[int]float64{}, map[int]float64{}
	for _, caller := range c.everyone {
		if caller.firstAt.Before(start.Add(5 * time.Second)) {
			continue
		}
		sent[caller.account]++
		if caller.served {
			r.served++
		}
		if caller.onTime {
			onTime[caller.account]++
		}
	}
	var keptSent, keptOnTime, otherSent, otherOnTime float64
	r.lowest = 1
	for account, n := range sent {
		if surging(account) {
			otherSent += n
			otherOnTime += onTime[account]
			continue
		}
		keptSent += n
		keptOnTime += onTime[account]
		r.lowest = math.Min(r.lowest, onTime[account]/n)
	}
	r.kept, r.surging = keptOnTime/keptSent, otherOnTime/math.Max(otherSent, 1)
	r.digest = c.digest.Sum64()
	r.refused, r.onTime = len(c.held), keptOnTime+otherOnTime
	for _, span := range c.held {
		if span > crowdTarget/8+20*time.Millisecond {
			r.heldBeyondEighth++
		}
		if span > crowdTarget {
			r.heldBeyondTarget++
		}
	}
	return r
}

// crowdCase is one load.
type crowdCase struct {
	daemons int
	// factor is by how much two accounts exceed their usual load.
	factor          float64
	lost, newLeader bool
	// slow slows a third of the engines down to a third of their speed. burst adds two bursts of one and a half times the
	// load, which overlap.
	slow, burst bool
	// account returns the account of the calls of each of the callers' accounts; nil for accounts of their own.
	account func(n int) string
	// second is the second of them; the first is account 1, which is large.
	second int
}

// replayCrowd replays 16 accounts for 20 s.
func replayCrowd(of crowdCase, seed uint64) crowdResult {
	c := newCrowd(8, 28, of.daemons, seed)
	if of.account != nil {
		c.account = of.account
	}
	surging := func(account int) bool { return account == 1 || account == of.second }
	for i, rate := range usualRates() {
		c.weights[fmt.Sprint("account", i)] = rate
		c.send(i, rate, start, start.Add(5*time.Second))
		if surging(i) {
			rate *= of.factor
		}
		c.send(i, rate, start.Add(5*time.Second), start.Add(20*time.Second))
	}
	if of.burst {
		for i, rate := range usualRates() {
			c.send(i, 1.5*rate, start.Add(6*time.Second), start.Add(9*time.Second))
			c.send(i, 1.5*rate, start.Add(7500*time.Millisecond), start.Add(10500*time.Millisecond))
		}
	}
	c.allocator.SetWeights(c.weights)
	c.run(start.Add(5 * time.Second))
	if of.slow {
		for i, e := range c.list {
			if i%3 == 2 {
				c.speeds[e.ID] /= 3
			}
		}
	}
	if of.lost {
		c.loseEngines()
	}
	c.run(start.Add(12 * time.Second))
	if of.newLeader {
		c.replaceLeader()
	}
	c.run(start.Add(60 * time.Second))
	return c.result(surging)
}

// Guards against accounts that keep to their share being refused because two others send five to seven times their usual
// load while a quarter of the engines is gone, also after a change of leader in the shortage; and against accounts that
// surge being refused what the others leave.
func TestAccountsThatKeepToTheirShareAreServedInACrowd(t *testing.T) {
	calm := replayCrowd(crowdCase{daemons: 82, factor: 1}, 3)
	for _, of := range []crowdCase{
		{daemons: 82, factor: 5, second: 5},
		{daemons: 82, factor: 7, second: 5},
		{daemons: 82, factor: 5, second: 2},
		{daemons: 6, factor: 7, second: 2, newLeader: true},
		{daemons: 82, factor: 7, second: 2, newLeader: true},
		{daemons: 986, factor: 7, second: 2, newLeader: true},
	} {
		of.lost = true
		t.Run(fmt.Sprint(of.daemons, " daemons, ", of.factor, " times, new leader ", of.newLeader, ", ", of.second),
			func(t *testing.T) {
				g := NewWithT(t)
				crowd := replayCrowd(of, 3)
				of.account, of.newLeader = noAccount, false
				anonymous := replayCrowd(of, 3)
				t.Logf("calm %+v, crowd %+v, without accounts %+v", calm, crowd, anonymous)
				g.Expect(crowd.kept).To(BeNumerically(">=", 0.95*calm.kept))
				g.Expect(crowd.onTime).To(BeNumerically(">=", 0.9*anonymous.onTime))
				g.Expect(crowd.heldBeyondTarget).To(BeZero())
			})
	}
}

func noAccount(int) string { return "" }

// Guards against shares that change anything while they divide nothing: with a single account, and without any, each
// decision must be the same, also in a shortage with refusals.
func TestSingleAccountIsPlacedAsIfThereWereNone(t *testing.T) {
	g := NewWithT(t)
	of := crowdCase{daemons: 82, factor: 7, second: 2, lost: true, account: noAccount}
	none := replayCrowd(of, 3)
	of.account = func(int) string { return "account1" }
	g.Expect(none.refused).To(BeNumerically(">", 0))
	g.Expect(replayCrowd(of, 3)).To(Equal(none))
}

// Guards against another order or other engines without accounts. The digest is that of the decisions before there were
// shares, for a load under which calls wait but none is refused.
func TestCallsWithoutAccountArePlacedAsBefore(t *testing.T) {
	g := NewWithT(t)
	r := replayCrowd(crowdCase{daemons: 82, factor: 9, second: 5, account: noAccount}, 4)
	g.Expect(r.refused).To(BeZero())
	g.Expect(r.digest).To(Equal(uint64(16339331468215022430)))
}

// Guards against calls that are held beyond their target and then refused: in bursts that overlap, while a third of the
// engines is three times as slow, so that all expectations are wrong.
func TestNoCallIsRefusedAfterItsTargetInABurst(t *testing.T) {
	for _, slow := range []bool{false, true} {
		for _, account := range []func(int) string{noAccount, nil} {
			t.Run(fmt.Sprint("slow engines ", slow, ", accounts ", account == nil), func(t *testing.T) {
				g := NewWithT(t)
				r := replayCrowd(crowdCase{daemons: 82, factor: 4, second: 5, slow: slow, burst: true, account: account}, 3)
				t.Logf("%+v", r)
				g.Expect(r.refused).To(BeNumerically(">", 50))
				g.Expect(r.heldBeyondTarget).To(BeZero())
				g.Expect(r.heldBeyondEighth).To(BeNumerically("<", r.refused/2))
			})
		}
	}
}
