// Package twroles decides how many engines of a service prefill and how many decode, and which engines change their
// role. The leader plans with it between requests; twroleorders sends the resulting orders to the engines.
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
	// DefaultPrefillShare is the share of prefill engines while too few calls have been measured to know their cost.
	// It is set high, because a prefill engine can change its role at once, but a decode engine must first finish its
	// longest answer.
	DefaultPrefillShare float64
	// MinGain is the relative gain in what the engines can serve that all changes to one role together must bring.
	MinGain float64
	// LossGain is the relative gain from which on engines change their role as soon as calls find none of the role in
	// time, without a surplus of the other one.
	LossGain float64
	// RestartMillis is how long an engine that vanished without announcing its end is expected to restart.
	RestartMillis float64
	// SettleMillis must pass without a new engine before the first change, because engines register one after the
	// other.
	SettleMillis float64
}

// DefaultTuning returns the default limits.
func DefaultTuning() Tuning {
	return Tuning{DefaultPrefillShare: 0.3, MinGain: 0.04, LossGain: 0.25, RestartMillis: 3000, SettleMillis: 1300}
}

// Planner plans the role changes of one service's engines. It has no clock of its own.
type Planner struct {
	tuning Tuning
	// pendingChanges are the engines that were ordered to change and do not show their new role yet.
	pendingChanges map[string]change
	// present are the engines of the last call, missing those that vanished and are expected to restart.
	present map[string]turmericwall.Upstream
	missing map[string]absence
	// engineCount is the number of engines at the last call, settledAt when enough time has passed without a new one.
	engineCount int
	settledAt   time.Time
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
	// Prefills and Decodes are the numbers of engines of each role after all changes under way, without this one.
	Prefills, Decodes int
	// Until is when the change has finished at the latest.
	Until time.Time
	// Cost is the cost of a call on which the decision is based.
	Cost turmericwall.CallCost
}

// New returns a planner without pending changes.
func New(tuning Tuning) *Planner {
	return &Planner{
		tuning: tuning, pendingChanges: make(map[string]change), present: make(map[string]turmericwall.Upstream),
		missing: make(map[string]absence),
	}
}

// Plan returns the changes that are due.
//
// An engine serves no calls while it changes its role. While calls are under way, an engine therefore changes only if
// that raises what all engines together can serve, and if its pool can spare it during the change.
func (r *Planner) Plan(
	now time.Time, plan turmericwall.EnginePlan, engines []turmericwall.Upstream, demand turmericwall.EngineDemand,
) []Change {
	r.trackPresence(now, engines)
	if !r.settled(now, len(engines)) {
		return nil
	}
	p := r.buildPools(now, engines)
	var changes []Change
	for {
		role, ok := r.nextRole(p, demand)
		if !ok {
			break
		}
		u, ok := p.takeForRole(role)
		if !ok {
			break
		}
		until := now.Add(time.Duration(plan.RoleChangeMillis+roleReportDelayMillis) * time.Millisecond)
		changes = append(changes, Change{
			Upstream: u, Role: role, Prefills: p.final.Prefills, Decodes: p.final.Decodes, Until: until,
			Cost: demand.Cost,
		})
		r.pendingChanges[u.ID] = change{role: role, until: until}
		p.final = p.final.Moved(role)
	}
	return changes
}

// nextRole returns the role that one more engine should take; ok is false if the split should stay.
func (r *Planner) nextRole(p *pools, demand turmericwall.EngineDemand) (turmericwall.Role, bool) {
	if !demand.CostKnown {
		return r.nextRoleByShare(p.final, demand.Busy)
	}
	for _, role := range []turmericwall.Role{turmericwall.RolePrefill, turmericwall.RoleDecode} {
		if demand.Busy && !r.needsEngine(p, role, demand) {
			continue
		}
		gain := 0.0
		if demand.Busy {
			gain = r.tuning.MinGain
		}
		best := p.final.Best(role, demand.Cost)
		if best.Score(demand.Cost) > p.final.Score(demand.Cost)*(1+gain) &&
			(!demand.Busy || p.canSpare(role, demand.Cost)) {
			return role, true
		}
	}
	return "", false
}

// needsEngine reports whether the role should get an engine while calls are under way: it has none; it lost so many that
// calls find none in time; or for prefill, calls find no prefill engine in time and decode engines have a surplus; or
// for decode, prefill engines have a surplus.
func (r *Planner) needsEngine(p *pools, role turmericwall.Role, demand turmericwall.EngineDemand) bool {
	if role == turmericwall.RolePrefill {
		return (demand.Prefill.Shortage && demand.Decode.Surplus) || p.final.Prefills == 0 ||
			(demand.Prefill.Acute && r.isLopsided(p, role, demand.Cost))
	}
	return demand.Prefill.Surplus || p.final.Decodes == 0 || (demand.Decode.Acute && r.isLopsided(p, role, demand.Cost))
}

// isLopsided reports whether the engines can serve far more calls if some change to the role, as after the loss of engines
// of it. The other role can't have a surplus to show then: its engines wait for those that were lost.
func (r *Planner) isLopsided(p *pools, role turmericwall.Role, cost turmericwall.CallCost) bool {
	return p.final.Best(role, cost).Rate(cost) > p.final.Rate(cost)*(1+r.tuning.LossGain)
}

// nextRoleByShare returns the role that lacks engines while the cost of calls is unknown.
func (r *Planner) nextRoleByShare(s twsplit.Split, busy bool) (turmericwall.Role, bool) {
	total := s.Prefills + s.Decodes
	if total < 2 {
		return "", false
	}
	wantPrefills := min(max(int(math.Round(r.tuning.DefaultPrefillShare*float64(total))), 1), total-1)
	switch {
	case s.Prefills == 0 || (!busy && s.Prefills < wantPrefills):
		return turmericwall.RolePrefill, true
	case s.Decodes == 0 || (!busy && s.Prefills > wantPrefills):
		return turmericwall.RoleDecode, true
	}
	return "", false
}

// roleReportDelayMillis is how long after the change itself an engine may still be reported with its old role: its
// running answers finish first, the longest takes ten seconds, and two heartbeats and the lag of the feed follow. An
// engine that counted as unchanged too early got calls that it refused.
const roleReportDelayMillis = 15_000

// settled reports whether no new engine has registered for SettleMillis.
func (r *Planner) settled(now time.Time, engines int) bool {
	if engines > r.engineCount {
		r.settledAt = now.Add(time.Duration(r.tuning.SettleMillis) * time.Millisecond)
	}
	r.engineCount = engines
	return !now.Before(r.settledAt)
}

// trackPresence records which engines vanished without announcing that they leave.
//
// A crashed engine restarts within seconds, sooner than another engine could take its role. Orders that followed each
// crash and each restart kept engines changing their role for most of the time.
func (r *Planner) trackPresence(now time.Time, engines []turmericwall.Upstream) {
	current := make(map[string]turmericwall.Upstream, len(engines))
	for _, u := range engines {
		current[u.ID] = u
		delete(r.missing, u.ID)
	}
	until := now.Add(time.Duration(r.tuning.RestartMillis) * time.Millisecond)
	for id, u := range r.present {
		if _, ok := current[id]; !ok && !u.Leaving {
			r.missing[id] = absence{role: u.Role, until: until}
		}
	}
	for id, a := range r.missing {
		if now.After(a.until) {
			delete(r.missing, id)
		}
	}
	for id, u := range current {
		if _, ok := r.present[id]; !ok {
			r.countAsRestarted(u.Role)
		}
	}
	r.present = current
}

// DiscardChange discards a change that its engine refused.
func (r *Planner) DiscardChange(id string) { delete(r.pendingChanges, id) }

// countAsRestarted treats a new engine as the restart of a vanished one of the same role: a restarted engine usually
// has a new ID.
func (r *Planner) countAsRestarted(role turmericwall.Role) {
	for id, a := range r.missing {
		if a.role == role {
			delete(r.missing, id)
			return
		}
	}
}

// pools are the engines that serve each role now, and the split after all changes under way.
type pools struct {
	prefills, decodes []turmericwall.Upstream
	final             twsplit.Split
}

// buildPools sorts the engines by the role that they have or were ordered to take, in an order that spreads each role
// over the zones.
func (r *Planner) buildPools(now time.Time, engines []turmericwall.Upstream) *pools {
	p := &pools{}
	for _, u := range engines {
		if u.Leaving {
			continue
		}
		role := u.Role
		c, changing := r.pendingChanges[u.ID]
		if changing && (now.After(c.until) || role == c.role) {
			delete(r.pendingChanges, u.ID)
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
	p.prefills, p.decodes = spreadOverZones(p.prefills), spreadOverZones(p.decodes)
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

// canSpare reports whether the engines that serve now can do without the one that would take the role.
func (p *pools) canSpare(role turmericwall.Role, cost turmericwall.CallCost) bool {
	serving := twsplit.Split{Prefills: len(p.prefills), Decodes: len(p.decodes)}
	during := serving
	if role == turmericwall.RolePrefill {
		during.Decodes--
	} else {
		during.Prefills--
	}
	return during.Rate(cost) >= minServingShare*serving.Rate(cost)
}

// minServingShare is the share of what the engines can serve that must remain while one of them changes its role.
const minServingShare = 0.9

// takeForRole removes an engine from the other role's pool, so that it can take the role.
func (p *pools) takeForRole(role turmericwall.Role) (turmericwall.Upstream, bool) {
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

// spreadOverZones orders engines so that consecutive ones are in different zones where possible.
func spreadOverZones(engines []turmericwall.Upstream) []turmericwall.Upstream {
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
