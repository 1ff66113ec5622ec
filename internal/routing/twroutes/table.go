// Package twroutes holds the operator's route plan and answers look-ups in it: the route of a host and path, the
// service of a call, and the client account of a key. The authenticator and the relay query it for each call; the plan
// feed applies new plans.
package twroutes

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twkeyindex"
)

// Table holds the route plan in force. The zero value is ready for use and has no plan. Its methods may be called by
// several goroutines.
type Table struct {
	current atomic.Pointer[index]
}

// index is a route plan with its look-up tables.
type index struct {
	plan *turmericwall.RoutePlan
	// hosts holds the routes of each host, the longest prefix first.
	hosts    map[string][]turmericwall.Route
	services map[string]turmericwall.ServicePlan
	keys     *twkeyindex.Index
	accounts map[string]turmericwall.ClientAccount
	// streamSpans is how long the streams of each service may be taken up.
	streamSpans map[string]time.Duration
}

const (
	// minStreamSpan is the shortest time for which streams may be taken up, for a plan that has just shortened a time-out.
	minStreamSpan = 30 * time.Second
	// triesPerDeadline is how many time-outs a stream lives through at most: the later tries of a caller share the deadline
	// of its first one.
	triesPerDeadline = 2
)

// New returns a Table without a plan.
func New() *Table { return &Table{} }

// Apply puts the plan in force and reports whether its version is higher than that of the plan in force before.
//
// A slow reader or a peer may deliver an old plan after a newer one: applying it would send calls to a service from
// which the operator has already moved them. A plan whose version is not higher is therefore ignored.
func (t *Table) Apply(plan *turmericwall.RoutePlan) bool {
	next := newIndex(plan)
	for {
		current := t.current.Load()
		if current != nil && current.plan.Version >= plan.Version {
			return false
		}
		if t.current.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Plan returns the plan in force; ok is false while there is none.
func (t *Table) Plan() (plan *turmericwall.RoutePlan, ok bool) {
	current := t.current.Load()
	if current == nil {
		return nil, false
	}
	return current.plan, true
}

// View is one version of the plan with its look-ups. A call that is decided by one view can't mix two versions.
type View struct{ index *index }

// Current returns the view of the plan in force; ok is false while there is none.
func (t *Table) Current() (view View, ok bool) {
	current := t.current.Load()
	return View{index: current}, current != nil
}

// Plan returns the plan of this view; nil for the zero view.
func (v View) Plan() *turmericwall.RoutePlan {
	if v.index == nil {
		return nil
	}
	return v.index.plan
}

// Service returns the settings of the service in this view.
func (v View) Service(name string) (turmericwall.ServicePlan, bool) {
	plan, ok := v.index.services[name]
	return plan, ok
}

// MatchRoute returns the host's route whose prefix is the longest that the path starts with. The host may have a port,
// and its case does not matter.
func (v View) MatchRoute(host, path string) (turmericwall.Route, bool) {
	for _, route := range v.index.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return turmericwall.Route{}, false
}

// Service returns the settings of the service in the plan in force.
func (t *Table) Service(name string) (turmericwall.ServicePlan, bool) {
	view, ok := t.Current()
	if !ok {
		return turmericwall.ServicePlan{}, false
	}
	return view.Service(name)
}

// StreamSpan returns for how long after its first event a stream of the service may be taken up by its caller.
func (t *Table) StreamSpan(service string) time.Duration {
	current := t.current.Load()
	if current == nil {
		return minStreamSpan
	}
	return max(current.streamSpans[service], minStreamSpan)
}

// MatchRoute returns the route of the host and path in the plan in force; see View.MatchRoute.
func (t *Table) MatchRoute(host, path string) (turmericwall.Route, bool) {
	view, ok := t.Current()
	if !ok {
		return turmericwall.Route{}, false
	}
	return view.MatchRoute(host, path)
}

// AccountOfKey returns the client account that has the key in the plan in force.
func (t *Table) AccountOfKey(key string) (turmericwall.ClientAccount, bool) {
	current := t.current.Load()
	if current == nil {
		return turmericwall.ClientAccount{}, false
	}
	owner, ok := current.keys.Owner(key)
	if !ok {
		return turmericwall.ClientAccount{}, false
	}
	return current.plan.Accounts[owner], true
}

// Account returns the client account with the name in the plan in force.
func (t *Table) Account(name string) (turmericwall.ClientAccount, bool) {
	current := t.current.Load()
	if current == nil {
		return turmericwall.ClientAccount{}, false
	}
	account, ok := current.accounts[name]
	return account, ok
}

// PickService distributes a route's calls over its services by weight and returns the name of the service for the call
// ID. The same ID always gives the same service. It returns "" when no service has a weight above 0.
func PickService(route turmericwall.Route, id string) string {
	totalWeight := 0
	for _, s := range route.Services {
		totalWeight += max(s.Weight, 0)
	}
	if totalWeight == 0 {
		return ""
	}
	remaining := int(xxhash.Sum64String(id) % uint64(totalWeight))
	for _, s := range route.Services {
		remaining -= max(s.Weight, 0)
		if remaining < 0 {
			return s.Service
		}
	}
	return ""
}

func newIndex(plan *turmericwall.RoutePlan) *index {
	ix := &index{
		plan:        plan,
		hosts:       make(map[string][]turmericwall.Route),
		services:    make(map[string]turmericwall.ServicePlan),
		accounts:    make(map[string]turmericwall.ClientAccount, len(plan.Accounts)),
		streamSpans: make(map[string]time.Duration),
	}
	digests := make([][]string, 0, len(plan.Accounts))
	for _, account := range plan.Accounts {
		digests = append(digests, account.KeyDigests)
		ix.accounts[account.Name] = account
	}
	ix.keys = twkeyindex.New(digests)
	for _, route := range plan.Routes {
		host := hostName(route.Host)
		ix.hosts[host] = append(ix.hosts[host], route)
	}
	for _, routes := range ix.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, service := range plan.Services {
		ix.services[service.Name] = service
	}
	for _, route := range plan.Routes {
		if route.Kind != turmericwall.CallStream {
			continue
		}
		span := triesPerDeadline * time.Duration(route.TimeoutMillis) * time.Millisecond
		for _, s := range route.Services {
			ix.streamSpans[s.Service] = max(ix.streamSpans[s.Service], span)
		}
	}
	return ix
}

// hostName returns the host in lower case and without its port; a colon inside the brackets of an IPv6 address starts
// no port.
func hostName(host string) string {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		return host[:colon]
	}
	return host
}
