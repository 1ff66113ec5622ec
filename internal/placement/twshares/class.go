package twshares

import (
	"math"
	"time"
)

const (
	// answerCost is the cost of an answer token in prompt tokens. Prices of model services and published work on fair
	// queueing of model calls count an answer token as two or more prompt tokens.
	answerCost = 2
	// heldCost is the cost of a token that is held in memory for a second, in prompt tokens. The engines that this was
	// written for hold 65,399 to 75,158 tokens and prefill 55,556 in a second, so that a token held for a second takes
	// as much of an engine's time as 0.74 to 0.85 prefilled tokens.
	heldCost = 0.8
	// leadDecayMillis is the time in which an account's lead over the lowest counter falls to 1/e: about the duration of
	// a stream, so that the order follows what accounts use at present.
	leadDecayMillis = 4000
	// rateDecayMillis is the time in which an earlier arrival's weight falls to 1/e in the rate of an account. A shorter
	// one would take single calls of small accounts for their rate.
	rateDecayMillis = 2000
	// adoptionSpan is how long daemons take to report their placed calls to a new leader.
	adoptionSpan = time.Second
	// minDecaySpan is the shortest time between two updates of counters and rates.
	minDecaySpan = 10 * time.Millisecond
	// idleRetention is how long an idle account is kept. By then its lead has decayed to under 1/1000.
	idleRetention = 30 * time.Second
	// maxAccounts bounds the accounts that are kept; calls of further ones count as calls without an account.
	maxAccounts = 4096
)

// Resource is what calls use of the engines.
type Resource int

// The resources, in tokens: the memory of decode engines, and the backlog of prefill engines.
const (
	Memory Resource = iota
	Prefill
	resources
)

// Call is the size of one call. Its answer and the time for which it holds memory are expected values.
type Call struct {
	ID, Account                            string
	PromptTokens, AnswerTokens, HeldMillis float64
	// Priority is that of the call; calls with a lower number go first.
	Priority int
	// Local is set for a placed call whose decode engine prefills the prompt itself.
	Local bool
}

func (c Call) cost() float64 {
	return c.PromptTokens + answerCost*c.AnswerTokens + heldCost*(c.PromptTokens+c.AnswerTokens/2)*c.HeldMillis/1000
}

// needs returns what the call uses of a resource.
func (c Call) needs(r Resource) float64 {
	if r == Prefill {
		return c.PromptTokens
	}
	return c.PromptTokens + c.AnswerTokens
}

// class keeps the counters and the use of all accounts for the calls of one priority.
type class struct {
	priority int
	accounts map[string]*account
	// list are the same accounts. Going through them is far faster than through a map.
	list    []*account
	runs    map[string]*run
	weights map[string]float64
	// active is the number of accounts with waiting or placed calls.
	active int
	// activeWeight is the sum of the weights of these accounts.
	activeWeight float64
	// floor is the lowest counter of the active accounts when an account last became active or counters decayed.
	floor     float64
	decayedAt time.Time
	// adoptedAt is when calls of other daemons were first adopted in the present span, and adoptionFloor the floor at that
	// time.
	adoptedAt     time.Time
	adoptionFloor float64
	// used is the use by all accounts, runCount the number of placed calls that use the resource.
	used     [resources]float64
	runCount [resources]int
	round    int
	// levels are the levels of the round, by resource; 0 while they are unknown.
	levels [resources]float64
	// reserves are the rates at which the accounts send, each up to its part, in tokens per millisecond; they are known for
	// the round reservesRound.
	reserves      [resources]float64
	meanRates     [resources]float64
	reservesRound int
}

// account is the state of one account.
type account struct {
	name          string
	weight        float64
	counter       float64
	waiting, runs int
	// used is the use by placed calls, wanted the need of waiting ones, rates what arrives, in tokens per millisecond.
	used, wanted, rates [resources]float64
	// tag is the virtual start of the account's next waiting call in the round.
	tag        float64
	round      int
	lastUsedAt time.Time
}

func (a *account) isActive() bool { return a.waiting+a.runs > 0 }

// run is a placed call.
type run struct {
	call       Call
	account    *account
	charged    float64
	placedAt   time.Time
	prefilling bool
}

// setWeights sets the weights of accounts; those that are not listed have weight 1. The map is kept, and must not be
// changed.
func (s *class) setWeights(weights map[string]float64) {
	s.weights = weights
	s.activeWeight = 0
	for _, a := range s.list {
		a.weight = s.weightOf(a.name)
		if a.isActive() {
			s.activeWeight += a.weight
		}
	}
}

func (s *class) weightOf(name string) float64 {
	if w, ok := s.weights[name]; ok && w > 0 {
		return w
	}
	return 1
}

// isCompeting reports whether calls of several accounts are waiting or placed. With a single one, no call has to leave room.
func (s *class) isCompeting() bool { return s.active > 1 }

// enqueue records that a call waits. isRetry is set if the caller was refused before, so that the call adds nothing to
// what the account sends.
func (s *class) enqueue(now time.Time, call Call, isRetry bool) {
	a := s.activeAccount(now, call.Account)
	a.waiting++
	for r := range resources {
		a.wanted[r] += call.needs(r)
		if !isRetry {
			a.rates[r] += call.needs(r) / rateDecayMillis
		}
	}
}

// dequeue records that a call no longer waits, because it was placed, was refused or is withdrawn.
func (s *class) dequeue(call Call) {
	a, ok := s.find(call.Account)
	if !ok || a.waiting == 0 {
		return
	}
	a.waiting--
	for r := range resources {
		a.wanted[r] = math.Max(a.wanted[r]-call.needs(r), 0)
	}
	s.deactivate(a)
}

// adopt records a call that another daemon placed. Unlike with Place, an account without calls here is not raised above
// those whose calls were adopted in the same span: a new leader learns the calls in any order, and the counters are to tell
// what each account uses.
func (s *class) adopt(now time.Time, call Call, prefilling bool) {
	if _, ok := s.runs[call.ID]; ok {
		return
	}
	s.decay(now)
	if now.Sub(s.adoptedAt) > adoptionSpan {
		s.updateFloor()
		s.adoptedAt, s.adoptionFloor = now, s.floor
	}
	a := s.account(now, call.Account)
	if !a.isActive() {
		s.activate(a, s.adoptionFloor)
	}
	s.place(now, a, call, prefilling)
}

// recordPlaced records that a call was placed, and charges what it is expected to cost to its account. prefilling is set until
// EndPrefill.
func (s *class) recordPlaced(now time.Time, call Call, prefilling bool) {
	if _, ok := s.runs[call.ID]; ok {
		return
	}
	s.place(now, s.activeAccount(now, call.Account), call, prefilling)
}

// place charges a call that was placed to its account.
func (s *class) place(now time.Time, a *account, call Call, prefilling bool) {
	a.runs++
	r := &run{call: call, account: a, charged: call.cost() / a.weight, placedAt: now}
	r.prefilling = prefilling && !call.Local
	a.counter += r.charged
	s.runs[call.ID] = r
	s.addUse(r, Memory, 1)
	if r.prefilling {
		s.addUse(r, Prefill, 1)
	}
}

// endPrefill records that the prompt of a placed call was prefilled.
func (s *class) endPrefill(id string) {
	if r, ok := s.runs[id]; ok && r.prefilling {
		r.prefilling = false
		s.addUse(r, Prefill, -1)
	}
}

// settle replaces the expected cost of a call that ends by its actual one. A call that has not run costs nothing.
func (s *class) settle(now time.Time, id string, answerTokens float64, notRun bool) {
	r, ok := s.runs[id]
	if !ok {
		return
	}
	actual := 0.0
	if !notRun {
		ended := r.call
		ended.HeldMillis = float64(now.Sub(r.placedAt).Milliseconds())
		if answerTokens == 0 && r.call.HeldMillis > 0 {
			answerTokens = r.call.AnswerTokens * math.Min(ended.HeldMillis/r.call.HeldMillis, 1)
		}
		ended.AnswerTokens = answerTokens
		actual = ended.cost() / r.account.weight
	}
	r.account.counter += actual - r.charged
	r.charged = actual
}

// end records that a placed call no longer uses anything.
func (s *class) end(id string) {
	r, ok := s.runs[id]
	if !ok {
		return
	}
	s.endPrefill(id)
	s.addUse(r, Memory, -1)
	delete(s.runs, id)
	r.account.runs--
	s.deactivate(r.account)
}

func (s *class) addUse(r *run, resource Resource, sign int) {
	n := float64(sign) * r.call.needs(resource)
	r.account.used[resource] += n
	s.used[resource] += n
	s.runCount[resource] += sign
	if s.runCount[resource] == 0 {
		// Sums of rounded numbers would otherwise leave a rest.
		s.used[resource] = 0
	}
	s.levels[resource] = 0
}

// beginRound begins the order of the waiting calls of one decision.
func (s *class) beginRound(now time.Time) {
	s.round++
	s.levels = [resources]float64{}
	s.decay(now)
}

// tag returns the virtual start of a waiting call: the account's counter after those of its calls that got a tag before it in
// this round. Calls go in the order of their tags.
func (s *class) tag(call Call) float64 {
	a, ok := s.find(call.Account)
	if !ok {
		return s.floor
	}
	if a.round != s.round {
		a.round, a.tag = s.round, a.counter
	}
	tag := a.tag
	a.tag += call.cost() / a.weight
	return tag
}

// find returns the account of that name, or the one as which its calls count.
func (s *class) find(name string) (*account, bool) {
	if a, ok := s.accounts[name]; ok {
		return a, true
	}
	a, ok := s.accounts[""]
	return a, ok
}

// activeAccount returns the account of that name, which is about to get a call. Its counter is raised to the lowest active
// one if it was idle.
func (s *class) activeAccount(now time.Time, name string) *account {
	s.decay(now)
	a := s.account(now, name)
	if !a.isActive() {
		s.updateFloor()
		s.activate(a, s.floor)
	}
	return a
}

// account returns the account of that name, or the one as which its calls count.
func (s *class) account(now time.Time, name string) *account {
	a, ok := s.accounts[name]
	if !ok && len(s.accounts) >= maxAccounts-1 {
		name = ""
		a, ok = s.accounts[name]
	}
	if !ok {
		a = &account{name: name, weight: s.weightOf(name)}
		s.accounts[name] = a
		s.list = append(s.list, a)
	}
	a.lastUsedAt = now
	return a
}

// activate records that an idle account gets a call.
func (s *class) activate(a *account, floor float64) {
	a.counter = math.Max(a.counter, floor)
	s.active++
	s.activeWeight += a.weight
}

// deactivate records that the account may be idle now.
func (s *class) deactivate(a *account) {
	if a.isActive() {
		return
	}
	s.active--
	s.activeWeight -= a.weight
	if s.active == 0 {
		s.activeWeight = 0
	}
	a.used, a.wanted = [resources]float64{}, [resources]float64{}
	s.floor = math.Max(s.floor, s.lowestActive(a.counter))
}

// updateFloor sets the floor to the lowest counter of the active accounts. Without any it stays.
func (s *class) updateFloor() {
	if lowest := s.lowestActive(math.Inf(1)); !math.IsInf(lowest, 1) {
		s.floor = lowest
	}
}

// lowestActive returns the lowest counter of the active accounts, or bound if that is lower.
func (s *class) lowestActive(bound float64) float64 {
	for _, a := range s.list {
		if a.isActive() {
			bound = math.Min(bound, a.counter)
		}
	}
	return bound
}

// decay lets the leads of counters and the rates of accounts decay, and removes accounts that were idle for long.
func (s *class) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
		return
	}
	span := now.Sub(s.decayedAt)
	if span < minDecaySpan {
		return
	}
	s.decayedAt = now
	s.updateFloor()
	lead := math.Exp(-float64(span.Milliseconds()) / leadDecayMillis)
	rate := math.Exp(-float64(span.Milliseconds()) / rateDecayMillis)
	kept := s.list[:0]
	for _, a := range s.list {
		if a.counter > s.floor {
			a.counter = s.floor + (a.counter-s.floor)*lead
		}
		for r := range resources {
			a.rates[r] *= rate
		}
		if !a.isActive() && now.Sub(a.lastUsedAt) > idleRetention {
			delete(s.accounts, a.name)
			continue
		}
		kept = append(kept, a)
	}
	clear(s.list[len(kept):])
	s.list = kept
}
