package twroutes_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

func plan(version int64, routes ...turmericwall.Route) *turmericwall.RoutePlan {
	return &turmericwall.RoutePlan{Version: version, Routes: routes}
}

func route(name, host, prefix string) turmericwall.Route {
	return turmericwall.Route{Name: name, Host: host, Prefix: prefix}
}

func TestMatchReturnsRouteWithLongestPrefix(t *testing.T) {
	table := twroutes.New()
	table.Apply(plan(1,
		route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")))
	cases := []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"shorter prefix", "a.example", "/x/z", "short"},
		{"host with port and other case", "A.example:8080", "/x/z", "short"},
		{"other host", "b.example", "/x/y/z", "other"},
		{"unknown host", "c.example", "/x/", ""},
		{"prefix without its slash", "a.example", "/x", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got, ok := table.MatchRoute(c.host, c.path)
			g.Expect(ok).To(Equal(c.want != ""))
			g.Expect(got.Name).To(Equal(c.want))
		})
	}
}

// Guards against calls that go back to an old service. The operator moves a route to a new service, and a slow reader
// then delivers the earlier plan. Calls must still reach the new service, because the old one may be removed.
func TestOlderPlanIsIgnored(t *testing.T) {
	g := NewWithT(t)
	table := twroutes.New()
	_, found := table.Plan()
	g.Expect(found).To(BeFalse())
	g.Expect(table.Apply(plan(7, route("new", "a.example", "/x/")))).To(BeTrue())
	g.Expect(table.Apply(plan(3, route("old", "a.example", "/x/")))).To(BeFalse())
	g.Expect(table.Apply(plan(7, route("same", "a.example", "/x/")))).To(BeFalse())
	got, _ := table.MatchRoute("a.example", "/x/")
	g.Expect(got.Name).To(Equal("new"))
}

func TestPickDistributesCallsByWeight(t *testing.T) {
	g := NewWithT(t)
	weighted := turmericwall.Route{Services: []turmericwall.WeightedService{
		{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"},
	}}
	counts := make(map[string]int)
	for i := range 2000 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		counts[twroutes.PickService(weighted, id)]++
		g.Expect(twroutes.PickService(weighted, id)).To(Equal(twroutes.PickService(weighted, id)))
	}
	g.Expect(counts["a"]).To(BeNumerically("~", 1800, 80))
	g.Expect(counts["c"]).To(BeZero())
	g.Expect(twroutes.PickService(turmericwall.Route{}, "id")).To(BeEmpty())
}

func TestStreamsMayBeTakenUpForTheirLongestTimeouts(t *testing.T) {
	g := NewWithT(t)
	table := twroutes.New()
	g.Expect(table.StreamSpan("s")).To(Equal(30 * time.Second))
	routes := []turmericwall.Route{
		{Kind: turmericwall.CallStream, TimeoutMillis: 14_000},
		{Kind: turmericwall.CallStream, TimeoutMillis: 40_000},
		{Kind: turmericwall.CallIdempotent, TimeoutMillis: 90_000},
	}
	for i := range routes {
		routes[i].Services = []turmericwall.WeightedService{{Service: "s", Weight: 1}}
	}
	table.Apply(plan(1, routes[0]))
	g.Expect(table.StreamSpan("s")).To(Equal(30 * time.Second))
	table.Apply(plan(2, routes...))
	g.Expect(table.StreamSpan("s")).To(Equal(80 * time.Second))
}

// Guards against a call whose route comes from one version of the plan, and its service or logged version from the next.
func TestViewStaysAtItsVersion(t *testing.T) {
	g := NewWithT(t)
	table := twroutes.New()
	_, ok := table.Current()
	g.Expect(ok).To(BeFalse())
	first := plan(1, route("first", "a.example", "/x/"))
	first.Services = []turmericwall.ServicePlan{{Name: "s", MaxConnections: 1}}
	table.Apply(first)
	view, ok := table.Current()
	g.Expect(ok).To(BeTrue())
	second := plan(2, route("second", "a.example", "/x/"))
	second.Services = []turmericwall.ServicePlan{{Name: "s", MaxConnections: 2}}
	table.Apply(second)
	got, _ := view.MatchRoute("a.example", "/x/")
	service, _ := view.Service("s")
	g.Expect(got.Name).To(Equal("first"))
	g.Expect(service.MaxConnections).To(Equal(1))
	g.Expect(view.Plan().Version).To(BeEquivalentTo(1))
	current, _ := table.MatchRoute("a.example", "/x/")
	g.Expect(current.Name).To(Equal("second"))
}
