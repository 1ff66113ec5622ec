// Package twlease holds the rules of the leader's lease: who may take, renew and release it, and when its holder may
// order engines. It does no I/O and starts no goroutine; package twelection reads and writes the row.
package twlease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twposition"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const (
	// termDuration is how long a holder may act after it sent the last renewal that was confirmed.
	termDuration = 3 * time.Second
	// RenewInterval is the time between two renewals: two may be lost within a term.
	RenewInterval = time.Second
	// takeoverTimeout is how long the row must stay unchanged before another daemon takes it: one and a half renewal
	// intervals.
	takeoverTimeout = 1600 * time.Millisecond
	// handoverMargin is added to the time between the orders of two holders.
	handoverMargin = 500 * time.Millisecond
)

// Config holds the settings of a lease.
type Config struct {
	Self turmericwall.Member
	// OrderGap is the least time between the last order of one holder and the first order of the next.
	OrderGap time.Duration
}

// Lease is one daemon's state of the lease's row. It is not safe for concurrent use.
//
// The holder may place calls at once: two daemons that both do so cost speed only. Orders to engines of two holders
// are kept apart by time alone, since engines need not check fencing tokens. A new holder waits until the last order
// that the former one may have sent is older than OrderGap. A holder stops sending orders when its term has expired
// by the clock that also runs while the VM is suspended.
type Lease struct {
	config Config
	// version is the version of the row as last seen, and seenAt when this daemon first saw that version.
	version int64
	seen    bool
	seenAt  twboottime.Instant
	// missingAt is the store's position at which the row was found missing; 0 while the row exists.
	missingAt int64
	// known is set once this daemon has seen a row.
	known  bool
	holder turmericwall.Member
	// fence is the fencing token of this daemon's term; 0 while it does not hold the row.
	fence        int64
	termDeadline twboottime.Instant
	// released is set once the row was released: the holder places calls until another daemon takes the row, but
	// sends no orders.
	released        bool
	ordersAllowedAt twboottime.Instant
}

// Row is the lease's row in the store.
type Row struct {
	Holder turmericwall.Member `json:"holder"`
	// Fence is one more than the row's version at the takeover. It is unique to the holder's term and grows with each
	// term, since versions order the eras of the store.
	Fence int64 `json:"fence"`
	// Era is the era of the version on which the write was conditional. A row of a later era with an earlier Era comes
	// from the copy with which that era began, or from a write that was performed late.
	Era int64 `json:"era,omitempty"`
}

// Write is a conditional write of the row that the lease asks for.
type Write struct {
	// IfVersion is the version that the row must have; 0 means that it must not exist.
	IfVersion int64
	Value     []byte
	// Fence is the fencing token in Value.
	Fence int64
}

// New returns a lease whose row has not been read yet.
func New(config Config) *Lease { return &Lease{config: config} }

// RecordMissing records that the row was missing at the store's position.
func (l *Lease) RecordMissing(now twboottime.Instant, position int64) {
	l.RecordRow(now, 0, nil)
	l.missingAt = position
}

// RecordRow records the row as read from the store; version 0 means that there is none.
func (l *Lease) RecordRow(now twboottime.Instant, version int64, value []byte) {
	if l.seen && version == l.version {
		return
	}
	eraChanged := era(version) != era(l.version)
	l.missingAt = 0
	l.known = l.known || version > 0
	var row Row
	if version > 0 && json.Unmarshal(value, &row) != nil {
		row = Row{}
	}
	l.seen = true
	l.version = version
	l.seenAt = now
	l.holder = row.Holder
	if row.Holder != l.config.Self || (eraChanged && !l.isTermValid(now)) {
		l.fence = 0
	}
	if row.Holder == l.config.Self && l.fence == 0 && row.Era == era(version) {
		l.startTerm(now, row.Fence, row.Fence > 1)
	}
}

// isTermValid reports whether no other daemon can have sent orders since this one's last confirmed write: it would have
// had to wait for the end of this term.
func (l *Lease) isTermValid(now twboottime.Instant) bool { return l.fence != 0 && now < l.termDeadline }

func era(version int64) int64 { return twposition.Position(version).Era() }

// RecordVersion records the version of the row that its holder sent in a heartbeat.
//
// The row must stay unchanged for takeoverTimeout before another daemon takes it. That time counts from the first
// heartbeat with the row's last version; counted from the first read after the heartbeats stopped, the takeover would
// come later by as much.
func (l *Lease) RecordVersion(now twboottime.Instant, version int64, holder turmericwall.Member) {
	if l.fence != 0 || version <= l.version {
		return
	}
	l.seen = true
	l.known = true
	l.version = version
	l.seenAt = now
	l.holder = holder
}

// Version returns the version of the row as last seen.
func (l *Lease) Version() int64 { return l.version }

// NextWrite returns the write that takes or renews the row, and whether one is due.
//
// A row that names an earlier incarnation of this daemon is taken at once: that incarnation has terminated, or this
// one could not run. Otherwise, after a power loss of all daemons, calls are placed locally for two seconds while the
// row still seems to be held. The last order of the earlier incarnation may still be in transit, so orders wait as
// after any other holder.
func (l *Lease) NextWrite(now twboottime.Instant) (Write, bool) {
	if !l.seen {
		return Write{}, false
	}
	if l.released {
		return Write{}, false
	}
	free := l.holder == turmericwall.Member{} || l.holder.Name == l.config.Self.Name
	if l.fence == 0 && l.version > 0 && !free && now.Sub(l.seenAt) < takeoverTimeout {
		return Write{}, false
	}
	fence := l.fence
	if fence == 0 {
		fence = max(l.version, l.missingAt) + 1
	}
	value, err := json.Marshal(Row{Holder: l.config.Self, Fence: fence, Era: era(max(l.version, l.missingAt))})
	if err != nil {
		panic(fmt.Sprintf("encode the lease's row: %v", err))
	}
	return Write{IfVersion: l.version, Value: value, Fence: fence}, true
}

// ReleaseWrite returns the write that releases the row, so that another daemon need not wait for takeoverTimeout, and
// whether this daemon holds the row at all.
func (l *Lease) ReleaseWrite() (Write, bool) {
	if l.fence == 0 {
		return Write{}, false
	}
	value, err := json.Marshal(Row{Fence: l.fence, Era: era(l.version)})
	if err != nil {
		panic(fmt.Sprintf("encode the lease's row: %v", err))
	}
	return Write{IfVersion: l.version, Value: value, Fence: l.fence}, true
}

// MarkReleased records that the lease was released, whether or not the write was confirmed: this daemon sends no more
// orders. It stays the leader until another daemon takes the row, so that calls need not be placed locally meanwhile.
func (l *Lease) MarkReleased() { l.released = true }

// Yield ends this daemon's leadership, because another daemon has a later term.
func (l *Lease) Yield() {
	l.fence = 0
	l.seen = false
}

// ConfirmWrite records a confirmed write that was sent at sentAt, and the row's version after it.
//
// A write that was conditional on a version of an earlier era may have met another holder's row, to which the store gave
// that version again. Without a valid term the row is read and taken anew, with a fencing token of the later era.
func (l *Lease) ConfirmWrite(sentAt twboottime.Instant, write Write, version int64) {
	if write.IfVersion > 0 && era(version) != era(write.IfVersion) && !l.isTermValid(sentAt) {
		l.Yield()
		return
	}
	if l.fence == 0 {
		l.startTerm(sentAt, write.Fence, l.known)
	}
	l.known = true
	l.version = version
	l.seenAt = sentAt
	l.holder = l.config.Self
	l.termDeadline = sentAt.Add(termDuration)
}

// startTerm records a takeover. If the write was not answered, the takeover is found only by reading the row back,
// and the daemon may send orders only after the next confirmed renewal. After another holder, or one that may have been
// there, orders wait.
func (l *Lease) startTerm(now twboottime.Instant, fence int64, wait bool) {
	l.fence = fence
	l.termDeadline = 0
	l.ordersAllowedAt = now
	if wait {
		l.ordersAllowedAt = now.Add(termDuration + l.config.OrderGap + handoverMargin)
	}
}

// Holds reports whether this daemon is the leader as far as it knows.
func (l *Lease) Holds() bool { return l.fence != 0 }

// Fence returns the fencing token for orders; ok is false when this daemon may not send orders now.
func (l *Lease) Fence(now twboottime.Instant) (fence int64, ok bool) {
	if l.fence == 0 || l.released || now >= l.termDeadline || now < l.ordersAllowedAt {
		return 0, false
	}
	return l.fence, true
}

// Expired reports whether this daemon holds the lease, but sent its last confirmed renewal more than a term ago.
func (l *Lease) Expired(now twboottime.Instant) bool {
	return l.fence != 0 && l.termDeadline != 0 && now >= l.termDeadline
}

// Term returns the number of the leader's term; 0 when this daemon is not the leader.
func (l *Lease) Term() int64 { return l.fence }

// Holder returns the daemon that holds the row as last seen; zero when it was released.
func (l *Lease) Holder() turmericwall.Member { return l.holder }
