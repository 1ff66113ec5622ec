package turmericwall

import (
	"context"
	"time"
)

// PlaceAsk asks for engine memory and a slot for one model call.
type PlaceAsk struct {
	// ID is the call's id with the number of the try.
	ID      string
	Service string
	// Owner is the daemon that serves the caller.
	Owner string
	Zone  string
	Work  ModelWork
	// Account is the client account whose quota the call is taken from, and Units what it counts as.
	Account string
	Units   float64
	// Priority is the call's rank; 0 goes first.
	Priority int
	// TargetDeadline is when the first event is due to be on time; a call that came back may have missed it.
	TargetDeadline time.Time
	// GiveUpDeadline is when waiting must end with a refusal.
	GiveUpDeadline time.Time
	// CallerDeadline is when the caller leaves. It is the same for all attempts of one caller.
	CallerDeadline time.Time
	// EventGapMillis is the longest pause between two events of a stream that is still on time; 0 sets none.
	EventGapMillis int64
	// Moving asks for a decode place alone, for a run whose engine is leaving.
	Moving bool
	// Avoid names engines that failed this call.
	Avoid []string
}

// Placement says which engines serve one model call.
type Placement struct {
	ID     string
	Decode Upstream
	// Prefill reads the prompt; its ID is empty when the decode engine does so itself.
	Prefill Upstream
	// ReserveTokens is the memory to reserve at the decode engine.
	ReserveTokens int
	// ReadDeadline is when the prompt is expected to be read.
	ReadDeadline time.Time
	// Late tells that the first event can't be on time any more.
	Late bool
	// Reason says in a few words what decided.
	Reason string
}

// PlacementEnd tells how a placement ended.
type PlacementEnd struct {
	ID      string
	Service string
	// Full names the engine that refused the reservation or the call for want of memory.
	Full string
	// Failed names the engine that failed the call.
	Failed string
	// Doubted names an engine that may have failed the call, if another one did not.
	Doubted string
	// NotRun tells that no engine ran the call, so that it counts for no quota.
	NotRun bool
	// Running tells that the call goes on.
	Running bool
	// PromptRead tells that the prompt was read, PromptMillis how long that took.
	PromptRead   bool
	PromptMillis int64
	// AnswerTokens were made in AnswerMillis since the first event.
	AnswerTokens int
	AnswerMillis int64
	// Paused tells that the stream paused longer between two events than is on time.
	Paused bool
}

// CallCost is what one model call takes of the engines in the mean, in milliseconds of a whole engine.
type CallCost struct {
	// ReadMillis is what reading the prompt takes of an engine that reads.
	ReadMillis float64
	// AnswerMillis is what the answer takes of an engine that answers: the larger of its parts of the memory and of the
	// slots, times how long it holds them.
	AnswerMillis float64
}

// EngineNeed is what the calls of a service ask of its engines.
type EngineNeed struct {
	// Busy tells that calls are under way.
	Busy bool
	// Readers and Answerers are the engines of each role.
	Readers, Answerers RoleNeed
	// Cost is what a call takes; Known is false while too few calls came to say.
	Cost  CallCost
	Known bool
}

// RoleNeed tells how the engines of one role suffice.
type RoleNeed struct {
	// Short tells that calls find none in time, for longer than a burst.
	Short bool
	// Spare tells that an engine can be given to the other role.
	Spare bool
}

// EnginePlacer decides where model calls run.
type EnginePlacer interface {
	// Place blocks until the call is placed, or refused with a *Problem that says when to come back.
	Place(ctx context.Context, ask PlaceAsk) (Placement, error)
	// Finish frees what Place took; it never blocks.
	Finish(end PlacementEnd)
}
