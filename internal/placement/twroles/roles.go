// Package twroles decides how many engines read prompts and how many answer, and which engine changes.
package twroles

import (
	"math"
	"sort"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twsplit"
)

// Tuning holds the limits of the decisions.
type Tuning struct {
	// AssumedShare is the part of the engines that read prompts while too few calls came to know what they cost. An engine
	// that reads is given away at once, one that answers only after its longest answer: rather too many read at first.
	AssumedShare float64
	// Gain is the part by which all changes to one role together must raise what the engines can serve.
	Gain float64
	// ReturnMillis is how long an engine that vanished without a word is counted on to come back.
	ReturnMillis float64
	// QuietMillis must pass without a new engine before the first change: engines register one after the other.
	QuietMillis float64
}

// DefaultTuning returns the limits in use.
func DefaultTuning() Tuning {
	return Tuning{AssumedShare: 0.3, Gain: 0.04, ReturnMillis: 3000, QuietMillis: 1300}
}

// Roles plans the changes of one service's engines. It has no clock of its own.
type Roles struct {
	tuning Tuning
	// changing are the engines that were ordered, until their change must be over.
	changing map[string]change
	// present are the engines of the last look, missing those that vanished from it and may come back.
	present map[string]turmericwall.Upstream
	missing map[string]absence
	// known counts the engines seen, quietAt is when none will have come for long enough.
	known   int
	quietAt time.Time
}

type change struct {
	role  turmericwall.Role
	until time.Time
}

type absence struct {
	role  turmericwall.Role
	until time.Time
}

// Change asks one engine to take a role.
type Change struct {
	Upstream turmericwall.Upstream
	Role     turmericwall.Role
	// Prefills and Decodes are the engines of each role as they will be without the change.
	Prefills, Decodes int
	// Until is when the change is surely over.
	Until time.Time
	// Cost is what decided.
	Cost turmericwall.CallCost
}

// New returns roles without changes under way.
func New(tuning Tuning) *Roles {
	return &Roles{
		tuning: tuning, changing: make(map[string]change), present: make(map[string]turmericwall.Upstream),
		missing: make(map[string]absence),
	}
}

// Plan returns the changes that are due.
//
// Each change takes an engine away for a while. While calls are under way an engine changes only when that raises what
// all can serve, and when its pool can spare it meanwhile.
func (r *Roles) Plan(now time.Time, plan turmericwall.EnginePlan, engines []turmericwall.Upstream, need turmericwall.EngineNeed) []Change {
	r.follow(now, engines)
	if !r.quiet(now, len(engines)) {
		return nil
	}
	p := r.pools(now, engines)
	var changes []Change
	for {
		role, ok := r.next(p, need)
		if !ok {
			break
		}
		u, ok := p.give(role)
		if !ok {
			break
		}
		until := now.Add(time.Duration(plan.RoleChangeMillis+lateMillis) * time.Millisecond)
		changes = append(changes, Change{
			Upstream: u, Role: role, Prefills: p.final.Prefills, Decodes: p.final.Decodes, Until: until, Cost: need.Cost,
		})
		r.changing[u.ID] = change{role: role, until: until}
		p.final = p.final.Moved(role)
	}
	return changes
}

// next is the role that one more engine should take.
func (r *Roles) next(p *pools, need turmericwall.EngineNeed) (turmericwall.Role, bool) {
	if !need.Known {
		return r.assumed(p.final, need.Busy)
	}
	for _, role := range []turmericwall.Role{turmericwall.RolePrefill, turmericwall.RoleDecode} {
		if need.Busy && !p.short(role, need) {
			continue
		}
		gain := 0.0
		if need.Busy {
			gain = r.tuning.Gain
		}
		best := p.final.Best(role, need.Cost)
		if best.Worth(need.Cost) > p.final.Worth(need.Cost)*(1+gain) && (!need.Busy || p.spares(role, need.Cost)) {
			return role, true
		}
	}
	return "", false
}

// short tells that engines of the role are missing: calls found none in time, or there is none.
func (p *pools) short(role turmericwall.Role, need turmericwall.EngineNeed) bool {
	if role == turmericwall.RolePrefill {
		return (need.Readers.Short && need.Answerers.Spare) || p.final.Prefills == 0
	}
	return need.Readers.Spare || p.final.Decodes == 0
}

// assumed is the role that is missing while nothing is known of the calls.
func (r *Roles) assumed(s twsplit.Split, busy bool) (turmericwall.Role, bool) {
	total := s.Prefills + s.Decodes
	if total < 2 {
		return "", false
	}
	want := min(max(int(math.Round(r.tuning.AssumedShare*float64(total))), 1), total-1)
	switch {
	case s.Prefills == 0 || (!busy && s.Prefills < want):
		return turmericwall.RolePrefill, true
	case s.Decodes == 0 || (!busy && s.Prefills > want):
		return turmericwall.RoleDecode, true
	}
	return "", false
}

// lateMillis is how long an engine's new role may be unknown here beside the change itself: its answers under way end
// first, the longest lasts ten seconds, and two beats and the feed's lag follow. Taken for unchanged too early, it got
// calls that it refused.
const lateMillis = 15_000

// quiet tells that no engine came for a while.
func (r *Roles) quiet(now time.Time, engines int) bool {
	if engines > r.known {
		r.quietAt = now.Add(time.Duration(r.tuning.QuietMillis) * time.Millisecond)
	}
	r.known = engines
	return !now.Before(r.quietAt)
}

// follow notes which engines vanished without having said that they leave.
//
// An engine that crashed is back within seconds, sooner than another one could change its role; orders that followed
// each crash and each return kept engines away for most of the time.
func (r *Roles) follow(now time.Time, engines []turmericwall.Upstream) {
	here := make(map[string]turmericwall.Upstream, len(engines))
	for _, u := range engines {
		here[u.ID] = u
		delete(r.missing, u.ID)
	}
	until := now.Add(time.Duration(r.tuning.ReturnMillis) * time.Millisecond)
	for id, u := range r.present {
		if _, ok := here[id]; !ok && !u.Leaving {
			r.missing[id] = absence{role: u.Role, until: until}
		}
	}
	for id, a := range r.missing {
		if now.After(a.until) {
			delete(r.missing, id)
		}
	}
	for id, u := range here {
		if _, ok := r.present[id]; !ok {
			r.returned(u.Role)
		}
	}
	r.present = here
}

// Declined forgets a change that its engine did not take.
func (r *Roles) Declined(id string) { delete(r.changing, id) }

// returned takes a new engine for one that vanished: an engine that starts again mostly has a new id.
func (r *Roles) returned(role turmericwall.Role) {
	for id, a := range r.missing {
		if a.role == role {
			delete(r.missing, id)
			return
		}
	}
}

// pools are the engines that serve each role now, and the split as it will be when all changes are over.
type pools struct {
	prefills, decodes []turmericwall.Upstream
	final             twsplit.Split
}

// pools sorts the engines by the role that they have or were told to take, in an order that spreads each role over
// the zones.
func (r *Roles) pools(now time.Time, engines []turmericwall.Upstream) *pools {
	p := &pools{}
	for _, u := range engines {
		if u.Leaving {
			continue
		}
		role := u.Role
		c, changing := r.changing[u.ID]
		if changing && (now.After(c.until) || role == c.role) {
			delete(r.changing, u.ID)
			changing = false
		}
		if changing {
			p.count(c.role)
			continue
		}
		p.count(role)
		switch role {
		case turmericwall.RolePrefill:
			p.prefills = append(p.prefills, u)
		case turmericwall.RoleDecode:
			p.decodes = append(p.decodes, u)
		}
	}
	for _, a := range r.missing {
		p.count(a.role)
	}
	p.prefills, p.decodes = spread(p.prefills), spread(p.decodes)
	return p
}

func (p *pools) count(role turmericwall.Role) {
	switch role {
	case turmericwall.RolePrefill:
		p.final.Prefills++
	case turmericwall.RoleDecode:
		p.final.Decodes++
	}
}

// spares tells that the engines that serve now can do without the one that would take the role.
func (p *pools) spares(role turmericwall.Role, cost turmericwall.CallCost) bool {
	now := twsplit.Split{Prefills: len(p.prefills), Decodes: len(p.decodes)}
	during := now
	if role == turmericwall.RolePrefill {
		during.Decodes--
	} else {
		during.Prefills--
	}
	return during.Rate(cost) >= spareShare*now.Rate(cost)
}

// spareShare is how much of what the engines can serve must be left while one of them changes.
const spareShare = 0.9

// give takes the engine that changes from its pool.
func (p *pools) give(role turmericwall.Role) (turmericwall.Upstream, bool) {
	from := &p.prefills
	if role == turmericwall.RolePrefill {
		from = &p.decodes
	}
	n := len(*from)
	if n == 0 {
		return turmericwall.Upstream{}, false
	}
	u := (*from)[n-1]
	*from = (*from)[:n-1]
	return u, true
}

// spread orders engines so that each next one is of another zone where possible.
func spread(engines []turmericwall.Upstream) []turmericwall.Upstream {
	rank := make(map[string]int)
	type ranked struct {
		turmericwall.Upstream
		rank int
	}
	list := make([]ranked, 0, len(engines))
	for _, u := range engines {
		list = append(list, ranked{u, rank[u.Zone]})
		rank[u.Zone]++
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].rank < list[j].rank })
	ordered := make([]turmericwall.Upstream, 0, len(list))
	for _, u := range list {
		ordered = append(ordered, u.Upstream)
	}
	return ordered
}
