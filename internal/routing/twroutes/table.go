// Package twroutes selects the route and service of a call from the operator's plan.
package twroutes

import (
	"sort"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twkeyindex"
)

// Table holds the newest plan of routes. The zero value knows no plan.
type Table struct {
	current atomic.Pointer[index]
}

type index struct {
	plan     *turmericwall.RoutePlan
	hosts    map[string][]turmericwall.Route
	services map[string]turmericwall.ServicePlan
	keys     *twkeyindex.Index
	accounts map[string]turmericwall.ClientAccount
}

// New returns a table that knows no plan yet.
func New() *Table { return &Table{} }

// Apply takes a plan in force and tells whether it was newer than the one before.
//
// A slow reader or a peer may bring an old plan after a newer one: taking it would send calls to a
// service that the operator already moved away. Only a higher version is taken, so nothing goes back.
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

// Plan returns the plan in force; ok is false while none is known.
func (t *Table) Plan() (plan *turmericwall.RoutePlan, ok bool) {
	current := t.current.Load()
	if current == nil {
		return nil, false
	}
	return current.plan, true
}

// Service returns what the plan in force says of a service.
func (t *Table) Service(name string) (turmericwall.ServicePlan, bool) {
	current := t.current.Load()
	if current == nil {
		return turmericwall.ServicePlan{}, false
	}
	plan, ok := current.services[name]
	return plan, ok
}

// Match returns the route with the longest prefix of the path at the host.
func (t *Table) Match(host, path string) (turmericwall.Route, bool) {
	current := t.current.Load()
	if current == nil {
		return turmericwall.Route{}, false
	}
	for _, route := range current.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return turmericwall.Route{}, false
}

// AccountOfKey returns the client account that holds the key by the plan in force.
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

// Account returns the client account of the name by the plan in force.
func (t *Table) Account(name string) (turmericwall.ClientAccount, bool) {
	current := t.current.Load()
	if current == nil {
		return turmericwall.ClientAccount{}, false
	}
	account, ok := current.accounts[name]
	return account, ok
}

// Pick shares a route's calls among its services by weight; one call id always gives the same service.
func Pick(route turmericwall.Route, id string) string {
	sum := 0
	for _, s := range route.Services {
		sum += max(s.Weight, 0)
	}
	if sum == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(id) % uint64(sum))
	for _, s := range route.Services {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	return ""
}

func newIndex(plan *turmericwall.RoutePlan) *index {
	ix := &index{
		plan:     plan,
		hosts:    make(map[string][]turmericwall.Route),
		services: make(map[string]turmericwall.ServicePlan),
		accounts: make(map[string]turmericwall.ClientAccount, len(plan.Accounts)),
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
	return ix
}

func hostName(host string) string {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.Contains(host[at:], "]") {
		return host[:at]
	}
	return host
}
