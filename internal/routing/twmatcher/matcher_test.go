package twmatcher_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
	"github.com/turmericwall/turmericwall/internal/routing/twmatcher"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

const (
	inForceWithin = 2 * time.Second
	// atOnce is longer than a match takes that doesn't wait, and shorter than one that does.
	atOnce = 100 * time.Millisecond
)

// fixture is a matcher whose plan, version 1, has the routes /kept/ and /removed/; version 2 has /kept/ and /added/.
type fixture struct {
	routes  *twroutes.Table
	proof   *twproof.Proof
	matcher *twmatcher.Matcher
	// renewed is the number of requests for a proof, and renewable whether one may come.
	renewed   int
	renewable bool
	// read is called for each request of a read of the plan; it may be nil.
	read func()
}

func newFixture() *fixture {
	f := &fixture{routes: twroutes.New(), proof: twproof.New(twproof.Config{InForceWithin: inForceWithin}), renewable: true}
	f.matcher = twmatcher.New(twmatcher.Config{
		Routes: f.routes, Proof: f.proof, Renew: func() { f.renewed++ }, IsRenewable: func() bool { return f.renewable },
		Read: func() {
			if f.read != nil {
				f.read()
			}
		},
	})
	f.apply(1, "/kept/", "/removed/")
	return f
}

func (f *fixture) apply(version int64, prefixes ...string) {
	plan := &turmericwall.RoutePlan{Version: version}
	for _, prefix := range prefixes {
		plan.Routes = append(plan.Routes, turmericwall.Route{Name: prefix, Host: "h", Prefix: prefix})
	}
	f.routes.Apply(plan)
}

// proveAged proves that the plan was current the span ago.
func (f *fixture) proveAged(age time.Duration) { f.proof.Confirm(twboottime.Now().Add(-age)) }

// renewSoon brings version 2 and its proof in a moment.
func (f *fixture) renewSoon() {
	time.AfterFunc(atOnce/2, func() {
		f.apply(2, "/kept/", "/added/")
		f.proveAged(0)
	})
}

// kindOf returns the kind of the problem; "" if there is none.
func kindOf(err error) turmericwall.Kind {
	var problem *turmericwall.Problem
	if !errors.As(err, &problem) {
		return ""
	}
	return problem.Kind()
}

// Guards against answers from a plan that may be old: a route that was added is refused as unknown, or a removed one is served.
func TestUnprovenPlanDecidesNothingThatANewerOneMayChange(t *testing.T) {
	for _, c := range []struct {
		name, path string
		proofAge   time.Duration
		renew      bool
		kind       turmericwall.Kind
		waits      bool
	}{
		{"known route, proved", "/kept/", time.Second, false, "", false},
		{"unknown route, proved", "/added/", time.Second, false, turmericwall.KindNotFound, false},
		{"unknown route, unproved", "/added/", 3 * time.Second, false, turmericwall.KindNotReady, true},
		{"known route, unproved", "/kept/", 3 * time.Second, false, "", true},
		{"added route, proof comes", "/added/", 3 * time.Second, true, "", false},
		{"kept route, proof comes", "/kept/", 3 * time.Second, true, "", false},
		{"removed route, proof comes", "/removed/", 3 * time.Second, true, turmericwall.KindNotFound, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture()
			f.proveAged(c.proofAge)
			if c.renew {
				f.renewSoon()
			}
			startedAt := time.Now()
			match, err := f.matcher.Match(context.Background(), "h", c.path)
			g.Expect(kindOf(err)).To(Equal(c.kind))
			g.Expect(time.Since(startedAt) > 3*atOnce).To(Equal(c.waits))
			if c.kind == "" {
				g.Expect(match.Route.Name).To(Equal(c.path))
			}
			g.Expect(f.renewed > 0).To(Equal(c.proofAge > inForceWithin))
		})
	}
}

// Guards against an outage of the store that delays each call: only those of its first moment wait, and none once the outage is known.
func TestCallsWaitForAProofOnlyAtTheBeginning(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.proveAged(3 * time.Second)
	took := func() time.Duration {
		startedAt := time.Now()
		_, err := f.matcher.Match(context.Background(), "h", "/kept/")
		g.Expect(err).NotTo(HaveOccurred())
		return time.Since(startedAt)
	}
	g.Expect(took()).To(BeNumerically(">", 3*atOnce))
	g.Expect(took()).To(BeNumerically("<", atOnce))
	f.proveAged(inForceWithin - atOnce)
	g.Expect(f.matcher.IsUnproven()).To(BeFalse())
	g.Eventually(f.matcher.IsUnproven, time.Second, "5ms").Should(BeTrue())
	f.renewable = false
	g.Expect(took()).To(BeNumerically("<", atOnce), "the outage is known")
}

// Guards against a daemon that refuses calls as unknown before it knows any route.
func TestWithoutAPlanNothingIsUnknown(t *testing.T) {
	g := NewWithT(t)
	matcher := twmatcher.New(twmatcher.Config{Routes: twroutes.New(), Proof: twproof.New(twproof.Config{InForceWithin: inForceWithin})})
	_, err := matcher.Match(context.Background(), "h", "/kept/")
	g.Expect(kindOf(err)).To(Equal(turmericwall.KindNotReady))
	g.Expect(matcher.IsUnproven()).To(BeFalse())
}

// Guards against a call that waits for a proof after its caller has left.
func TestWaitEndsWithTheCall(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(atOnce/4, cancel)
	startedAt := time.Now()
	_, err := f.matcher.Match(ctx, "h", "/added/")
	g.Expect(kindOf(err)).To(Equal(turmericwall.KindNotReady))
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", 2*atOnce))
}

// Guards against a route that was moved or removed, and is served by the older plan since the leader is behind: the daemon reads the plan itself.
func TestUnprovenPlanIsProvedByAReadOfThisDaemon(t *testing.T) {
	for _, c := range []struct {
		name, path string
		kind       turmericwall.Kind
		version    int64
	}{
		{"route that is kept", "/kept/", "", 2},
		{"route that was removed", "/removed/", turmericwall.KindNotFound, 2},
		{"route that was added", "/added/", "", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture()
			f.proveAged(3 * time.Second)
			f.read = sync.OnceFunc(f.renewSoon)
			match, err := f.matcher.Match(context.Background(), "h", c.path)
			g.Expect(kindOf(err)).To(Equal(c.kind))
			g.Expect(match.View.Plan().Version).To(Equal(c.version))
			g.Expect(match.PlanAgeMillis).To(BeNumerically("<", inForceWithin.Milliseconds()))
		})
	}
}

// Guards against a daemon that reads the plan while it is proved, and against one that doesn't read it again once the outage is known.
func TestReadIsRequestedWhileThePlanIsUnproven(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	reads := 0
	f.read = func() { reads++ }
	f.proveAged(time.Second)
	match := func() {
		_, err := f.matcher.Match(context.Background(), "h", "/kept/")
		g.Expect(err).NotTo(HaveOccurred())
	}
	match()
	g.Expect(reads).To(BeZero())
	f = newFixture()
	f.read, f.renewable = func() { reads++ }, false
	f.proveAged(3 * time.Second)
	match()
	match()
	g.Expect(reads).To(Equal(2))
}
