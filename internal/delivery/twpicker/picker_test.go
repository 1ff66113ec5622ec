package twpicker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twpicker"
)

var start = time.Unix(1000, 0)

func threeUpstreams() []turmericwall.Upstream {
	return []turmericwall.Upstream{
		{ID: "near", Zone: "here", Slots: 6}, {ID: "far1", Zone: "there", Slots: 6}, {ID: "far2", Zone: "there", Slots: 6},
	}
}

func pick(p *twpicker.Picker, at time.Time, avoid ...string) string {
	skip := make(map[string]bool)
	for _, id := range avoid {
		skip[id] = true
	}
	u, ok := p.Pick(at, twpicker.Call{Avoid: skip}, threeUpstreams())
	if !ok {
		return ""
	}
	return u.ID
}

func TestTheSameZoneIsPreferredUntilItIsBusy(t *testing.T) {
	g := NewWithT(t)
	p := twpicker.New(twpicker.Config{Zone: "here"})
	counts := make(map[string]int)
	for range 12 {
		counts[pick(p, start)]++
	}
	g.Expect(counts["near"]).To(BeNumerically(">=", 4))
	g.Expect(counts["far1"] + counts["far2"]).To(BeNumerically(">=", 4))
}

func TestLeavingAndAvoidedUpstreamsAreNotPicked(t *testing.T) {
	g := NewWithT(t)
	p := twpicker.New(twpicker.Config{Zone: "here"})
	g.Expect(pick(p, start, "near")).NotTo(Equal("near"))
	g.Expect(pick(p, start, "near", "far1", "far2")).To(BeEmpty())
	_, ok := p.Pick(start, twpicker.Call{}, []turmericwall.Upstream{{ID: "x", Leaving: true}})
	g.Expect(ok).To(BeFalse())
}

// An upstream becomes unresponsive while its health check passes, and each call sent there is lost until its deadline.
// It must be ejected after two failures and probed by a single call later.
func TestAFailingUpstreamIsEjectedAndProbedByOneCall(t *testing.T) {
	g := NewWithT(t)
	p := twpicker.New(twpicker.Config{Zone: "here"})
	near := threeUpstreams()[0]
	for range 2 {
		g.Expect(pick(p, start, "far1", "far2")).To(Equal("near"))
		p.RecordFailure(start, near, 500*time.Millisecond)
	}
	for range 10 {
		g.Expect(pick(p, start)).NotTo(Equal("near"))
	}
	later := start.Add(4 * time.Second)
	g.Expect(pick(p, later)).To(Equal("near"), "one call probes it")
	for range 5 {
		g.Expect(pick(p, later)).NotTo(Equal("near"), "no second call probes it")
	}
	p.RecordAnswer(later, near, 15*time.Millisecond, true)
	g.Expect(pick(p, later)).To(Equal("near"))
}

func TestAnUpstreamThatFailsSomeCallsGetsFewer(t *testing.T) {
	g := NewWithT(t)
	p := twpicker.New(twpicker.Config{Zone: "elsewhere"})
	counts := make(map[string]int)
	at := start
	for range 300 {
		at = at.Add(10 * time.Millisecond)
		u, _ := p.Pick(at, twpicker.Call{}, threeUpstreams())
		counts[u.ID]++
		p.RecordAnswer(at, u, 15*time.Millisecond, u.ID != "far1")
	}
	g.Expect(counts["far1"]).To(BeNumerically("<", 30))
}

// Guards against hundreds of daemons that know no answer times yet and all send their calls to the same upstream.
func TestDaemonsSpreadOverEqualUpstreams(t *testing.T) {
	g := NewWithT(t)
	var upstreams []turmericwall.Upstream
	for i := range 20 {
		upstreams = append(upstreams, turmericwall.Upstream{ID: fmt.Sprintf("u%02d", i), Zone: "here", Slots: 6})
	}
	picks := make(map[string]int)
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		p := twpicker.New(twpicker.Config{Zone: "here", FirstChoice: random.Uint64()})
		u, ok := p.Pick(start, twpicker.Call{}, upstreams)
		g.Expect(ok).To(BeTrue())
		picks[u.ID]++
	}
	for id, n := range picks {
		g.Expect(n).To(BeNumerically("<", 100), id)
	}
}

// Guards against an upstream that gets no calls for good because it was slow once and the others are fast.
func TestUpstreamThatWasSlowOnceIsTriedAgainAmongFastOnes(t *testing.T) {
	g := NewWithT(t)
	p := twpicker.New(twpicker.Config{Zone: "there"})
	slow := threeUpstreams()[1]
	p.RecordAnswer(start, slow, time.Second, true)
	tried := 0
	for millis := 0; millis < 6000; millis += 50 {
		now := start.Add(time.Duration(millis) * time.Millisecond)
		u, _ := p.Pick(now, twpicker.Call{}, threeUpstreams())
		p.RecordAnswer(now, u, 5*time.Millisecond, true)
		if u.ID == slow.ID {
			tried++
		}
	}
	g.Expect(tried).To(BeNumerically(">", 0))
}
