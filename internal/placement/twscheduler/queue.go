package twscheduler

import (
	"sort"
	"time"

	"github.com/turmericwall/turmericwall"
)

// maxQueue bounds the arrivals of one kind of work that wait at one leader.
const maxQueue = 4096

// class orders the kinds of work.
type class int

const (
	// classResumed continues answers that have begun.
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
// Kinds share decode places by weighted fair queueing: each kind's virtual time grows with the slot
// time it took, divided by its worth for a second of slot time. The kind with the lowest virtual time
// goes first, so that under overload most places go where they bring most, and no kind starves.
type queue struct {
	work    string
	model   string
	class   class
	virtual float64
	entries []*entry
	// blocked queues have no place in this round.
	blocked bool
}

// entry is one waiting arrival.
type entry struct {
	arrival turmericwall.Arrival
	// latestStart is when the prefill must start for the first token to be in time; zero sets none.
	latestStart time.Time
}

func (q *queue) head() *entry { return q.entries[0] }

func (q *queue) pop() { q.entries = q.entries[1:] }

// push keeps the entries in the order of their deadlines; entries without one keep their order.
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

// noteLatestStart remembers how late the prefill may start, from the first look at the engines.
func (e *entry) noteLatestStart(compute time.Duration) {
	if e.latestStart.IsZero() && !e.arrival.FirstTokenDeadline.IsZero() && !e.arrival.Resumed {
		e.latestStart = e.arrival.FirstTokenDeadline.Add(-compute)
	}
}
