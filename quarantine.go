package turmericwall

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// EngineEnd is the end of one incarnation of an engine, with what it ran. Daemons exchange it as JSON.
type EngineEnd struct {
	Service string      `json:"service"`
	Engine  UpstreamKey `json:"engine"`
	// Number counts the ends of the incarnation, from 0: an engine may start again before its entry says so.
	Number int `json:"number,omitempty"`
	// AgeMillis is the time since the end.
	AgeMillis int64 `json:"ageMillis"`
	// RemainingMillis is how much longer the end is kept.
	RemainingMillis int64 `json:"remainingMillis"`
	// Requests are the fingerprints of the requests that the engine ran.
	Requests []string `json:"requests,omitempty"`
	// ClearedRequests are those of Requests that were answered since.
	ClearedRequests []string `json:"clearedRequests,omitempty"`
	// Parts are the parts of the prompts that the engine may just have begun to answer.
	Parts []string `json:"parts,omitempty"`
	// ClearedParts are those of Parts on which an engine wrote since, and SoundParts those on which one did shortly before.
	ClearedParts []string `json:"clearedParts,omitempty"`
	SoundParts   []string `json:"soundParts,omitempty"`
}

// Evidence is what a daemon knows of engines that ended.
type Evidence struct {
	// Holder is the daemon that sends the evidence, and Version that of its evidence.
	Holder  Member `json:"holder"`
	Version int64  `json:"version,omitempty"`
	// Leader and LeaderVersion are the leader, and the version of its evidence, that are included.
	Leader        string      `json:"leader,omitempty"`
	LeaderVersion int64       `json:"leaderVersion,omitempty"`
	Ends          []EngineEnd `json:"ends,omitempty"`
}

// EvidenceClient exchanges evidence with other daemons.
type EvidenceClient interface {
	// ExchangeEvidence sends evidence to the daemon at the address (host:port) and returns that daemon's.
	ExchangeEvidence(ctx context.Context, address string, evidence Evidence) (Evidence, error)
}

// Input identifies what a call brings to engines.
type Input struct {
	Service string
	// Request is the fingerprint of the request, the same for all tries of its caller.
	Request string
	// Parts are the names of the parts of its prompt, without the last one.
	Parts []string
}

// Verdict states whether a call may be sent to engines.
type Verdict int

// The verdicts.
const (
	// VerdictClear means that nothing speaks against the call.
	VerdictClear Verdict = iota
	// VerdictSuspect means that engines ended under the call's input, so that calls with it run one at a time.
	VerdictSuspect
	// VerdictQuarantined means that the call's input ends engines, so that no engine gets it.
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
	// Ends is the number of engines that ended under it.
	Ends int
	// RemainingMillis is how much longer a quarantine lasts if nobody asks for it.
	RemainingMillis int64
}

// String states what is suspected or quarantined, and why.
func (j Judgement) String() string {
	return fmt.Sprintf("%d engines ended under %s", j.Ends, strings.Join(j.Keys, ", "))
}

// CallQuarantine keeps input from engines that it would end. It is safe for concurrent use.
type CallQuarantine interface {
	// Judge returns the verdict on a call's input.
	Judge(input Input) Judgement
	// Listed returns those of the input's parts on which the verdict may depend.
	Listed(input Input) []string
	// RecordEnd records that an engine ended while it ran the input, which was sent at the time. The input has no parts if they
	// can't be the cause.
	RecordEnd(engine Upstream, sentAt time.Time, input Input)
	// RecordProgress records that an engine has written on the input's parts for a while.
	RecordProgress(input Input)
	// RecordAnswer records that an engine completed the answer to the input.
	RecordAnswer(input Input)
}

// ErrQuarantined is wrapped by the refusal of a call whose input ends engines.
var ErrQuarantined = errors.New("engines ended under the input of this call")
