package twupstreams_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twupstreams"
)

var start = time.Unix(1000, 0)

func upstream(id string, leaving bool) turmericwall.Upstream {
	return turmericwall.Upstream{ID: id, Service: "s", Leaving: leaving, StartedMillis: 5}
}

func ids(v *twupstreams.View) []string {
	var list []string
	for _, u := range v.Upstreams("s") {
		list = append(list, u.ID)
	}
	return list
}

func TestRemovedUpstreamIsNotListed(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.ApplyListing(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	v.Remove(start, 6, "a")
	g.Expect(ids(v)).To(Equal([]string{"b"}))
	g.Expect(v.AcceptsCalls(upstream("a", false).Key())).To(BeFalse())
}

// The store is unavailable and all upstreams' entries lapse, though the upstreams run. After the outage listings are
// incomplete for up to two seconds. Calls must still be placed meanwhile; what is missing after that is removed.
func TestEntriesMissingAfterOutageAreKeptUntilReregistration(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.ApplyListing(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	v.MarkUnavailable()
	v.MarkAvailable(start, start.Add(-5*time.Second))
	v.ApplyListing(start, 9, nil)
	v.RemoveMissing(start.Add(1900 * time.Millisecond))
	g.Expect(ids(v)).To(Equal([]string{"a", "b"}))
	v.Put(10, upstream("b", false))
	v.RemoveMissing(start.Add(2100 * time.Millisecond))
	g.Expect(ids(v)).To(Equal([]string{"b"}))
}

// A lagging replica answers with an older listing after a newer change. An upstream that was listed as leaving must
// not count as accepting calls again.
func TestOlderListingIsIgnored(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.ApplyListing(start, 5, []turmericwall.Upstream{upstream("a", false)})
	v.Put(8, upstream("a", true))
	v.ApplyListing(start, 6, []turmericwall.Upstream{upstream("a", false)})
	g.Expect(v.AcceptsCalls(upstream("a", false).Key())).To(BeFalse())
	g.Expect(v.Version()).To(BeEquivalentTo(8))
}

// An upstream restarts under its id. A call that was placed on its former incarnation must not be sent to the new
// one.
func TestNewIncarnationDoesNotAcceptCallsOfFormerOne(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.Put(1, upstream("a", false))
	restarted := upstream("a", false)
	restarted.StartedMillis = 6
	v.Put(2, restarted)
	g.Expect(v.AcceptsCalls(upstream("a", false).Key())).To(BeFalse())
	g.Expect(v.AcceptsCalls(restarted.Key())).To(BeTrue())
}

func TestFollowersGetChanges(t *testing.T) {
	g := NewWithT(t)
	leader, follower := twupstreams.New(twupstreams.Config{LapseMillis: 1800}), twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	leader.ApplyListing(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	listedPosition := leader.Position()
	_, _, _, ok := leader.ChangesSince(listedPosition - 1)
	g.Expect(ok).To(BeFalse(), "changes before the listing are not kept")
	follower.ApplyPeerView(listedPosition, leader.All())
	leader.Put(7, upstream("a", true))
	leader.Remove(start, 8, "b")
	leader.Put(9, upstream("c", false))
	put, removed, position, ok := leader.ChangesSince(listedPosition)
	g.Expect([]any{put, removed, position, ok}).To(Equal([]any{
		[]turmericwall.Upstream{upstream("a", true), upstream("c", false)}, []string{"b"}, leader.Position(), true,
	}))
	follower.ApplyPeerChanges(position, put, removed)
	g.Expect(follower.All()).To(Equal(leader.All()))
	g.Expect(follower.Version()).To(BeEquivalentTo(9))
	put, removed, _, ok = leader.ChangesSince(position)
	g.Expect([]any{len(put), len(removed), ok}).To(Equal([]any{0, 0, true}))
	for i := range 300 {
		leader.Put(int64(10+i), upstream("c", false))
	}
	_, _, _, ok = leader.ChangesSince(position)
	g.Expect(ok).To(BeFalse(), "too far behind")
}

// The leader removes upstreams that were not registered again after an outage, though nothing changed in the
// registry. Its followers must get that removal like any other change.
func TestFollowersGetRemovalsAfterOutage(t *testing.T) {
	g := NewWithT(t)
	leader := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	leader.ApplyListing(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	leader.MarkUnavailable()
	leader.MarkAvailable(start, start.Add(-5*time.Second))
	leader.ApplyListing(start, 6, []turmericwall.Upstream{upstream("a", false)})
	before := leader.Position()
	leader.RemoveMissing(start.Add(3 * time.Second))
	put, removed, position, ok := leader.ChangesSince(before)
	g.Expect([]any{len(put), removed, ok}).To(Equal([]any{0, []string{"b"}, true}))
	g.Expect(position).To(BeNumerically(">", before))
}

// The leader removes an upstream after an outage, and its followers apply it. The next version of the registry lists
// another upstream as leaving. Followers must get that change; if the removal had taken its version, they would send
// calls to the leaving upstream until the next change.
func TestRemovalAfterOutageDoesNotHideNextChange(t *testing.T) {
	g := NewWithT(t)
	leader, follower := twupstreams.New(twupstreams.Config{LapseMillis: 1800}), twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	leader.ApplyListing(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	leader.MarkUnavailable()
	leader.MarkAvailable(start, start.Add(-5*time.Second))
	leader.ApplyListing(start, 6, []turmericwall.Upstream{upstream("a", false)})
	leader.RemoveMissing(start.Add(3 * time.Second))
	follower.ApplyPeerView(leader.Position(), leader.All())
	leader.Put(7, upstream("a", true))
	g.Expect(leader.Position()).To(BeNumerically(">", follower.Position()))
	put, removed, position, ok := leader.ChangesSince(follower.Position())
	g.Expect(ok).To(BeTrue())
	follower.ApplyPeerChanges(position, put, removed)
	g.Expect(follower.AcceptsCalls(upstream("a", false).Key())).To(BeFalse())
}

// No change of the registry arrives for a second, an upstream's entry is removed meanwhile, and the history is lost.
// The daemon lists all entries again. An entry of a running upstream does not lapse within a second, so the missing
// one has left; if it were kept as after an outage, it would get calls for two more seconds.
func TestEntryMissingAfterShortOutageIsRemoved(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.ApplyListing(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	v.MarkUnavailable()
	v.MarkAvailable(start, start.Add(-1200*time.Millisecond))
	v.ApplyListing(start, 9, []turmericwall.Upstream{upstream("a", false)})
	g.Expect(ids(v)).To(Equal([]string{"a"}))
}

// Guards against an older entry of the registry that cancels what an upstream announced in its answers.
func TestAnnouncedLeavingIsNotCancelledByRegistry(t *testing.T) {
	a := upstream("a", false)
	for _, c := range []struct {
		name  string
		apply func(v *twupstreams.View)
	}{
		{"no further change", func(*twupstreams.View) {}},
		{"a listing", func(v *twupstreams.View) { v.ApplyListing(start, 6, []turmericwall.Upstream{a}) }},
		{"an entry", func(v *twupstreams.View) { v.Put(6, a) }},
		{"a peer's changes", func(
			v *twupstreams.View,
		) {
			v.ApplyPeerChanges(v.Position()+1, []turmericwall.Upstream{a}, nil)
		}},
		{"a peer's whole view", func(
			v *twupstreams.View,
		) {
			v.ApplyPeerView(v.Position()+1, []turmericwall.Upstream{a})
		}},
		{"an entry that lapsed and was listed again", func(v *twupstreams.View) {
			v.Remove(start, 6, "a")
			v.RemoveMissing(start.Add(time.Minute))
			v.Put(7, a)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
			v.ApplyListing(start, 5, []turmericwall.Upstream{a, upstream("b", false)})
			position := v.Position()
			g.Expect(v.RecordAnnouncement(start, a.Key())).To(BeTrue())
			g.Expect(v.RecordAnnouncement(start, a.Key())).To(BeFalse(), "only the first announcement counts")
			g.Expect(v.Position()).To(Equal(position), "followers count only changes of the registry")
			c.apply(v)
			g.Expect(v.AcceptsCalls(a.Key())).To(BeFalse())
			g.Expect(v.Upstreams("s")[0].Leaving).To(BeTrue())
			g.Expect(v.AnnouncedLeaving()).To(Equal([]turmericwall.UpstreamKey{a.Key()}))
		})
	}
}

// Guards against heartbeats that repeat what the registry already lists for hundreds of leaving upstreams.
func TestAnnouncementIsSharedOnlyUntilRegistryListsIt(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.ApplyListing(start, 5, []turmericwall.Upstream{upstream("a", false)})
	v.RecordAnnouncement(start, upstream("a", false).Key())
	g.Expect(v.AnnouncedLeaving()).To(HaveLen(1))
	v.Put(6, upstream("a", true))
	g.Expect(v.AnnouncedLeaving()).To(BeEmpty())
}

func TestRestartedUpstreamHasNoAnnouncement(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	a := upstream("a", false)
	v.ApplyListing(start, 5, []turmericwall.Upstream{a})
	v.RecordAnnouncement(start, a.Key())
	a.StartedMillis++
	v.Put(6, a)
	g.Expect(v.AcceptsCalls(a.Key())).To(BeTrue())
	g.Expect(v.AnnouncedLeaving()).To(BeEmpty())
	v.RemoveMissing(start.Add(11 * time.Minute))
	g.Expect(v.RecordAnnouncement(start, upstream("a", false).Key())).To(BeTrue(), "the announcement has expired")
}

// Guards against lists that keep or lose an upstream, or are out of order, after any sequence of changes.
func TestListsEqualThoseBuiltAnew(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 9))
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	known := make(map[string]turmericwall.Upstream)
	for version := int64(1); version <= 400; version++ {
		var changes []twupstreams.Change
		for range 1 + random.IntN(6) {
			id := fmt.Sprint("u", random.IntN(40))
			if random.IntN(3) == 0 {
				changes = append(changes, twupstreams.Change{Version: version, ID: id, Removed: true})
				delete(known, id)
				continue
			}
			u := turmericwall.Upstream{
				ID: id, Service: fmt.Sprint("s", random.IntN(2)), Leaving: random.IntN(4) == 0, StartedMillis: 5,
			}
			changes = append(changes, twupstreams.Change{Version: version, ID: id, Upstream: u})
			known[id] = u
		}
		v.ApplyChanges(start, changes)
		for _, service := range []string{"s0", "s1"} {
			var want []turmericwall.Upstream
			for _, u := range known {
				if u.Service == service {
					want = append(want, u)
				}
			}
			sort.Slice(want, func(i, j int) bool { return want[i].ID < want[j].ID })
			g.Expect(v.Upstreams(service)).To(Equal(want))
		}
	}
}

// A release or a removal of engines changes a share of all upstreams within one heartbeat interval. Followers must get
// these changes alone, whatever the number of upstreams; else each of a thousand daemons fetches the whole list.
func TestChangesOfOneEighthOfUpstreamsAreKept(t *testing.T) {
	for _, count := range []int{1000, 10_000, 20_000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			var list []turmericwall.Upstream
			for i := range count {
				list = append(list, upstream(fmt.Sprintf("u%05d", i), false))
			}
			v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
			v.ApplyListing(start, 1, list)
			before := v.Position()
			for i := range count / 8 {
				v.Put(int64(2+i), upstream(fmt.Sprintf("u%05d", i), true))
			}
			put, removed, _, ok := v.ChangesSince(before)
			g.Expect(ok).To(BeTrue())
			g.Expect(put).To(HaveLen(count / 8))
			g.Expect(removed).To(BeEmpty())
		})
	}
}

// BenchmarkPut applies one change to a view of 1,000, 10,000 and 20,000 upstreams.
func BenchmarkPut(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var list []turmericwall.Upstream
			for i := range count {
				list = append(list, upstream(fmt.Sprintf("u%05d", i), false))
			}
			v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
			v.ApplyListing(start, 1, list)
			version := int64(1)
			for b.Loop() {
				version++
				v.Put(version, upstream(fmt.Sprintf("u%05d", version%int64(count)), version%2 == 0))
			}
		})
	}
}
