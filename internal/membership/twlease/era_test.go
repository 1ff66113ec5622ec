package twlease_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twlease"
)

// era1 and era2 are versions of two eras of the store.
const era1, era2 = 1_000_000_000_000, 2_000_000_000_000

// rowOf returns the row that the named daemon's first incarnation wrote in an era.
func rowOf(name string, fence, era int64) []byte {
	value, _ := json.Marshal(twlease.Row{
		Holder: turmericwall.Member{Name: name, Incarnation: name + "1"}, Fence: fence, Era: era,
	})
	return value
}

// holder returns the lease of a daemon that took it in the first era at start, with the fencing token era1+31.
func holder(g *WithT) *twlease.Lease {
	l := lease("a")
	l.RecordRow(start.Add(-time.Minute), era1+30, rowOf("z", era1+3, 1))
	takeOrRenew(g, l, start, era1+31)
	return l
}

// Guards against a daemon that resumes its former term from the copy, while the next holder has sent orders in the time
// that the store has lost.
func TestFormerHolderTakesNewTermAfterReturnFromCopy(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(l *twlease.Lease)
	}{
		{"it had lost the row", func(l *twlease.Lease) {
			l.RecordRow(start.Add(5*time.Second), era1+40, rowOf("b", era1+38, 1))
		}},
		{"its term had expired", func(*twlease.Lease) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := holder(g)
			c.before(l)
			at := start.Add(6 * time.Second)
			l.RecordRow(at, era2+31, rowOf("a", era1+31, 1))
			g.Expect(l.Holds()).To(BeFalse())
			write, due := l.NextWrite(at)
			g.Expect(due).To(BeTrue())
			g.Expect(write.IfVersion).To(BeEquivalentTo(era2 + 31))
			l.ConfirmWrite(at, write, era2+32)
			_, ok := l.Fence(at.Add(time.Second))
			g.Expect(ok).To(BeFalse(), "the other holder's last order may still be in transit")
			takeOrRenew(g, l, at.Add(6600*time.Millisecond), era2+40)
			fence, ok := l.Fence(at.Add(6600 * time.Millisecond))
			g.Expect(ok).To(BeTrue())
			g.Expect(fence).To(BeEquivalentTo(era2+32), "above all fencing tokens of the first era")
		})
	}
}

// The store is away for a moment and comes back with the holder's own row. Nobody else can have sent orders meanwhile.
func TestValidTermContinuesAfterReturnFromCopy(t *testing.T) {
	g := NewWithT(t)
	l := holder(g)
	takeOrRenew(g, l, start.Add(10*time.Second), era1+45)
	l.RecordRow(start.Add(12*time.Second), era2+41, rowOf("a", era1+31, 1))
	takeOrRenew(g, l, start.Add(12*time.Second), era2+42)
	fence, ok := l.Fence(start.Add(14 * time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(fence).To(BeEquivalentTo(era1 + 31))
}

// Guards against a holder that confirms its term by overwriting the next holder's row, to which the store gave the
// version of the first one's row again.
func TestWriteConditionalOnVersionOfEarlierEraConfirmsNoTerm(t *testing.T) {
	g := NewWithT(t)
	l := holder(g)
	at := start.Add(6 * time.Second)
	write, due := l.NextWrite(at)
	g.Expect(due).To(BeTrue())
	l.ConfirmWrite(at, write, era2+32)
	g.Expect(l.Holds()).To(BeFalse())
	l.RecordRow(at, era2+32, write.Value)
	g.Expect(l.Holds()).To(BeFalse())
	takeOrRenew(g, l, at, era2+33)
	g.Expect(l.Term()).To(BeEquivalentTo(era2 + 33))
}

// Guards against a takeover that is carried out late, in the next era, and read back as a term with an old fencing token.
func TestLateTakeoverOfEarlierEraIsNotResumed(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.RecordRow(start, era1+30, rowOf("b", era1+3, 1))
	write, due := l.NextWrite(start.Add(2 * time.Second))
	g.Expect(due).To(BeTrue())
	at := start.Add(4 * time.Second)
	l.RecordRow(at, era2+31, write.Value)
	g.Expect(l.Holds()).To(BeFalse())
	takeOrRenew(g, l, at, era2+32)
	g.Expect(l.Term()).To(BeEquivalentTo(era2 + 32))
}

// Guards against a copy that is older than the lease: its next holder must wait and have a higher fencing token.
func TestLeaseThatCopyLacksIsTakenWithHigherFence(t *testing.T) {
	g := NewWithT(t)
	l := holder(g)
	at := start.Add(6 * time.Second)
	l.RecordMissing(at, era2+20)
	g.Expect(l.Holds()).To(BeFalse())
	takeOrRenew(g, l, at, era2+21)
	g.Expect(l.Term()).To(BeEquivalentTo(era2 + 21))
	_, ok := l.Fence(at.Add(time.Second))
	g.Expect(ok).To(BeFalse())
}

// A standby knows the row of the new era, and the leader still sends that of the earlier one.
func TestVersionOfEarlierEraIsIgnored(t *testing.T) {
	g := NewWithT(t)
	l := lease("c")
	l.RecordRow(start, era2+31, rowOf("a", era1+31, 1))
	l.RecordVersion(start.Add(time.Second), era1+45, turmericwall.Member{Name: "b", Incarnation: "b1"})
	g.Expect(l.Version()).To(BeEquivalentTo(era2 + 31))
	g.Expect(l.Holder().Name).To(Equal("a"))
}

// Guards against a daemon that held the lease from the first start on, and sends orders at once when it takes it from a
// copy without the row.
func TestFirstHolderWaitsWhenCopyLacksItsRow(t *testing.T) {
	g := NewWithT(t)
	l := lease("a")
	l.RecordMissing(start, era1+3)
	takeOrRenew(g, l, start, era1+4)
	_, ok := l.Fence(start.Add(time.Second))
	g.Expect(ok).To(BeTrue(), "there was no holder before")
	at := start.Add(6 * time.Second)
	l.RecordMissing(at, era2+3)
	takeOrRenew(g, l, at, era2+4)
	_, ok = l.Fence(at.Add(time.Second))
	g.Expect(ok).To(BeFalse())
}
