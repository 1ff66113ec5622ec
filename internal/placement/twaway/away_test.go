package twaway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twaway"
)

var start = time.Unix(9000, 0)

func engine(role turmericwall.Role) turmericwall.Upstream {
	return turmericwall.Upstream{ID: "e", Role: role}
}

func TestAnEngineIsAwayUntilItShowsItsNewRole(t *testing.T) {
	g := NewWithT(t)
	a := twaway.New()
	g.Expect(a.Is(start, engine(turmericwall.RoleDecode))).To(BeFalse())
	a.Note("e", turmericwall.RolePrefill, start.Add(20*time.Second))
	g.Expect(a.Is(start.Add(12*time.Second), engine(turmericwall.RoleDecode))).To(BeTrue())
	g.Expect(a.Is(start.Add(13*time.Second), engine(turmericwall.RolePrefill))).To(BeFalse())
	g.Expect(a.List(start.Add(13 * time.Second))).To(BeEmpty())
}

func TestAChangeThatNeverShowsIsForgotten(t *testing.T) {
	g := NewWithT(t)
	a := twaway.New()
	a.Note("e", turmericwall.RolePrefill, start.Add(20*time.Second))
	g.Expect(a.Is(start.Add(21*time.Second), engine(turmericwall.RoleDecode))).To(BeFalse())
}

// The leader orders an engine to change, and is cut off. The next leader takes the engine, which has no calls and refuses
// all, for the emptiest one: 110 calls were refused in nine seconds. Told by the beats before, it leaves the engine alone.
func TestTheNextLeaderKnowsWhichEnginesChange(t *testing.T) {
	g := NewWithT(t)
	former, next := twaway.New(), twaway.New()
	former.Note("e", turmericwall.RolePrefill, start.Add(20*time.Second))
	elsewhere := start.Add(time.Hour)
	next.Told(elsewhere, former.List(start.Add(time.Second)))
	g.Expect(next.Is(elsewhere.Add(18*time.Second), engine(turmericwall.RoleDecode))).To(BeTrue())
	g.Expect(next.Is(elsewhere.Add(20*time.Second), engine(turmericwall.RoleDecode))).To(BeFalse())
}
