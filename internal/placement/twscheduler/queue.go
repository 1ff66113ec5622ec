package twscheduler

import (
	"sort"
	"time"

	"github.com/turmericwall/turmericwall"
)

// maxQueuedArrivals bounds the arrivals of one kind of work that wait at one leader.
const maxQueuedArrivals = 4096

// class is the priority class of an arrival; lower classes are placed first.
type class int

const (
	// classResumed holds attempts that continue a partial answer.
	classResumed class = iota
	classUrgent
	classDeferrable
)

func classOf(a turmericwall.Arrival) class {
	switch {
	case a.Resumed:
		return classResumed
	case a.Urgent:
		return classUrgent
	default:
		return classDeferrable
	}
}

// queue holds the waiting arrivals of one kind of work for one model.
//
// Kinds share decode slots by weighted fair queueing: a kind's virtual time grows with the slot time that it used,
// divided by its worth per second of slot time. The queue with the lowest virtual time goes first, so that under
// overload most slots go to the work with the highest worth, and no kind starves.
type queue struct {
	work        string
	model       string
	class       class
	virtualTime float64
	entries     []*entry
	// blocked is set for queues whose head has to wait in this round of dispatch.
	blocked bool
}

// entry is one waiting arrival.
type entry struct {
	arrival turmericwall.Arrival
	// latestStart is when the prefill must start for the first token to be in time; zero if there is no such limit.
	latestStart time.Time
}

func (q *queue) head() *entry { return q.entries[0] }

func (q *queue) pop() { q.entries = q.entries[1:] }

// push keeps the entries sorted by deadline; entries with the same deadline keep their order.
func (q *queue) push(e *entry) {
	at := sort.Search(len(q.entries), func(i int) bool {
		return q.entries[i].deadline().After(e.deadline())
	})
	q.entries = append(q.entries, nil)
	copy(q.entries[at+1:], q.entries[at:])
	q.entries[at] = e
}

func (q *queue) remove(match func(*entry) bool) []*entry {
	var removed []*entry
	kept := q.entries[:0]
	for _, e := range q.entries {
		if match(e) {
			removed = append(removed, e)
			continue
		}
		kept = append(kept, e)
	}
	for i := len(kept); i < len(q.entries); i++ {
		q.entries[i] = nil
	}
	q.entries = kept
	return removed
}

func (e *entry) deadline() time.Time {
	if !e.arrival.FirstTokenDeadline.IsZero() {
		return e.arrival.FirstTokenDeadline
	}
	return e.arrival.GiveUpDeadline
}

// recordLatestStart sets the latest start from the prefill time of the first attempt to place the entry.
func (e *entry) recordLatestStart(compute time.Duration) {
	if e.latestStart.IsZero() && !e.arrival.FirstTokenDeadline.IsZero() && !e.arrival.Resumed {
		e.latestStart = e.arrival.FirstTokenDeadline.Add(-compute)
	}
}
