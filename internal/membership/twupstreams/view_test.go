package twupstreams_test

import (
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

func TestRemovedUpstreamIsGoneAtOnce(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.List(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	v.Remove(start, 6, "a")
	g.Expect(ids(v)).To(Equal([]string{"b"}))
	g.Expect(v.Takes(upstream("a", false).Key())).To(BeFalse())
}

// The store is away and all upstreams' entries lapse, though the upstreams live. At its return the list is empty for
// up to two seconds. Callers must still be served meanwhile; what is missing after that is gone.
func TestEntriesThatLapseInAnOutageAreKeptUntilTheyCanBeBack(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.List(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	v.Lost()
	v.Regained(start, start.Add(-5*time.Second))
	v.List(start, 9, nil)
	v.Sweep(start.Add(1900 * time.Millisecond))
	g.Expect(ids(v)).To(Equal([]string{"a", "b"}))
	v.Put(10, upstream("b", false))
	v.Sweep(start.Add(2100 * time.Millisecond))
	g.Expect(ids(v)).To(Equal([]string{"b"}))
}

// A lagging replica answers with an older list after a newer change. An upstream that was seen leaving must not be
// taken for a live one again.
func TestAnOlderListIsIgnored(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.List(start, 5, []turmericwall.Upstream{upstream("a", false)})
	v.Put(8, upstream("a", true))
	v.List(start, 6, []turmericwall.Upstream{upstream("a", false)})
	g.Expect(v.Takes(upstream("a", false).Key())).To(BeFalse())
	g.Expect(v.Version()).To(BeEquivalentTo(8))
}

// An upstream restarts under its old id. Work that was placed on the incarnation before must not be sent to this one.
func TestAnotherIncarnationDoesNotTakeOldWork(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.Put(1, upstream("a", false))
	reborn := upstream("a", false)
	reborn.StartedMillis = 6
	v.Put(2, reborn)
	g.Expect(v.Takes(upstream("a", false).Key())).To(BeFalse())
	g.Expect(v.Takes(reborn.Key())).To(BeTrue())
}

func TestFollowersGetWhatChanged(t *testing.T) {
	g := NewWithT(t)
	leader, follower := twupstreams.New(twupstreams.Config{LapseMillis: 1800}), twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	leader.List(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	listed := leader.Position()
	_, _, _, ok := leader.Since(listed - 1)
	g.Expect(ok).To(BeFalse(), "changes before the list are unknown")
	follower.FollowAll(listed, leader.All())
	leader.Put(7, upstream("a", true))
	leader.Remove(start, 8, "b")
	leader.Put(9, upstream("c", false))
	put, removed, position, ok := leader.Since(listed)
	g.Expect([]any{put, removed, position, ok}).To(Equal([]any{[]turmericwall.Upstream{upstream("a", true), upstream("c", false)}, []string{"b"}, leader.Position(), true}))
	follower.Follow(position, put, removed)
	g.Expect(follower.All()).To(Equal(leader.All()))
	g.Expect(follower.Version()).To(BeEquivalentTo(9))
	put, removed, _, ok = leader.Since(position)
	g.Expect([]any{len(put), len(removed), ok}).To(Equal([]any{0, 0, true}))
	for i := range 300 {
		leader.Put(int64(10+i), upstream("c", false))
	}
	_, _, _, ok = leader.Since(position)
	g.Expect(ok).To(BeFalse(), "too far behind")
}

// The leader drops upstreams that did not come back after an outage, though nothing changed in the registry. Its
// followers must hear of that as of any other change.
func TestFollowersHearOfWhatWasDroppedAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	leader := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	leader.List(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	leader.Lost()
	leader.Regained(start, start.Add(-5*time.Second))
	leader.List(start, 6, []turmericwall.Upstream{upstream("a", false)})
	before := leader.Position()
	leader.Sweep(start.Add(3 * time.Second))
	put, removed, position, ok := leader.Since(before)
	g.Expect([]any{len(put), removed, ok}).To(Equal([]any{0, []string{"b"}, true}))
	g.Expect(position).To(BeNumerically(">", before))
}

// The leader drops an upstream after an outage, and its followers hear of it. The registry's very next version says that
// another upstream leaves. Followers must hear of that too; had the drop taken that version, they would send calls to
// the leaving upstream until something else changes.
func TestADropDoesNotHideTheNextChange(t *testing.T) {
	g := NewWithT(t)
	leader, follower := twupstreams.New(twupstreams.Config{LapseMillis: 1800}), twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	leader.List(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	leader.Lost()
	leader.Regained(start, start.Add(-5*time.Second))
	leader.List(start, 6, []turmericwall.Upstream{upstream("a", false)})
	leader.Sweep(start.Add(3 * time.Second))
	follower.FollowAll(leader.Position(), leader.All())
	leader.Put(7, upstream("a", true))
	g.Expect(leader.Position()).To(BeNumerically(">", follower.Position()))
	put, removed, position, ok := leader.Since(follower.Position())
	g.Expect(ok).To(BeTrue())
	follower.Follow(position, put, removed)
	g.Expect(follower.Takes(upstream("a", false).Key())).To(BeFalse())
}

// Changes of the registry are silent for a second while an upstream's entry is removed, and then the history is gone.
// The daemon lists all entries anew. No living upstream's entry lapses in a second, so the missing one has left; kept
// like one that lapsed in an outage, it got calls for two more seconds, past the bound for leaving upstreams.
func TestAnEntryThatIsMissingAfterAShortGapHasLeft(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.List(start, 5, []turmericwall.Upstream{upstream("a", false), upstream("b", false)})
	v.Lost()
	v.Regained(start, start.Add(-1200*time.Millisecond))
	v.List(start, 9, []turmericwall.Upstream{upstream("a", false)})
	g.Expect(ids(v)).To(Equal([]string{"a"}))
}

// Guards against a registry's older entry that undoes what an upstream announced in its answers.
func TestAnAnnouncedEndIsNotUndoneByTheRegistry(t *testing.T) {
	a := upstream("a", false)
	for _, c := range []struct {
		name string
		then func(v *twupstreams.View)
	}{
		{"nothing", func(*twupstreams.View) {}},
		{"a list", func(v *twupstreams.View) { v.List(start, 6, []turmericwall.Upstream{a}) }},
		{"an entry", func(v *twupstreams.View) { v.Put(6, a) }},
		{"a peer's changes", func(v *twupstreams.View) { v.Follow(v.Position()+1, []turmericwall.Upstream{a}, nil) }},
		{"a peer's whole view", func(v *twupstreams.View) { v.FollowAll(v.Position()+1, []turmericwall.Upstream{a}) }},
		{"an entry that lapsed and came back", func(v *twupstreams.View) {
			v.Remove(start, 6, "a")
			v.Sweep(start.Add(time.Minute))
			v.Put(7, a)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
			v.List(start, 5, []turmericwall.Upstream{a, upstream("b", false)})
			position := v.Position()
			g.Expect(v.Announced(start, a.Key())).To(BeTrue())
			g.Expect(v.Announced(start, a.Key())).To(BeFalse(), "told once")
			g.Expect(v.Position()).To(Equal(position), "followers count changes by the registry's alone")
			c.then(v)
			g.Expect(v.Takes(a.Key())).To(BeFalse())
			g.Expect(v.Upstreams("s")[0].Leaving).To(BeTrue())
			g.Expect(v.AllAnnounced()).To(Equal([]turmericwall.UpstreamKey{a.Key()}))
		})
	}
}

// Guards against heartbeats that repeat what the registry says of hundreds of leaving upstreams.
func TestAnAnnouncementIsSharedOnlyWhileTheRegistryDoesNotHaveIt(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	v.List(start, 5, []turmericwall.Upstream{upstream("a", false)})
	v.Announced(start, upstream("a", false).Key())
	g.Expect(v.AllAnnounced()).To(HaveLen(1))
	v.Put(6, upstream("a", true))
	g.Expect(v.AllAnnounced()).To(BeEmpty())
}

func TestAnUpstreamThatStartsAgainAnnouncedNothing(t *testing.T) {
	g := NewWithT(t)
	v := twupstreams.New(twupstreams.Config{LapseMillis: 1800})
	a := upstream("a", false)
	v.List(start, 5, []turmericwall.Upstream{a})
	v.Announced(start, a.Key())
	a.StartedMillis++
	v.Put(6, a)
	g.Expect(v.Takes(a.Key())).To(BeTrue())
	g.Expect(v.AllAnnounced()).To(BeEmpty())
	v.Sweep(start.Add(11 * time.Minute))
	g.Expect(v.Announced(start, upstream("a", false).Key())).To(BeTrue(), "forgotten by then")
}
