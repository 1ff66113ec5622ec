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
	// LeaseVersion is the version that the leader last gave the lease's row.
	LeaseVersion int64 `json:"leaseVersion"`
	// Successor is the daemon that a stopping leader asks to take the lease; its name is empty else.
	Successor Member `json:"successor"`
	// Changing are the engines that change their role by the leader's orders.
	Changing []ChangingEngine `json:"changing,omitempty"`
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
}

// SharedState is what a daemon that does not read the store itself learns from a peer.
type SharedState struct {
	Plan *RoutePlan `json:"plan,omitempty"`
	// Partial tells that Upstreams and Removed are the changes since the position asked for, and not all.
	Partial           bool       `json:"partial,omitempty"`
	Upstreams         []Upstream `json:"upstreams,omitempty"`
	Removed           []string   `json:"removed,omitempty"`
	UpstreamsPosition int64      `json:"upstreamsPosition"`
}

// PlacedRun is a placed call that a daemon tells a new leader of.
type PlacedRun struct {
	Ask PlaceAsk
	// Engine is the decode engine's id.
	Engine string
	// AgeMillis have passed since the answer began; negative while the prompt is read.
	AgeMillis int64
}

// PeerClient calls one other daemon.
type PeerClient interface {
	Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (HeartbeatReply, error)
	State(ctx context.Context, address string, ask StateAsk) (SharedState, error)
	Place(ctx context.Context, address string, ask PlaceAsk) (Placement, error)
	Finish(ctx context.Context, address string, ends []PlacementEnd) error
	Runs(ctx context.Context, address string, runs []PlacedRun) error
}
