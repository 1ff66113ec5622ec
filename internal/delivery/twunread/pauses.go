// Package twunread tells an upstream that cut off an answer which stayed unread from one that ended. It is for callers that
// read more slowly than engines write: the daemon then stops reading too, and an engine gives the answer up after some
// seconds.
package twunread

import (
	"math"
	"time"
)

const (
	// span is the time over which pauses are averaged. What an engine had written before it cut the answer off is still
	// received for a while after the pause, and the error only after that.
	span = 3 * time.Second
	// minUnread is the time that an answer was unread from which on its upstream may have cut it off: less than the seconds
	// for which engines wait.
	minUnread = time.Second
)

// Pauses follows the reads of one answer's body. It has no clock and isn't safe for concurrent use.
type Pauses struct {
	// unread is the time without a read until at, less the longer it is ago.
	unread time.Duration
	at     time.Time
}

// New returns pauses of an answer that is read from now on.
func New(now time.Time) *Pauses { return &Pauses{at: now} }

// BeginRead records that a read begins: until now the answer was unread.
func (p *Pauses) BeginRead(now time.Time) {
	p.advance(now, max(now.Sub(p.at), 0))
}

// EndRead records that the read has ended.
func (p *Pauses) EndRead(now time.Time) { p.advance(now, 0) }

// MayBeCut reports whether an answer that breaks off now may have been cut off because it was unread.
func (p *Pauses) MayBeCut() bool { return p.unread >= minUnread }

func (p *Pauses) advance(now time.Time, pause time.Duration) {
	elapsed := max(now.Sub(p.at), 0)
	kept := math.Exp(-elapsed.Seconds() / span.Seconds())
	p.unread = time.Duration(float64(p.unread)*kept) + pause
	p.at = now
}
