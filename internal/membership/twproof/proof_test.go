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

func at(millis int64) twboottime.Instant {
	return twboottime.Instant(millis * int64(time.Millisecond))
}

func newProof() *twproof.Proof {
	return twproof.New(twproof.Config{Incarnation: "i-1", MaxAge: 3 * time.Second, InForceWithin: 2 * time.Second})
}

func TestProofLimitsAtEachAge(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	g.Expect(p.AgeMillis(at(50))).To(BeEquivalentTo(-1))
	g.Expect(p.AdmitsListedKey(at(50))).To(BeFalse(), "nothing is confirmed at the start")
	g.Expect(p.IsCurrent(at(50))).To(BeFalse())
	p.Confirm(at(1000))
	p.Confirm(at(400))
	g.Expect(p.AgeMillis(at(1300))).To(BeEquivalentTo(300), "an older confirmation changes nothing")
	g.Expect(p.Covers(at(1000))).To(BeTrue())
	g.Expect(p.Covers(at(1001))).To(BeFalse())
	g.Expect(p.IsCurrent(at(2999))).To(BeTrue())
	g.Expect(p.IsCurrent(at(3000))).To(BeFalse())
	g.Expect(p.AdmitsListedKey(at(3999))).To(BeTrue())
	g.Expect(p.AdmitsListedKey(at(4000))).To(BeFalse())
}

func TestWithoutMaxAgeEveryKeyOfThePlanIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	g.Expect(twproof.New(twproof.Config{}).AdmitsListedKey(at(1))).To(BeTrue())
}

func TestPeerWithoutProofConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	p.ConfirmAged(at(1000), -1)
	g.Expect(p.AgeMillis(at(1000))).To(BeEquivalentTo(-1))
}

// Guards against a heartbeat that stayed in a socket for seconds and counts as new.
func TestLateHeartbeatIsDatedByItsEcho(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	p.ConfirmEcho(at(9000), turmericwall.Echo{Incarnation: "i-1", BootTimeNanos: int64(at(1000))}, 200)
	g.Expect(p.AgeMillis(at(9000))).To(BeEquivalentTo(8200))
	g.Expect(p.AdmitsListedKey(at(9000))).To(BeFalse())
}

// Guards against an echo from an earlier process, or from before a restart of the VM, that counts for this process.
func TestEchoOfAnotherIncarnationConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	p.ConfirmEcho(at(9000), turmericwall.Echo{Incarnation: "i-0", BootTimeNanos: int64(at(8900))}, 0)
	p.ConfirmEcho(at(9000), turmericwall.Echo{Incarnation: "i-1", BootTimeNanos: int64(at(9001))}, 0)
	p.ConfirmEcho(at(9000), turmericwall.Echo{}, 0)
	g.Expect(p.AgeMillis(at(9000))).To(BeEquivalentTo(-1))
}

// Guards against an age reported by a peer that overflows and makes the proof newer than now.
func TestOverlargeAgeConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	p := newProof()
	p.ConfirmAged(at(1000), math.MaxInt64)
	p.ConfirmEcho(
		at(9000), turmericwall.Echo{
			Incarnation: "i-1", BootTimeNanos: int64(at(1000)),
		}, math.MaxInt64/int64(time.Millisecond)+1)
	g.Expect(p.AgeMillis(at(9000))).To(BeEquivalentTo(-1))
}
