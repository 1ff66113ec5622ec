package twupstreams_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twupstreams"
)

const (
	// firstEra and secondEra are versions of two eras; the second one begins with a copy of version 5.
	firstEra, secondEra = 1_000_000_000_000, 2_000_000_000_000
	// entryLifetime is how long the registry keeps the entry of an upstream that no longer writes it.
	entryLifetime = 3600 * time.Millisecond
)

// viewAtFive returns a view that lists a and b as ready at version 5 of the first era.
func viewAtFive() *twupstreams.View {
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.ApplyListing(start, firstEra+5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	v.RemoveMissing(start)
	return v
}

// Guards against calls to upstreams that left while the store was in an era whose last writes it has lost.
func TestCopyDoesNotRestoreUpstreamThatLeft(t *testing.T) {
	ready := []turmericwall.Upstream{upstream("a", false), upstream("b", false)}
	leaves := map[string]func(v *twupstreams.View){
		"said that it leaves": func(v *twupstreams.View) { v.Put(firstEra+6, upstream("a", true)) },
		"was removed":         func(v *twupstreams.View) { v.Remove(start, firstEra+6, "a") },
		"was removed by a peer": func(v *twupstreams.View) {
			v.ApplyPeerChanges(v.Position()+1, nil, []string{"a"})
		},
		"said that it leaves, and was removed": func(v *twupstreams.View) {
			v.Put(firstEra+6, upstream("a", true))
			v.Remove(start, firstEra+7, "a")
		},
		"was missing from a listing": func(v *twupstreams.View) {
			v.ApplyListing(start, firstEra+6, []turmericwall.Upstream{upstream("b", false)})
		},
	}
	returns := map[string]func(v *twupstreams.View){
		"a listing": func(v *twupstreams.View) { v.ApplyListing(start, secondEra+6, ready) },
		"a peer's whole view": func(v *twupstreams.View) {
			peer := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
			peer.ApplyListing(start, secondEra+6, ready)
			v.ApplyPeerView(peer.Position(), ready)
		},
	}
	for left, leave := range leaves {
		for returned, comeBack := range returns {
			t.Run(left+", then "+returned, func(t *testing.T) {
				g := NewWithT(t)
				v := viewAtFive()
				leave(v)
				comeBack(v)
				g.Expect(v.Version()).To(BeEquivalentTo(secondEra + 6))
				g.Expect(v.AcceptsCalls(upstream("a", false).Key())).To(BeFalse())
				g.Expect(v.AcceptsCalls(upstream("b", false).Key())).To(BeTrue())
			})
		}
	}
}

// Guards against upstreams that never get calls again, because their entries lapsed shortly before the store continued
// from a copy that has them.
func TestUpstreamOfCopyIsUsedOnceItsEntryOutlivesRemoval(t *testing.T) {
	g := NewWithT(t)
	leader, follower := viewAtFive(), viewAtFive()
	for _, v := range []*twupstreams.View{leader, follower} {
		v.Remove(start, firstEra+6, "a")
	}
	leader.ApplyListing(start, secondEra+6, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	position, list := leader.Snapshot()
	follower.ApplyPeerView(position, list)
	leader.RemoveMissing(start.Add(entryLifetime))
	g.Expect(leader.AcceptsCalls(upstream("a", false).Key())).To(BeFalse())
	leader.RemoveMissing(start.Add(entryLifetime + 2*time.Second))
	g.Expect(leader.AcceptsCalls(upstream("a", false).Key())).To(BeTrue())
	put, removed, position, ok := leader.ChangesSince(follower.Position())
	g.Expect(ok).To(BeTrue())
	follower.ApplyPeerChanges(position, put, removed)
	g.Expect(follower.AcceptsCalls(upstream("a", false).Key())).To(BeTrue())
}

// An upstream whose entry had lapsed writes it again after the store has continued from a copy. It must get calls.
func TestEntryWrittenInNewEraIsUsedAtOnce(t *testing.T) {
	g := NewWithT(t)
	v := viewAtFive()
	v.Remove(start, firstEra+6, "a")
	v.ApplyListing(start, secondEra+6, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	v.Put(secondEra+7, upstream("a", false))
	g.Expect(v.AcceptsCalls(upstream("a", false).Key())).To(BeTrue())
}

// Guards against followers in an earlier era that keep their upstreams, and against leaders in an earlier era that
// replace those of followers in a later one.
func TestPeersOfTwoErasFollowTheLaterOne(t *testing.T) {
	g := NewWithT(t)
	behind, ahead := viewAtFive(), viewAtFive()
	for version := int64(firstEra + 6); version < firstEra+70; version++ {
		behind.Put(version, upstream("c", false))
	}
	ahead.ApplyListing(start, secondEra+6, []turmericwall.Upstream{upstream("b", false)})
	oldPosition, oldList := behind.Snapshot()
	_, _, _, ok := ahead.ChangesSince(oldPosition)
	g.Expect(ok).To(BeFalse(), "no changes lead from the earlier era to the later one")
	ahead.ApplyPeerView(oldPosition, oldList)
	g.Expect(ids(ahead)).To(Equal([]string{"b"}))
	position, list := ahead.Snapshot()
	behind.ApplyPeerView(position, list)
	g.Expect(ids(behind)).To(Equal([]string{"b"}))
}

// Guards against an upstream that is held out after one return from a copy and counts as leaving for good after a second
// one.
func TestSecondReturnFromCopyKeepsHoldingOut(t *testing.T) {
	g := NewWithT(t)
	v := viewAtFive()
	v.Remove(start, firstEra+6, "a")
	list := []turmericwall.Upstream{upstream("a", false), upstream("b", false)}
	v.ApplyListing(start, secondEra+6, list)
	v.ApplyListing(start, secondEra+firstEra+6, list)
	g.Expect(v.AcceptsCalls(upstream("a", false).Key())).To(BeFalse())
	v.RemoveMissing(start.Add(entryLifetime + 2*time.Second))
	g.Expect(v.AcceptsCalls(upstream("a", false).Key())).To(BeTrue())
}

// Guards against an upstream that gets no calls after a return from a copy although it had registered again before.
func TestUpstreamRegisteredAgainIsNotHeldOut(t *testing.T) {
	g := NewWithT(t)
	v := viewAtFive()
	v.Remove(start, firstEra+6, "a")
	v.Put(firstEra+7, upstream("a", false))
	v.ApplyListing(start, secondEra+6, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	g.Expect(v.AcceptsCalls(upstream("a", false).Key())).To(BeTrue())
}
