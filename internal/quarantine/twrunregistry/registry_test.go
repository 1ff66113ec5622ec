package twrunregistry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twrunregistry"
)

var start = time.Unix(1_000, 0)

func run(call, owner string) twrunregistry.Run {
	return twrunregistry.Run{Call: call, Owner: owner, Input: turmericwall.Input{Service: "s", Request: "r", Stream: "stream"}}
}

// Guards against more runs under one request than upstreams may end under it, and against runs that are forgotten with their
// daemon.
func TestRunsOfOtherCallsAreCountedUntilTheyHaveEnded(t *testing.T) {
	g := NewWithT(t)
	r := twrunregistry.New()
	engine := turmericwall.UpstreamKey{ID: "e"}
	g.Expect(r.Begin(start, "a/0", run("a", "d1"), 2)).To(BeTrue())
	g.Expect(r.Begin(start, "a/1", run("a", "d1"), 1)).To(BeTrue(), "a further run of the same call")
	g.Expect(r.Begin(start, "b/0", run("b", "d2"), 2)).To(BeTrue())
	g.Expect(r.Begin(start, "c/0", run("c", "d1"), 2)).To(BeFalse())
	r.Place(start, "a/1", engine)
	r.End(start, "a/0", start)
	r.End(start, "b/0", start.Add(time.Second))
	r.Expire(start.Add(500 * time.Millisecond))
	g.Expect(r.Begin(start, "c/0", run("c", "d1"), 2)).To(BeFalse(), "whether its engine has ended isn't known yet")
	r.Expire(start.Add(2 * time.Second))
	g.Expect(r.Begin(start, "c/0", run("c", "d1"), 2)).To(BeTrue())
	lost := r.TakeOwner("d1")
	g.Expect(lost).To(HaveLen(1), "the run that was placed")
	g.Expect(lost[0].Upstreams).To(Equal([]turmericwall.UpstreamKey{engine}))
	g.Expect(r.Begin(start, "d/0", run("d", "d2"), 1)).To(BeTrue(), "nothing is left")
}
