// Package twlease decides who may hold the leader's lease. It reads and writes nothing itself.
package twlease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// termSpan is how long a holder may act after the last renewal that it sent and that was confirmed.
	termSpan = 3 * time.Second
	// RenewEvery is the pause between two renewals: two may be lost within a term.
	RenewEvery = time.Second
	// silentSpan is how long the row must stay unchanged before another daemon takes it: a renewal and a half.
	silentSpan = 1600 * time.Millisecond
	// handoverMargin is added to the pause between the orders of two holders.
	handoverMargin = 500 * time.Millisecond
)

// Config describes who wants the lease.
type Config struct {
	Self turmericwall.Member
	// Apart is the least time between the orders of two holders.
	Apart time.Duration
}

// Lease is one daemon's knowledge of the lease's row.
//
// Holding the row lets a daemon place calls at once: two that do so cost speed only. Orders to engines are told
// apart by time alone, since engines need not check fencing numbers: a new holder waits until the last order
// that the former may have sent is older than Apart, and a holder stops when its term is over by the clock that
// goes on during a suspension.
type Lease struct {
	config Config
	// row is the row as last seen, seenAt when it was first seen so.
	version int64
	seen    bool
	seenAt  twboottime.Moment
	holder  turmericwall.Member
	// fence is the version at which this daemon took the row; 0 while it does not hold it.
	fence   int64
	termEnd twboottime.Moment
	// released tells that the row was given up: the holder places calls until another one does, and orders nothing.
	released   bool
	ordersFrom twboottime.Moment
}

// Row is the lease as it stands in the store.
type Row struct {
	Holder turmericwall.Member `json:"holder"`
	// Fence is the version before the row was taken over; it is unique to the holder and grows.
	Fence int64 `json:"fence"`
}

// Intent is a write that the lease wants.
type Intent struct {
	// IfVersion is the version that the row must have.
	IfVersion int64
	Value     []byte
}

// New returns a lease of which nothing is known.
func New(config Config) *Lease { return &Lease{config: config} }

// Seen takes the row as read from the store; version 0 tells that there is none.
func (l *Lease) Seen(now twboottime.Moment, version int64, value []byte) {
	if l.seen && version == l.version {
		return
	}
	var row Row
	if version > 0 && json.Unmarshal(value, &row) != nil {
		row = Row{}
	}
	l.seen = true
	l.version = version
	l.seenAt = now
	l.holder = row.Holder
	if row.Holder != l.config.Self {
		l.fence = 0
		return
	}
	if l.fence == 0 {
		l.taken(now, row.Fence)
	}
}

// Told takes the row's version as its holder tells it.
//
// The row must stay unchanged for silentSpan before another daemon takes it, counted from the holder's last news and not
// from the first read after it fell silent.
func (l *Lease) Told(now twboottime.Moment, version int64, holder turmericwall.Member) {
	if l.fence != 0 || version <= l.version {
		return
	}
	l.seen = true
	l.version = version
	l.seenAt = now
	l.holder = holder
}

// Version is the row's version as last seen.
func (l *Lease) Version() int64 { return l.version }

// Next returns the write that is due, if any.
//
// A row that names an earlier incarnation of this daemon is taken at once: that one has ended, or this one could not run.
// After all daemons had lost power, they placed calls alone for two seconds while the row seemed to be held. Its last
// order may still be on its way, so orders wait as after any other holder.
func (l *Lease) Next(now twboottime.Moment) (Intent, bool) {
	if !l.seen {
		return Intent{}, false
	}
	if l.released {
		return Intent{}, false
	}
	free := l.holder == turmericwall.Member{} || l.holder.Name == l.config.Self.Name
	if l.fence == 0 && l.version > 0 && !free && now.Sub(l.seenAt) < silentSpan {
		return Intent{}, false
	}
	fence := l.fence
	if fence == 0 {
		fence = l.version + 1
	}
	value, err := json.Marshal(Row{Holder: l.config.Self, Fence: fence})
	if err != nil {
		panic(fmt.Sprintf("a lease's row can always be encoded: %v", err))
	}
	return Intent{IfVersion: l.version, Value: value}, true
}

// Release returns the write that gives the lease up, so that another daemon need not wait for it to fall silent.
func (l *Lease) Release() (Intent, bool) {
	if l.fence == 0 {
		return Intent{}, false
	}
	value, err := json.Marshal(Row{Fence: l.fence})
	if err != nil {
		panic(fmt.Sprintf("a lease's row can always be encoded: %v", err))
	}
	return Intent{IfVersion: l.version, Value: value}, true
}

// Released takes the lease as given up, whether or not the write was confirmed: this daemon orders nothing more. It still
// holds the place of the leader until another daemon takes it, so that calls need not be placed alone meanwhile.
func (l *Lease) Released() { l.released = true }

// Lost ends this daemon's part as leader: another one has a later term.
func (l *Lease) Lost() {
	l.fence = 0
	l.seen = false
}

// Written takes a confirmed write that was begun at sentAt.
func (l *Lease) Written(sentAt twboottime.Moment, intent Intent, version int64) {
	if l.fence == 0 {
		l.taken(sentAt, intent.IfVersion+1)
	}
	l.version = version
	l.seenAt = sentAt
	l.holder = l.config.Self
	l.termEnd = sentAt.Add(termSpan)
}

// taken notes a takeover, which may be learned only by reading the row back after a write without an answer. Its
// term begins with the next confirmed renewal.
func (l *Lease) taken(now twboottime.Moment, fence int64) {
	l.fence = fence
	l.ordersFrom = now
	if fence > 1 {
		l.ordersFrom = now.Add(termSpan + l.config.Apart + handoverMargin)
	}
}

// Holds tells that this daemon is the leader as far as it knows.
func (l *Lease) Holds() bool { return l.fence != 0 }

// Fence returns the fencing number for orders; ok is false when this daemon may not order now.
func (l *Lease) Fence(now twboottime.Moment) (fence int64, ok bool) {
	if l.fence == 0 || l.released || now >= l.termEnd || now < l.ordersFrom {
		return 0, false
	}
	return l.fence, true
}

// Expired tells that this daemon holds the lease, but that its last renewal was confirmed more than a term ago.
func (l *Lease) Expired(now twboottime.Moment) bool {
	return l.fence != 0 && l.termEnd != 0 && now >= l.termEnd
}

// Term is the number of the leader's term.
func (l *Lease) Term() int64 { return l.fence }

// Holder is who holds the row as last seen.
func (l *Lease) Holder() turmericwall.Member { return l.holder }
