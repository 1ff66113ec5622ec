package turmericwall

import (
	"context"
	"strings"
	"time"
)

// PlaceRequest requests engine memory and a slot for one model call.
type PlaceRequest struct {
	// ID is the call's ID with the number of the placement attempt.
	ID      string
	Service string
	// Owner is the daemon that serves the caller.
	Owner string
	Zone  string
	Work  ModelWork
	// Account is the client account whose quota is charged for the call, and Units the charge.
	Account string
	Units   float64
	// Priority orders the waiting calls; 0 goes first.
	Priority int
	// ReceivedAt is when the daemon read the call, or when its caller began to wait for the next event; zero if that was
	// just now, or an earlier build of the daemon doesn't state it.
	ReceivedAt time.Time
	// PrefillLost is set if the call was placed before and its prefill was lost, so that it keeps its turn.
	PrefillLost bool
	// TargetDeadline is when the first event of the answer must arrive to be on time. It may have passed for a retry.
	TargetDeadline time.Time
	// GiveUpDeadline is when a call that still waits is refused.
	GiveUpDeadline time.Time
	// CallerDeadline is when the caller stops waiting. It is the same for all attempts of one caller.
	CallerDeadline time.Time
	// EventGapMillis is the longest time between two events of a stream that is on time; 0 means no limit.
	EventGapMillis int64
	// Turn is set for a suspected call of a plain service, which needs no placement but its turn: suspects run one at a time. It
	// has chosen the upstream Target.
	Turn   bool
	Target UpstreamKey
	// Moving is set for a run whose engine is leaving or slow: its prompt has been prefilled, so only a decode engine is
	// requested.
	Moving bool
	// SlowEngine is the ID of the engine that a moving run leaves because the engine has become slow; empty if it leaves
	// for another reason.
	SlowEngine string
	// Only is the ID of the only decode engine at which the call may run, since it may still run there; empty if it may run at any.
	Only string
	// Avoid are the IDs of engines that failed this call.
	Avoid []string
	// Version is the only software version at which the call may run; empty if it may run at any.
	Version SoftwareVersion
	// TakesUp is set if the call takes a stream up whose version its daemon doesn't know, so that the version has to be
	// found. Stream is the id of the call that brought the stream's first event; empty if it is unknown too.
	TakesUp bool
	Stream  string
	// Fingerprint is that of the caller's request, the same for all its tries, and StreamFingerprint that of the stream that the
	// call takes up; empty if it takes none up.
	Fingerprint, StreamFingerprint string
	// Parts are those of the prompt's parts under which engines ended.
	Parts []string
}

// CallID returns the ID of the call, without the number of the placement attempt.
func (r PlaceRequest) CallID() string {
	if at := strings.LastIndexByte(r.ID, '/'); at >= 0 {
		return r.ID[:at]
	}
	return r.ID
}

// Placement states which engines serve one model call.
type Placement struct {
	ID     string
	Decode Upstream
	// Prefill is the prefill engine; its ID is empty for a local prefill by the decode engine.
	Prefill Upstream
	// ReserveTokens is the memory to reserve at the decode engine, in tokens.
	ReserveTokens int
	// PrefillEndsAt is when the prefill is expected to end.
	PrefillEndsAt time.Time
	// Late is set if the first event can't be on time any more.
	Late bool
	// Reason states in a few words what decided the choice of engines.
	Reason string
	// Version is the software version that the request required, or that was found for the stream that it takes up; empty
	// if there is none.
	Version SoftwareVersion
}

// PlacementUpdate reports the progress of a placed call while Running is set, and its end otherwise. Daemons send it to
// the leader as JSON; the tags are the names of the fields there.
type PlacementUpdate struct {
	ID      string `json:"ID"`
	Service string `json:"Service"`
	// FullEngine is the ID of the engine that refused the reservation or the call because its memory is full.
	FullEngine string `json:"Full"`
	// FailedEngine is the ID of the engine that failed the call.
	FailedEngine string `json:"Failed"`
	// SuspectedEngine is the ID of an engine that is suspected to have failed the call, if the engine in FullEngine did
	// not.
	SuspectedEngine string `json:"Doubted"`
	// NotRun is set if no engine ran the call, so that its charge is refunded.
	NotRun bool `json:"NotRun"`
	// Answered is set at the end of a call that its engine has answered completely.
	Answered bool `json:"Answered,omitempty"`
	// Ended is the upstream that has ended, or may have, under the call, which is reported with the other evidence too: that
	// report may be lost. Unsettled is set at the end of a call while its daemon finds out.
	Ended     *UpstreamKey `json:"Ended,omitempty"`
	Unsettled bool         `json:"Unsettled,omitempty"`
	// Running is set if the call continues.
	Running bool `json:"Running"`
	// Prefilled is set if the prefill has ended; PrefillMillis is its duration.
	Prefilled     bool  `json:"PromptRead"`
	PrefillMillis int64 `json:"PromptMillis"`
	// AnswerTokens is the number of tokens that were decoded in the AnswerMillis since the first event.
	AnswerTokens int   `json:"AnswerTokens"`
	AnswerMillis int64 `json:"AnswerMillis"`
	// EventGapExceeded is set if the time between two events of the stream exceeded EventGapMillis of the request.
	EventGapExceeded bool `json:"Paused"`
	// PaceTokens were decoded in the latest PaceMillis. They are set while a stream's events are so far apart that its
	// limit is near, and once when they no longer are.
	PaceTokens int   `json:"PaceTokens,omitempty"`
	PaceMillis int64 `json:"PaceMillis,omitempty"`
	// OwnDelayMillis is by how much the daemon itself may have delayed the events that the report is about.
	OwnDelayMillis int64 `json:"OwnDelay,omitempty"`
}

// EnginePace is the estimated pace of one engine.
type EnginePace struct {
	Engine string `json:"engine"`
	// TokenMicros is the time for a token, and Percent how that compares with the service's engines at the same load.
	TokenMicros int64 `json:"tokenMicros"`
	Percent     int64 `json:"percent"`
	// AgeMillis is the time since the last measurement.
	AgeMillis int64 `json:"ageMillis"`
	// Runs is the number of runs that are placed there.
	Runs int `json:"runs"`
	// Slow is set if the engine was slow when it was last measured.
	Slow bool `json:"slow,omitempty"`
}

// PaceDecisions counts the placements that were decided by the pace of engines.
type PaceDecisions struct {
	// Avoided were placed elsewhere because the engine with the most free memory is too slow, Shortest on the engine with
	// the shortest event gap because none keeps the limit.
	Avoided  int64 `json:"avoided"`
	Shortest int64 `json:"shortest"`
	// Moves are the moves of runs off slow engines, and RefusedMoves those that were not worth their cost or found no
	// engine.
	Moves        int64 `json:"moves"`
	RefusedMoves int64 `json:"refusedMoves"`
}

// CallCost is the mean engine time that one model call takes, in milliseconds of an engine that does nothing else.
type CallCost struct {
	// PrefillMillis is the time of a prefill engine.
	PrefillMillis float64
	// DecodeMillis is the time of a decode engine: the larger of the call's shares of the engine's memory and of its
	// slots, times how long the call holds them.
	DecodeMillis float64
}

// EngineDemand is the demand of a service's calls for its engines. The leader divides the engines between the roles by
// it.
type EngineDemand struct {
	// Busy is set while calls are placed or waiting.
	Busy bool
	// Prefill is about the prefill engines, Decode about the decode engines.
	Prefill, Decode RoleDemand
	// Cost is the mean cost of a call. CostKnown is false while too few calls have been measured.
	Cost      CallCost
	CostKnown bool
}

// RoleDemand states whether the engines of one role suffice for the calls.
type RoleDemand struct {
	// Shortage is set during a shortage: for longer than a burst, calls find no engine of the role in time. Acute is set as
	// soon as several calls in a row find none.
	Shortage, Acute bool
	// Surplus is set during a surplus: an engine can change to the other role.
	Surplus bool
}

// EnginePlacer decides on which engines model calls run, before anything is sent to an engine.
type EnginePlacer interface {
	// Place blocks until the call is placed, refused or ctx ends. The error is a *Problem; that of a refusal has a
	// retry time.
	Place(ctx context.Context, request PlaceRequest) (Placement, error)
	// ApplyUpdate applies a report on a placed call, and releases the call's memory and slot unless Running is set. It
	// never blocks.
	ApplyUpdate(update PlacementUpdate)
}
