package twallocator

import (
	"slices"
	"strings"

	"github.com/turmericwall/turmericwall"
)

// pool holds the engines of one role. It keeps the engines in use apart from the idle ones, so that a decision evaluates
// the engines in use and one idle engine of each zone: all idle engines of a zone are equal.
type pool struct {
	zones []*zoneEngines
	// used are the engines in use: decode engines with runs, and prefill engines with a backlog or a speed that was
	// measured within speedValidity.
	used []*engine
	// size is the number of engines, leavingCount how many of them are leaving.
	size, leavingCount int
	// nextSample is the index in used at which the next sample begins.
	nextSample int
}

// zoneEngines are the engines of one zone in ascending order of their ids.
type zoneEngines struct {
	zone    string
	engines []*engine
	// firstIdle is the index of the first engine that may be idle.
	firstIdle int
}

// newPool returns the pool of the engines with the role; engines are in ascending order of their ids.
func newPool(role turmericwall.Role, engines []*engine) *pool {
	p := &pool{}
	byZone := make(map[string]*zoneEngines)
	for _, e := range engines {
		if e.role() != role {
			continue
		}
		z, ok := byZone[e.upstream.Zone]
		if !ok {
			z = &zoneEngines{zone: e.upstream.Zone}
			byZone[e.upstream.Zone] = z
			p.zones = append(p.zones, z)
		}
		e.pool, e.zone, e.zoneIndex, e.usedIndex = p, z, len(z.engines), notUsed
		z.engines = append(z.engines, e)
		p.size++
		if e.upstream.Leaving {
			p.leavingCount++
		}
	}
	slices.SortFunc(p.zones, func(x, y *zoneEngines) int { return strings.Compare(x.zone, y.zone) })
	return p
}

// notUsed is the usedIndex of an idle engine.
const notUsed = -1

// setUsed records whether an engine of the pool is in use.
func (p *pool) setUsed(e *engine, used bool) {
	switch {
	case used && e.usedIndex == notUsed:
		e.usedIndex = len(p.used)
		p.used = append(p.used, e)
	case !used && e.usedIndex != notUsed:
		last := p.used[len(p.used)-1]
		p.used[e.usedIndex] = last
		last.usedIndex = e.usedIndex
		p.used[len(p.used)-1] = nil
		p.used = p.used[:len(p.used)-1]
		e.usedIndex = notUsed
		e.zone.firstIdle = min(e.zone.firstIdle, e.zoneIndex)
	}
}

// sample returns up to limit engines in use; 0 means all. Successive samples go through all of them.
//
// A full service has thousands of engines in use, and evaluating each for every call would take a leader's processor
// time. The best of some dozen of them is nearly as good as the best of all.
func (p *pool) sample(limit int) []*engine {
	if limit <= 0 || len(p.used) <= limit {
		return p.used
	}
	sampled := make([]*engine, 0, limit)
	for range limit {
		p.nextSample %= len(p.used)
		sampled = append(sampled, p.used[p.nextSample])
		p.nextSample++
	}
	return sampled
}

// maxIdleTries bounds how many idle engines of one zone are tried for a call that any of them may run.
const maxIdleTries = 16

// idleEngine returns the zone's first idle engine of the version that is acceptable, or nil if none of the first
// maxIdleTries is. An empty version is any.
func (z *zoneEngines) idleEngine(version turmericwall.SoftwareVersion, acceptable func(*engine) bool) *engine {
	for z.firstIdle < len(z.engines) && z.engines[z.firstIdle].usedIndex != notUsed {
		z.firstIdle++
	}
	tries := 0
	for _, e := range z.engines[z.firstIdle:] {
		if e.usedIndex != notUsed || (version != "" && e.upstream.Version != version) {
			continue
		}
		if acceptable(e) {
			return e
		}
		if tries++; tries == maxIdleTries {
			return nil
		}
	}
	return nil
}
