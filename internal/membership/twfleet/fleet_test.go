package twfleet_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twfleet"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/operations/twtrace"
)

// lister returns a fixed list or an error.
type lister struct {
	vms []turmericwall.VM
	err error
}

func (l *lister) List(context.Context) ([]turmericwall.VM, error) { return l.vms, l.err }

func newFleet(l *lister, clock clockwork.Clock) *twfleet.Fleet {
	return twfleet.New(twfleet.Config{
		Lister: l, Clock: clock, Recorder: tweventlog.New(tweventlog.Config{Output: discard{}, Trace: twtrace.New()}),
	})
}

// discard drops the log.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// This daemon cannot read the platform's list, and a peer reports that an engine is leaving. The engine must count as
// leaving here as well, for as long as the peer repeats its report.
func TestPeerReportMarksVMAsLeaving(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	l := &lister{vms: []turmericwall.VM{{Name: "e", Service: "s", State: turmericwall.VMLive}}}
	f := newFleet(l, clock)
	g.Expect(f.Refresh(t.Context())).To(Succeed())
	l.err = errors.New("platform unavailable")
	g.Expect(f.Refresh(t.Context())).NotTo(Succeed())
	g.Expect(f.Upstreams("s")[0].State).To(Equal(turmericwall.VMLive))
	f.RecordPeerLeaving([]string{"e"})
	g.Expect(f.Upstreams("s")[0].State).To(Equal(turmericwall.VMLeaving))
	clock.Advance(11 * time.Second)
	g.Expect(f.Upstreams("s")[0].State).To(Equal(turmericwall.VMLive))
}

// A daemon that could not read any list applies a peer's; one with its own list must not return to a peer's.
func TestPeersListIsUsedOnlyWithoutOwnList(t *testing.T) {
	g := NewWithT(t)
	l := &lister{err: errors.New("platform unavailable")}
	f := newFleet(l, clockwork.NewFakeClock())
	f.ApplyPeerList([]turmericwall.VM{{Name: "old", Service: "s"}})
	g.Expect(f.Upstreams("s")).To(HaveLen(1))
	l.vms, l.err = []turmericwall.VM{{Name: "new", Service: "s"}}, nil
	g.Expect(f.Refresh(t.Context())).To(Succeed())
	f.ApplyPeerList([]turmericwall.VM{{Name: "old", Service: "s"}})
	g.Expect(f.Upstreams("s")[0].Name).To(Equal("new"))
}
