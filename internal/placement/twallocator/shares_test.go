package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// accountRequest returns a request of the account from the first daemon.
func accountRequest(id, account string, at time.Time) turmericwall.PlaceRequest {
	request := placeRequest(id, at, 5000, 4500)
	request.Account = account
	return request
}

// Guards against the last capacity going to the account that has most of it: while it is placed by one leader, once a new
// one has learnt the placed calls, and at a daemon that places its own calls without a leader.
func TestCallOfTheAccountThatUsedLeastIsPlacedFirst(t *testing.T) {
	used := []string{"large", "large", "other", "large"}
	for name, prepare := range map[string]func(a *twallocator.Allocator){
		"same leader": func(a *twallocator.Allocator) {
			for n, account := range used {
				a.Enqueue(start, accountRequest(fmt.Sprint("run", n), account, start))
			}
			a.Decide(start)
		},
		"new leader": func(a *twallocator.Allocator) {
			for n, account := range used {
				a.Adopt(start, turmericwall.PlacedCall{
					Request: accountRequest(fmt.Sprint("run", n), account, start), Engine: "d00", AgeMillis: 100,
				})
			}
		},
		"no leader": func(a *twallocator.Allocator) {
			a.SetPartial(true)
			for n, account := range used {
				a.Enqueue(start, accountRequest(fmt.Sprint("run", n), account, start))
			}
			a.Decide(start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := newAllocator(2, 1)
			prepare(a)
			at := start.Add(time.Millisecond)
			for n := range 8 {
				a.Enqueue(at, accountRequest(fmt.Sprint("large", n), "large", at))
			}
			later := accountRequest("small", "small", at.Add(100*time.Millisecond))
			a.Enqueue(at, later)
			d := a.Decide(at)
			g.Expect(d.Placed).NotTo(BeEmpty())
			g.Expect(d.Placed[0].ID).To(Equal("small"))
			g.Expect(len(d.Placed)).To(BeNumerically("<", 9), "memory does not suffice for all calls")
		})
	}
}

// Guards against a call whose prefill was lost that goes to the end of the queue and is refused after it had been placed.
func TestCallWhosePrefillWasLostKeepsItsTurn(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(4, 1)
	for n := range 12 {
		a.Enqueue(start, accountRequest(fmt.Sprint("a", n), "small", start))
	}
	lost := accountRequest("lost/1", "large", start.Add(500*time.Millisecond))
	lost.PrefillLost = true
	a.Enqueue(start, lost)
	g.Expect(a.Decide(start).Placed[0].ID).To(Equal("lost/1"))
}

// Guards against a call that counts as late when its prefill is lost, because the time since it was read is deducted twice
// from its target.
func TestCallWhosePrefillWasLostIsLateAfterItsTargetOnly(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(2, 2)
	request := accountRequest("a/0", "small", start)
	request.ReceivedAt = start
	a.Enqueue(start, request)
	g.Expect(a.Decide(start).Placed).To(HaveLen(1))
	later := start.Add(500 * time.Millisecond)
	a.ApplyUpdate(later, turmericwall.PlacementUpdate{ID: "a/0", NotRun: true})
	request.ID, request.PrefillLost = "a/1", true
	a.Enqueue(later, request)
	d := a.Decide(later)
	g.Expect(d.Placed).To(HaveLen(1))
	g.Expect(d.Placed[0].Late).To(BeFalse())
}

// Guards against an account that counts as far above its share for good, because the ends of its calls were lost or their
// daemon or engine has terminated.
func TestUseEndsWithoutAReportOfTheEnd(t *testing.T) {
	for name, end := range map[string]func(a *twallocator.Allocator){
		"end lost":       func(a *twallocator.Allocator) { a.Sweep(start.Add(2 * time.Minute)) },
		"daemon lost":    func(a *twallocator.Allocator) { a.ReleaseOwner("o") },
		"engine removed": func(a *twallocator.Allocator) { a.SetEngines(start, engines(2, 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := newAllocator(2, 1)
			a.Enqueue(start, accountRequest("a", "large", start))
			a.Decide(start)
			g.Expect(a.Shares()).To(HaveLen(1))
			end(a)
			g.Expect(a.Shares()).To(BeEmpty())
		})
	}
}

// Guards against less urgent calls that take the last capacity because their account has used little.
func TestPriorityGoesBeforeShares(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(4, 1)
	a.Enqueue(start, accountRequest("run", "large", start))
	a.Decide(start)
	lessUrgent := accountRequest("lessUrgent", "small", start)
	lessUrgent.Priority = 2
	a.Enqueue(start, lessUrgent)
	a.Enqueue(start, accountRequest("urgent", "large", start))
	g.Expect(a.Decide(start).Placed[0].ID).To(Equal("urgent"))
}

// fillMemory places runs that fill the memory of one engine for seconds.
func fillMemory(a *twallocator.Allocator) {
	for n := range 9 {
		a.Adopt(start, turmericwall.PlacedCall{
			Request: placeRequest(fmt.Sprint("run", n), start, 8000, 6000), Engine: "d00", AgeMillis: 100,
		})
	}
}

// Guards against a late retry that is held for seconds for memory that will not be there, and against a retry time at which
// it isn't there either.
func TestLateRetryWithoutRoomIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(2, 1)
	fillMemory(a)
	a.Enqueue(start, placeRequest("first", start, 5000, 4500))
	d := a.Decide(start)
	g.Expect(d.Refused).To(HaveLen(1))
	g.Expect(d.Refused[0].RetryAt).To(BeTemporally(">", start.Add(2*time.Second)), "the runs take four seconds")
	later := start.Add(1100 * time.Millisecond)
	again := placeRequest("second", later, 5000, 4500)
	again.Work.Subject, again.CallerDeadline = "first", start.Add(13*time.Second)
	a.Enqueue(later, again)
	d = a.Decide(later)
	g.Expect(d.Refused).To(HaveLen(1))
	g.Expect(d.Refused[0].Cause).To(Equal(turmericwall.RefusedAsLate))
}

// Guards against a call that waits beyond an eighth of its target for a prefill that can't end in time: the backlog shrinks
// no faster than the time that is left.
func TestCallWithoutPrefillInTimeIsRefusedWithinAnEighthOfItsTarget(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 6)
	for n := range 60 {
		a.Enqueue(start, placeRequest(fmt.Sprint("c", n), start, 5000, 3000))
	}
	for at := start; at.Before(start.Add(150 * time.Millisecond)); at = at.Add(20 * time.Millisecond) {
		for _, r := range a.Decide(at).Refused {
			g.Expect(r.Cause).To(Or(Equal(turmericwall.RefusedForPrefill), Equal(turmericwall.RefusedForMemory)))
		}
	}
	g.Expect(a.Waiting()).To(BeZero())
}
