package turmericwall

import "context"

// Heartbeat is what the leader tells each daemon several times a second.
type Heartbeat struct {
	Leader Member `json:"leader"`
	// Term grows with each leader.
	Term int64 `json:"term"`
	// Daemons is the number of live daemons.
	Daemons     int   `json:"daemons"`
	PlanVersion int64 `json:"planVersion"`
	// UpstreamsPosition is how far the leader's view of upstreams has come.
	UpstreamsPosition int64 `json:"upstreamsPosition"`
	// StoreMillis is how long ago the leader asked the store for the last answer that it got.
	StoreMillis int64 `json:"storeMillis"`
	// ProofMillis is the age of the proof that PlanVersion is in force; negative when there is none.
	ProofMillis int64 `json:"proofMillis"`
	// Echo is the receiver's own, from its last reply.
	Echo Echo `json:"echo"`
	// LeaseVersion is the version that the leader last gave the lease's row.
	LeaseVersion int64 `json:"leaseVersion"`
	// Successor is the daemon that a stopping leader asks to take the lease; its name is empty else.
	Successor Member `json:"successor"`
	// Standbys read the store beside the leader, and one of them takes the lease when the leader ends.
	Standbys []Member `json:"standbys,omitempty"`
	// MembersVersion counts the changes of the leader's list of members.
	MembersVersion int64 `json:"membersVersion"`
	// Changing are the engines that change their role by the leader's orders.
	Changing []ChangingEngine `json:"changing,omitempty"`
	// Levels are the client accounts that have used a good part of their quotas.
	Levels []AccountLevel `json:"levels,omitempty"`
	// Rates are those that upstreams state, and those lifted lately.
	Rates []UpstreamRate `json:"rates,omitempty"`
	// Leaving are the upstreams that announced their end in answers.
	Leaving []UpstreamKey `json:"leaving,omitempty"`
	// Rank is the receiver's place among Daemons, from 0 on; no two have the same.
	Rank int `json:"rank,omitempty"`
}

// Echo is a moment of one daemon by its own clock, which a peer hands back.
type Echo struct {
	// Incarnation is the daemon's.
	Incarnation string `json:"incarnation,omitempty"`
	// Moment is in nanoseconds since the start of the daemon's VM.
	Moment int64 `json:"moment,omitempty"`
}

// ChangingEngine is an engine that is away until it has its new role.
type ChangingEngine struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// LeftMillis is how long the change may still last.
	LeftMillis int64 `json:"leftMillis"`
}

// HeartbeatReply is what a daemon answers to a heartbeat.
type HeartbeatReply struct {
	Member
	// UpMillis is how long ago the daemon started.
	UpMillis int64 `json:"upMillis"`
	// LinkMegabits is the rate of the daemon's network link in Mbit/s.
	LinkMegabits float64 `json:"linkMegabits"`
	Zone         string  `json:"zone"`
	// Stopping tells that the daemon was told to stop.
	Stopping bool `json:"stopping,omitempty"`
	// PlanVersion and UpstreamsPosition are how much the daemon knows.
	PlanVersion       int64 `json:"planVersion"`
	UpstreamsPosition int64 `json:"upstreamsPosition"`
	// ReadMillis is how long ago the daemon itself asked the store for the last answer that it got; negative when it
	// does not read the store.
	ReadMillis int64 `json:"readMillis"`
	// ProofMillis is the age of the proof that PlanVersion is in force; negative when there is none.
	ProofMillis int64 `json:"proofMillis"`
	// Moment is when the daemon replied, by its own clock, for the next heartbeat's echo.
	Moment int64 `json:"moment"`
	// Uses is what the daemon counted of client accounts' calls by itself.
	Uses []AccountUse `json:"uses,omitempty"`
	// Rates are those that the daemon received lately from upstreams itself.
	Rates []UpstreamRate `json:"rates,omitempty"`
	// Leaving are the upstreams of which the daemon knows that they announced their end in answers.
	Leaving []UpstreamKey `json:"leaving,omitempty"`
}

// Member is one incarnation of a daemon.
type Member struct {
	Name string `json:"name"`
	// Address is where it serves its peers.
	Address string `json:"address"`
	// Incarnation is drawn anew at each start.
	Incarnation string `json:"incarnation"`
}

// StateAsk says what the asking daemon knows already.
type StateAsk struct {
	PlanVersion       int64 `json:"planVersion"`
	UpstreamsPosition int64 `json:"upstreamsPosition"`
	// Joining is the asking daemon, for a leader that does not know it yet.
	Joining *HeartbeatReply `json:"joining,omitempty"`
	// WantMembers asks for the list of members too.
	WantMembers bool `json:"wantMembers,omitempty"`
}

// SharedState is what a daemon that does not read the store itself learns from a peer.
type SharedState struct {
	Plan *RoutePlan `json:"plan,omitempty"`
	// Partial tells that Upstreams and Removed are the changes since the position asked for, and not all.
	Partial           bool       `json:"partial,omitempty"`
	Upstreams         []Upstream `json:"upstreams,omitempty"`
	Removed           []string   `json:"removed,omitempty"`
	UpstreamsPosition int64      `json:"upstreamsPosition"`
	// Leader is the live leader that the answering daemon hears; its name is empty when it hears none.
	Leader Member `json:"leader"`
	// LeaseVersion and LeaseHolder are the lease's row as the answering daemon last saw it.
	LeaseVersion int64  `json:"leaseVersion,omitempty"`
	LeaseHolder  Member `json:"leaseHolder"`
	// Standbys are those of that leader.
	Standbys []Member `json:"standbys,omitempty"`
	// FreshMillis is how long ago the store was asked for this state; negative when that is unknown.
	FreshMillis int64 `json:"freshMillis"`
	// ProofMillis is the age of the proof that the answering daemon's plan is in force; negative when there is none.
	ProofMillis int64 `json:"proofMillis"`
	// Members are the addresses that the answering daemon knows, as of MembersVersion.
	Members        []string `json:"members,omitempty"`
	MembersVersion int64    `json:"membersVersion,omitempty"`
}

// PlacedRun is a placed call that a daemon tells a new leader of.
type PlacedRun struct {
	Ask PlaceAsk
	// Engine is the decode engine's id.
	Engine string
	// AgeMillis have passed since the answer began; negative while the prompt is read.
	AgeMillis int64
}

// AdmitAsk asks the daemon that counts for all for sends to an upstream that states a rate.
type AdmitAsk struct {
	// Rate is the statement as the asking daemon knows it.
	Rate UpstreamRate `json:"rate"`
	// Count is how many sends are asked for.
	Count int `json:"count"`
}

// AdmitReply is the answer to an AdmitAsk.
type AdmitReply struct {
	// Declined tells that the answering daemon doesn't count for all.
	Declined bool `json:"declined,omitempty"`
	// Granted is how many sends may be made at once.
	Granted int `json:"granted,omitempty"`
	// NextMillis is when the asking daemon may ask again after it was granted none, RetryMillis when the caller may come back.
	NextMillis  int64 `json:"nextMillis,omitempty"`
	RetryMillis int64 `json:"retryMillis,omitempty"`
}

// PeerClient calls one other daemon.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (HeartbeatReply, error)
	State(ctx context.Context, address string, ask StateAsk) (SharedState, error)
	Place(ctx context.Context, address string, ask PlaceAsk) (Placement, error)
	Finish(ctx context.Context, address string, ends []PlacementEnd) error
	Runs(ctx context.Context, address string, runs []PlacedRun) error
	Admit(ctx context.Context, address string, ask AdmitAsk) (AdmitReply, error)
}
