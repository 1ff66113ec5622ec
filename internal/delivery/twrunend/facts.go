// Package twrunend decides what is proved about a run that ended here without its whole answer.
//
// Each fact is something that was received, or wasn't; the table in Proof is the only place that says what it shows. An engine may
// lose all its connections at once and work on, preempt a run and say that it has none, close its port and finish what it has, stand still
// behind a full queue of connections, or be cut off for a while. What proves nothing leaves the run where it is.
package twrunend

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
)

// Facts are what the engine itself has stated about a run, or about another incarnation. Zero values are what isn't known. That no
// connection is established, and that its machine acknowledges nothing, are no facts about a run: the link may carry both again.
type Facts struct {
	Order Order
	// Shared is set if the engine may have an earlier run of the same call, so that an order may have stopped that one.
	Shared bool
	// Replaced is set if another incarnation answered at the engine's address after the run was sent.
	Replaced bool
}

// Proof returns how the run is known to have ended.
func (f Facts) Proof() Proof {
	switch {
	case f.Replaced:
		return ProofReplaced
	case f.Order == OrderStopped && !f.Shared:
		return ProofStopped
	}
	return ""
}
