package turmericwall

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// UpstreamEnd is the end of one incarnation of an upstream, with what it ran. Daemons exchange it as JSON.
type UpstreamEnd struct {
	Service  string      `json:"service"`
	Upstream UpstreamKey `json:"upstream"`
	// Number counts the ends of the incarnation, from 0: an upstream may start again before its entry says so.
	Number int `json:"number,omitempty"`
	// AgeMillis is the time since the end.
	AgeMillis int64 `json:"ageMillis"`
	// RemainingMillis is how much longer the end is kept.
	RemainingMillis int64 `json:"remainingMillis"`
	// Inputs is what the upstream ran.
	Inputs []EndedInput `json:"inputs,omitempty"`
}

// EndedInput is a request, a stream or a part of prompts that an upstream ran as it ended.
type EndedInput struct {
	Kind string  `json:"kind"`
	Name string  `json:"name"`
	Mark EndMark `json:"mark,omitempty"`
}

// EndMark is what is known of an input in the end of an upstream. Marks only rise, so that evidence can be merged in any order.
type EndMark int

// The marks, in the order in which they rise.
const (
	// MarkOpen is that of an input whose run broke off, while it isn't known whether the upstream has ended.
	MarkOpen EndMark = iota
	// MarkOpenSound is MarkOpen for an input that had run well shortly before.
	MarkOpenSound
	// MarkRefuted means that the upstream was seen alive after the run had broken off.
	MarkRefuted
	// MarkBlamed means that the upstream has ended, and the input may be the cause.
	MarkBlamed
	// MarkSound is MarkBlamed for an input that had run well shortly before.
	MarkSound
	// MarkAlone is MarkBlamed for an input that ran as a suspect, one at a time.
	MarkAlone
	// MarkCleared means that the input has run well since.
	MarkCleared
)

// Evidence is what a daemon knows of upstreams that ended.
type Evidence struct {
	// Holder is the daemon that sends the evidence, and Version that of its evidence.
	Holder  Member `json:"holder"`
	Version int64  `json:"version,omitempty"`
	// Leader and LeaderVersion are the leader, and the version of its evidence, that are included.
	Leader        string        `json:"leader,omitempty"`
	LeaderVersion int64         `json:"leaderVersion,omitempty"`
	Ends          []UpstreamEnd `json:"ends,omitempty"`
}

// EvidenceClient exchanges evidence with other daemons.
type EvidenceClient interface {
	// ExchangeEvidence sends evidence to the daemon at the address (host:port) and returns that daemon's.
	ExchangeEvidence(ctx context.Context, address string, evidence Evidence) (Evidence, error)
}

// Input identifies what a call brings to upstreams.
type Input struct {
	Service string
	// Request is the fingerprint of the request, the same for all tries of its caller.
	Request string
	// Stream is the fingerprint of the stream, which later tries name when they take it up; empty for calls that can't be taken
	// up.
	Stream string
	// Parts are the names of the parts of its prompt, without the last one.
	Parts []string
	// Alone is set if the input ran as a suspect, one at a time.
	Alone bool
}

// EndResult is what a check of an upstream found after a run of it had broken off.
type EndResult int

// The results of a check.
const (
	// EndUnknown means that the upstream may have ended.
	EndUnknown EndResult = iota
	// EndRefuted means that the incarnation was alive after the run had broken off.
	EndRefuted
	// EndProved means that the incarnation has ended.
	EndProved
)

// String returns the name of the result, as the log has it.
func (r EndResult) String() string {
	return map[EndResult]string{EndUnknown: "unknown", EndRefuted: "alive", EndProved: "ended"}[r]
}

// Verdict states whether a call may be sent to upstreams.
type Verdict int

// The verdicts.
const (
	// VerdictClear means that nothing speaks against the call.
	VerdictClear Verdict = iota
	// VerdictSuspect means that upstreams ended under the call's input, so that calls with it run one at a time.
	VerdictSuspect
	// VerdictQuarantined means that the call's input ends upstreams, or may have ended as many, so that none gets it.
	VerdictQuarantined
)

// String returns the name of the verdict, as the log has it.
func (v Verdict) String() string {
	return map[Verdict]string{VerdictSuspect: "suspect", VerdictQuarantined: "quarantined"}[v]
}

// Judgement is the verdict on a call, and what decided it.
type Judgement struct {
	Verdict Verdict
	// Keys are the inputs that are suspected, or the one that is quarantined.
	Keys []string
	// Ends is the number of upstreams that ended, or may have ended, under it.
	Ends int
	// Open is set if the call is held back only until it is known whether some of these have ended.
	Open bool
	// RemainingMillis is how much longer a quarantine lasts if nobody asks for it.
	RemainingMillis int64
}

// String states what is suspected or quarantined, and why.
func (j Judgement) String() string {
	return fmt.Sprintf("%d upstreams ended under %s", j.Ends, strings.Join(j.Keys, ", "))
}

// CallQuarantine keeps input from upstreams that it would end. It is safe for concurrent use.
type CallQuarantine interface {
	// Judge returns the verdict on a call's input.
	Judge(input Input) Judgement
	// LastEndAt returns when this daemon learnt of the last proved end under the input's request; zero if there is none.
	LastEndAt(input Input) time.Time
	// Ends returns how many upstreams ended under the input's request, or may have; sound is set if the request ran well lately.
	Ends(input Input) (ends int, sound bool)
	// Listed returns those of the input's parts on which the verdict may depend.
	Listed(input Input) []string
	// RecordEnd records that an upstream has ended, or may have, while it ran the input, which was sent at the time. The input
	// has no parts if they can't be the cause.
	RecordEnd(upstream UpstreamKey, sentAt time.Time, input Input, result EndResult)
	// RecordProgress records that an engine has written on the input's parts for a while.
	RecordProgress(input Input)
	// RecordAnswer records that an upstream completed the answer to the input.
	RecordAnswer(input Input)
}

// EvidenceMerger is a quarantine whose evidence can be handed from one daemon to another.
type EvidenceMerger interface {
	CallQuarantine
	// Merge adds the evidence of another daemon.
	Merge(evidence Evidence)
	// Export returns the evidence as other daemons get it, and the number of its changes that the leader may not know.
	Export() (evidence Evidence, changes int64)
}

// ErrQuarantined is wrapped by the refusal of a call whose input ends upstreams.
var ErrQuarantined = errors.New("upstreams ended under the input of this call")
