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

type lister struct {
	vms []turmericwall.VM
	err error
}

func (l *lister) List(context.Context) ([]turmericwall.VM, error) { return l.vms, l.err }

func newFleet(l *lister, clock clockwork.Clock) *twfleet.Fleet {
	return twfleet.New(twfleet.Config{Lister: l, Clock: clock, Recorder: tweventlog.New(tweventlog.Config{Output: discard{}, Trace: twtrace.New()})})
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// The platform's list is down at this daemon, and a peer whose list is not says that an engine leaves.
// The engine counts as leaving here as well, as long as the peer goes on saying so.
func TestLeavingIsHeardFromPeers(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	l := &lister{vms: []turmericwall.VM{{Name: "e", Service: "s", State: turmericwall.VMLive}}}
	f := newFleet(l, clock)
	g.Expect(f.Refresh(t.Context())).To(Succeed())
	l.err = errors.New("down")
	g.Expect(f.Refresh(t.Context())).NotTo(Succeed())
	g.Expect(f.Upstreams("s")[0].State).To(Equal(turmericwall.VMLive))
	f.Hear([]string{"e"})
	g.Expect(f.Upstreams("s")[0].State).To(Equal(turmericwall.VMLeaving))
	clock.Advance(11 * time.Second)
	g.Expect(f.Upstreams("s")[0].State).To(Equal(turmericwall.VMLive))
}

// A daemon that could not read any list takes a peer's; one that has its own does not go back to it.
func TestPeersListIsForBeginners(t *testing.T) {
	g := NewWithT(t)
	l := &lister{err: errors.New("down")}
	f := newFleet(l, clockwork.NewFakeClock())
	f.Offer([]turmericwall.VM{{Name: "old", Service: "s"}})
	g.Expect(f.Upstreams("s")).To(HaveLen(1))
	l.vms, l.err = []turmericwall.VM{{Name: "new", Service: "s"}}, nil
	g.Expect(f.Refresh(t.Context())).To(Succeed())
	f.Offer([]turmericwall.VM{{Name: "old", Service: "s"}})
	g.Expect(f.Upstreams("s")[0].Name).To(Equal("new"))
}
