// Package twrunend decides what is proved about a run that ended here without its whole answer.
//
// Each fact is something that was received, or wasn't; the table in Proof is the only place that says what it shows. An engine may
// lose all its connections at once and work on, preempt a run and say that it has none, close its port and finish what it has, or stand
// still behind a full queue of connections. What proves nothing leaves the run where it is.
package twrunend

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// unreachableSpan is how long no connection to an engine that counts as unreachable is established, and minTries in how many
	// attempts: one lost packet fails one of them.
	unreachableSpan = 700 * time.Millisecond
	minTries        = 3
)

// Order is an engine's answer to the order to stop a run.
type Order string

// The answers to an order.
const (
	OrderUnanswered Order = ""
	// OrderStopped: the engine has stopped a run of the call.
	OrderStopped Order = "stopped"
	// OrderAbsent: the engine has no such run now. It may have preempted it, or may not have begun it yet.
	OrderAbsent Order = "absent"
)

// Proof is how a run is known to have ended; empty if that isn't known.
type Proof string

// The proofs.
const (
	// ProofStopped: the engine has stopped the run.
	ProofStopped Proof = "stopped"
	// ProofReplaced: another incarnation has the engine's address.
	ProofReplaced Proof = "replaced"
	// ProofUnreachable: no connection to the engine could be established for a while, from here or from peers, and its machine
	// acknowledges nothing on one that is open. It may work on where nobody hears it.
	ProofUnreachable Proof = "unreachable"
)

// Facts are what is known at a time about a run and its engine. Zero values are what isn't known.
type Facts struct {
	// At is when the facts hold.
	At    time.Time
	Order Order
	// Shared is set if the engine may have an earlier run of the same call, so that an order may have stopped that one.
	Shared bool
	// Replaced is set if another incarnation answered at the engine's address after the run was sent.
	Replaced bool
	// UnconnectedTries counts the latest attempts in a row for which no connection was established in time, the first of them at
	// UnconnectedSince. A refused connection isn't one of them: nobody listens, and the run may work on.
	UnconnectedTries int
	UnconnectedSince time.Time
	// Connections are the daemon's other connections to the engine.
	Connections turmericwall.ConnectionStates
}

// Proof returns how the run is known to have ended.
func (f Facts) Proof() Proof {
	switch {
	case f.Replaced:
		return ProofReplaced
	case f.Order == OrderStopped && !f.Shared:
		return ProofStopped
	case f.UnconnectedTries >= minTries && f.At.Sub(f.UnconnectedSince) >= unreachableSpan && f.isMachineSilent():
		return ProofUnreachable
	}
	return ""
}

// isMachineSilent reports whether the machine of an engine to which no connection is established doesn't acknowledge anything either. It
// does while only the process stands still.
func (f Facts) isMachineSilent() bool { return f.Connections.Open > 0 && !f.Connections.Heard }
