package turmericwall

import (
	"context"
	"fmt"
)

// Heartbeat is the message that the leader sends to each daemon several times a second. Ages are in milliseconds at the
// time of sending.
type Heartbeat struct {
	Leader Member `json:"leader"`
	// Term increases with each new leader.
	Term int64 `json:"term"`
	// Daemons is the number of live daemons.
	Daemons     int   `json:"daemons"`
	PlanVersion int64 `json:"planVersion"`
	// UpstreamsPosition is the position of the leader's view of upstreams; it increases with each change of the view.
	UpstreamsPosition int64 `json:"upstreamsPosition"`
	// StateAgeMillis is the age of the leader's state: the time since the store was queried for it, by the leader or by
	// the peer that sent it.
	StateAgeMillis int64 `json:"storeMillis"`
	// ProofAgeMillis is the age of the proof that PlanVersion is in force; negative if there is none.
	ProofAgeMillis int64 `json:"proofMillis"`
	// Echo returns the receiver's own BootTimeNanos from its last reply.
	Echo Echo `json:"echo"`
	// LeaseVersion is the version of the lease's row after the leader's last write.
	LeaseVersion int64 `json:"leaseVersion"`
	// Successor is the daemon that should take the lease because the leader stops or can't renew the lease; its name is
	// empty otherwise.
	Successor Member `json:"successor"`
	// Standbys are the daemons that read the store besides the leader. One of them takes the lease when the leader
	// terminates.
	Standbys []Member `json:"standbys,omitempty"`
	// MembersVersion is the number of changes of the leader's list of members.
	MembersVersion int64 `json:"membersVersion"`
	// Changing are the engines that are changing role by the leader's orders.
	Changing []ChangingEngine `json:"changing,omitempty"`
	// Levels are those of the client accounts that have little of their quota left.
	Levels []AccountLevel `json:"levels,omitempty"`
	// Rates are the rates that upstreams state, and those lifted within the last five seconds.
	Rates []UpstreamRate `json:"rates,omitempty"`
	// Leaving are the upstreams that announced in an answer that they leave.
	Leaving []UpstreamKey `json:"leaving,omitempty"`
	// EvidenceVersion is the version of the leader's evidence on engines that ended; 0 while it has none.
	EvidenceVersion int64 `json:"evidenceVersion,omitempty"`
	// Loads is what the daemons observed of plain services that have much load or problems.
	Loads []ServiceLoad `json:"loads,omitempty"`
	// Rank is the receiver's position among Daemons, from 0; no two daemons have the same.
	Rank int `json:"rank,omitempty"`
	// Sequence numbers the leader's rounds of heartbeats.
	Sequence int64 `json:"sequence,omitempty"`
	// Relay is the daemon that forwarded the heartbeat; its name is empty if the leader sent it itself.
	Relay Member `json:"relay,omitzero"`
	// Forwards are the daemons to which the receiver forwards the heartbeat.
	Forwards []HeartbeatForward `json:"forwards,omitempty"`
}

// HeartbeatForward is a daemon to which a heartbeat is forwarded. Its Echo and Rank replace those of the heartbeat.
type HeartbeatForward struct {
	Address string `json:"address"`
	Echo    Echo   `json:"echo"`
	Rank    int    `json:"rank,omitempty"`
	// Forwards are the daemons to which that daemon forwards the heartbeat in turn.
	Forwards []HeartbeatForward `json:"forwards,omitempty"`
}

// Echo is a time by one daemon's own clock that a peer returns to it. It dates the peer's message without a comparison
// of two VMs' clocks.
type Echo struct {
	// Incarnation is that of the daemon whose clock it is.
	Incarnation string `json:"incarnation,omitempty"`
	// BootTimeNanos is the time since the boot of the daemon's VM in nanoseconds.
	BootTimeNanos int64 `json:"moment,omitempty"`
}

// ChangingEngine is an engine that accepts no calls until it has its new role.
type ChangingEngine struct {
	ID string `json:"id"`
	// Role is the new role.
	Role Role `json:"role"`
	// RemainingMillis is the longest remaining time of the change.
	RemainingMillis int64 `json:"leftMillis"`
}

// HeartbeatReply is a daemon's reply to a heartbeat.
type HeartbeatReply struct {
	Member
	// UptimeMillis is the time since the daemon's start.
	UptimeMillis int64 `json:"upMillis"`
	// LinkMegabits is the rate of the daemon's network link in Mbit/s.
	LinkMegabits float64 `json:"linkMegabits"`
	Zone         string  `json:"zone"`
	// Stopping is set after the daemon's stop signal.
	Stopping bool `json:"stopping,omitempty"`
	// PlanVersion and UpstreamsPosition are those of the daemon's own state.
	PlanVersion       int64 `json:"planVersion"`
	UpstreamsPosition int64 `json:"upstreamsPosition"`
	// StoreReadAgeMillis is the time since the daemon itself sent its last answered read to the store; negative before
	// the first one.
	StoreReadAgeMillis int64 `json:"readMillis"`
	// ProofAgeMillis is the age of the proof that PlanVersion is in force; negative if there is none.
	ProofAgeMillis int64 `json:"proofMillis"`
	// BootTimeNanos is the time of the reply for the Echo of the next heartbeat, in nanoseconds since the boot of the
	// daemon's VM.
	BootTimeNanos int64 `json:"moment"`
	// Term is the latest term that the daemon has heard of, or has led in; 0 if there was none.
	Term int64 `json:"term,omitempty"`
	// Uses is what the daemon itself charged to client accounts.
	Uses []AccountUse `json:"uses,omitempty"`
	// Rates are the rates that the daemon itself received from upstreams within the last five seconds.
	Rates []UpstreamRate `json:"rates,omitempty"`
	// Leaving are the upstreams that announced in an answer to this daemon or to a peer that they leave.
	Leaving []UpstreamKey `json:"leaving,omitempty"`
	// Loads is what the daemon itself observed of plain services that have much load or problems here or at others.
	Loads []ServiceLoad `json:"loads,omitempty"`
	// LostPaths is the number of upstreams to which the daemon has no network path, as far as it can tell.
	LostPaths int `json:"lostPaths,omitempty"`
	// Forwarded are the replies of the daemons to which the heartbeat was forwarded; those without a reply are missing.
	Forwarded []HeartbeatReply `json:"forwarded,omitempty"`
}

// MaxLoadEntries bounds the upstreams in the loads of one message: about 2 KB.
const MaxLoadEntries = 16

// ServiceLoad is what one daemon, or all of them together, observed of a plain service within the last half second. Rates
// are in calls per second.
type ServiceLoad struct {
	Service string `json:"service"`
	// Arrivals is the rate at which calls of the service arrive.
	Arrivals float64 `json:"arrivals,omitempty"`
	// LateArrivals is the part of them that can't be answered in time any more at the upstreams' limits.
	LateArrivals float64 `json:"lateArrivals,omitempty"`
	// Pressed is set if the daemon observed slow or missing answers or refusals. Daemons that didn't report the service
	// only because another one did.
	Pressed bool `json:"pressed,omitempty"`
	// Limited is set if calls met the limit of the service within the last half second.
	Limited bool `json:"limited,omitempty"`
	// Partial is set in the leader's first heartbeats about the service: most daemons report it only after these.
	Partial bool `json:"partial,omitempty"`
	// AgeMillis is the mean age of what the daemons observed when the leader sends it.
	AgeMillis int64          `json:"ageMillis,omitempty"`
	Upstreams []UpstreamLoad `json:"upstreams,omitempty"`
}

// UpstreamLoad is what was observed of one upstream of a plain service.
type UpstreamLoad struct {
	ID            string `json:"id"`
	StartedMillis int64  `json:"startedMillis,omitempty"`
	// Open is the number of calls under way.
	Open int `json:"open,omitempty"`
	// Answers and Refusals are the rates of calls that the upstream answered, and that it refused unrun.
	Answers  float64 `json:"answers,omitempty"`
	Refusals float64 `json:"refusals,omitempty"`
	// AnswerMillis is the mean answer time.
	AnswerMillis float64 `json:"answerMillis,omitempty"`
	// Unanswered is the number of calls that have waited, or waited, longer than usual since the last answer, and
	// UnansweredMillis the time since then.
	Unanswered       int   `json:"unanswered,omitempty"`
	UnansweredMillis int64 `json:"unansweredMillis,omitempty"`
	// AnsweredMillis is the time since the last answer; 0 if there was none within two seconds.
	AnsweredMillis int64 `json:"answeredMillis,omitempty"`
}

// Key identifies the upstream's incarnation.
func (l UpstreamLoad) Key() UpstreamKey { return UpstreamKey{ID: l.ID, StartedMillis: l.StartedMillis} }

// Member is one incarnation of a daemon.
type Member struct {
	Name string `json:"name"`
	// Address is the host:port at which the daemon serves its peers.
	Address string `json:"address"`
	// Incarnation is a new random ID at each start.
	Incarnation string `json:"incarnation"`
}

// StateRequest requests newer state from a peer. It states what the requesting daemon has already.
type StateRequest struct {
	PlanVersion       int64 `json:"planVersion"`
	UpstreamsPosition int64 `json:"upstreamsPosition"`
	// Joining is the requesting daemon, so that a leader that does not know it yet adds it to its members.
	Joining *HeartbeatReply `json:"joining,omitempty"`
	// WantMembers requests the list of members too.
	WantMembers bool `json:"wantMembers,omitempty"`
	// WantEgress requests daemons that send requests to upstreams for a daemon that has no path to them.
	WantEgress bool `json:"wantEgress,omitempty"`
}

// SharedState is the state that a peer sends to a daemon that does not read the store itself.
type SharedState struct {
	// Plan is nil if the requesting daemon has the newest one that the peer has.
	Plan *RoutePlan `json:"plan,omitempty"`
	// Partial is set if Upstreams and Removed are the changes since the requested position. Otherwise Upstreams are all
	// upstreams.
	Partial           bool       `json:"partial,omitempty"`
	Upstreams         []Upstream `json:"upstreams,omitempty"`
	Removed           []string   `json:"removed,omitempty"`
	UpstreamsPosition int64      `json:"upstreamsPosition"`
	// Leader is the leader that is live for the answering daemon; its name is empty if there is none.
	Leader Member `json:"leader"`
	// LeaseVersion and LeaseHolder are the lease's row as the answering daemon last saw it.
	LeaseVersion int64  `json:"leaseVersion,omitempty"`
	LeaseHolder  Member `json:"leaseHolder"`
	// Standbys are those in the leader's last heartbeat.
	Standbys []Member `json:"standbys,omitempty"`
	// Loading is set while the answering daemon has no state yet and is reading it from the store, or sends the list of upstreams to
	// too many other daemons at this moment. Referred are the addresses of daemons that have got the list then.
	Loading  bool     `json:"loading,omitempty"`
	Referred []string `json:"referred,omitempty"`
	// StateAgeMillis is the time since the store was queried for this state; negative if it is unknown.
	StateAgeMillis int64 `json:"freshMillis"`
	// ProofAgeMillis is the age of the proof that the answering daemon's plan is in force; negative if there is none.
	ProofAgeMillis int64 `json:"proofMillis"`
	// Members are the addresses in the answering daemon's list of members, as of MembersVersion.
	Members        []string `json:"members,omitempty"`
	MembersVersion int64    `json:"membersVersion,omitempty"`
	// Versions is what the answering daemon knows of the software versions that were listed.
	Versions VersionHistory `json:"versions,omitzero"`
	// Egress are the addresses of some daemons that have paths to upstreams, as far as the answering daemon knows.
	Egress []string `json:"egress,omitempty"`
	// EvidenceHolder is the incarnation of the answering daemon, and EvidenceVersion the version of its evidence on engines
	// that ended, if it has any.
	EvidenceHolder  string `json:"evidenceHolder,omitempty"`
	EvidenceVersion int64  `json:"evidenceVersion,omitempty"`
	// HasEvidence is set if the answering daemon has the evidence of before its start, from the store or from a peer that has it.
	HasEvidence bool `json:"hasEvidence,omitempty"`
}

// PlacedCall is a placed call that a daemon reports to a new leader, which did not place it itself.
type PlacedCall struct {
	Request PlaceRequest
	// Engine is the ID of the decode engine.
	Engine string
	// AgeMillis is the time since the first event of the answer; negative while the prompt is prefilled.
	AgeMillis int64
	// PaceTokens were decoded in PaceMillis as the daemon last reported it, PaceAgeMillis ago; 0 if it did not yet.
	PaceTokens                int
	PaceMillis, PaceAgeMillis int64
}

// AdmitRequest requests sends to an upstream that states a rate from the rate coordinator, the daemon that counts the
// sends of all daemons.
type AdmitRequest struct {
	// Rate is the newest statement that the requesting daemon has.
	Rate UpstreamRate `json:"rate"`
	// Count is the number of requested sends.
	Count int `json:"count"`
}

// AdmitReply is the reply to an AdmitRequest.
type AdmitReply struct {
	// Declined is set if the answering daemon is not the rate coordinator.
	Declined bool `json:"declined,omitempty"`
	// Granted is the number of sends that may be made at once.
	Granted int `json:"granted,omitempty"`
	// If no sends are granted, NextRequestMillis is the time until the daemon may make its next request, and
	// RetryMillis the time until the caller may retry.
	NextRequestMillis int64 `json:"nextMillis,omitempty"`
	RetryMillis       int64 `json:"retryMillis,omitempty"`
}

// ChargeRequest requests from the leader that a call is charged to a client account's quota.
type ChargeRequest struct {
	Account string  `json:"account"`
	Units   float64 `json:"units"`
}

// ChargeReply is the reply to a ChargeRequest.
type ChargeReply struct {
	// Declined is set if the answering daemon is not the leader.
	Declined bool `json:"declined,omitempty"`
	// Refused is set if too little is left of the quota: Remaining units, and RetryMillis until the caller may retry.
	Refused     bool    `json:"refused,omitempty"`
	Remaining   float64 `json:"remaining,omitempty"`
	RetryMillis int64   `json:"retryMillis,omitempty"`
}

// EgressReason is why a daemon does not send a request for a peer.
type EgressReason string

// The reasons for which a request is not sent.
const (
	// EgressStopping means that the daemon drains.
	EgressStopping EgressReason = "stopping"
	// EgressBusy means that the daemon has too many exchanges or connections open.
	EgressBusy EgressReason = "busy"
	// EgressUnknownUpstream means that the daemon does not know the upstream at that address.
	EgressUnknownUpstream EgressReason = "unknownUpstream"
	// EgressUpstreamLeaving means that the upstream accepts no calls.
	EgressUpstreamLeaving EgressReason = "upstreamLeaving"
	// EgressBackOff means that the upstream asked the daemon to back off.
	EgressBackOff EgressReason = "backOff"
	// EgressUnreachable means that the daemon can't connect to the upstream.
	EgressUnreachable EgressReason = "unreachable"
)

// EgressRefusal is the error of a daemon that does not send a request for a peer. Nothing was sent.
type EgressRefusal struct {
	Reason EgressReason
	// LostShare is the share of the service's upstreams to which the daemon has no network path, as far as it can tell.
	LostShare float64
}

// Error returns the reason and the remedy.
func (r *EgressRefusal) Error() string {
	return fmt.Sprintf("the peer did not send the request (%s); ask another one", r.Reason)
}

// EgressClient has peers send requests to upstreams.
type EgressClient interface {
	// Exchange has the peer at an address (host:port) send a request and returns as soon as the head of the upstream's
	// answer was received. The error is an *EgressRefusal if the peer sent nothing, and otherwise a *SendError, with Sent
	// set if the peer may have sent the request.
	Exchange(ctx context.Context, address string, to Upstream, request UpstreamRequest) (*Answer, error)
}

// PeerClient calls other daemons at their addresses (host:port).
type PeerClient interface {
	// Heartbeat sends a heartbeat and returns the daemon's reply.
	Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (HeartbeatReply, error)
	// FetchState requests newer state.
	FetchState(ctx context.Context, address string, request StateRequest) (SharedState, error)
	// Place requests a placement from the leader. The error is a *Problem if the leader refused the call.
	Place(ctx context.Context, address string, request PlaceRequest) (Placement, error)
	// SendUpdates reports the progress and the end of placed calls to the leader.
	SendUpdates(ctx context.Context, address string, updates []PlacementUpdate) error
	// ReportPlacedCalls reports this daemon's placed calls to a new leader.
	ReportPlacedCalls(ctx context.Context, address string, placedCalls []PlacedCall) error
	// Admit requests sends to an upstream from the rate coordinator.
	Admit(ctx context.Context, address string, request AdmitRequest) (AdmitReply, error)
	// Charge requests from the leader that a call is charged to a quota.
	Charge(ctx context.Context, address string, request ChargeRequest) (ChargeReply, error)
}
