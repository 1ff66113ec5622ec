package twproof_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

func at(millis int64) twboottime.Moment {
	return twboottime.Moment(millis * int64(time.Millisecond))
}

func newProof() *twproof.Proof {
	return twproof.New(twproof.Config{Incarnation: "i-1", MaxAge: 3 * time.Second, Current: 2 * time.Second})
}

func TestAgesOfAProof(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	g.Expect(p.AgeMillis(at(50))).To(BeEquivalentTo(-1))
	g.Expect(p.Admits(at(50))).To(BeFalse(), "nothing is known at the start")
	g.Expect(p.Denies(at(50))).To(BeFalse())
	p.Confirm(at(1000))
	p.Confirm(at(400))
	g.Expect(p.AgeMillis(at(1300))).To(BeEquivalentTo(300), "an older confirmation takes nothing back")
	g.Expect(p.Covers(at(1000))).To(BeTrue())
	g.Expect(p.Covers(at(1001))).To(BeFalse())
	g.Expect(p.Denies(at(2999))).To(BeTrue())
	g.Expect(p.Denies(at(3000))).To(BeFalse())
	g.Expect(p.Admits(at(3999))).To(BeTrue())
	g.Expect(p.Admits(at(4000))).To(BeFalse())
}

func TestWithoutABoundAnyKeyOfThePlanIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	g.Expect(twproof.New(twproof.Config{}).Admits(at(1))).To(BeTrue())
}

func TestAPeerWithoutAProofGivesNone(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	p.ConfirmAged(at(1000), -1)
	g.Expect(p.AgeMillis(at(1000))).To(BeEquivalentTo(-1))
}

// Guards against a heartbeat that lay in a socket for seconds and passes for new knowledge.
func TestALateHeartbeatProvesNoMoreThanWhenItsEchoWasMade(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	p.ConfirmEcho(at(9000), turmericwall.Echo{Incarnation: "i-1", Moment: int64(at(1000))}, 200)
	g.Expect(p.AgeMillis(at(9000))).To(BeEquivalentTo(8200))
	g.Expect(p.Admits(at(9000))).To(BeFalse())
}

// Guards against a moment of an earlier process, or of a clock before a restart of the VM, taken for one of this process.
func TestAnEchoOfAnotherIncarnationProvesNothing(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	p.ConfirmEcho(at(9000), turmericwall.Echo{Incarnation: "i-0", Moment: int64(at(8900))}, 0)
	p.ConfirmEcho(at(9000), turmericwall.Echo{Incarnation: "i-1", Moment: int64(at(9001))}, 0)
	p.ConfirmEcho(at(9000), turmericwall.Echo{}, 0)
	g.Expect(p.AgeMillis(at(9000))).To(BeEquivalentTo(-1))
}

// Guards against a peer's word whose age overflows and makes the proof newer than now.
func TestAnAgeBeyondAllReasonProvesNothing(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	p.ConfirmAged(at(1000), math.MaxInt64)
	p.ConfirmEcho(at(9000), turmericwall.Echo{Incarnation: "i-1", Moment: int64(at(1000))}, math.MaxInt64/int64(time.Millisecond)+1)
	g.Expect(p.AgeMillis(at(9000))).To(BeEquivalentTo(-1))
}
