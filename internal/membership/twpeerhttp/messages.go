package twpeerhttp

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// The paths of the calls between daemons.
const (
	pathHeartbeat = "/peer/heartbeat"
	pathState     = "/peer/state"
	pathPlace     = "/peer/place"
	pathFinish    = "/peer/finish"
	pathRuns      = "/peer/runs"
	pathAdmit     = "/peer/admit"
)

// wirePlaceRequest is a request for a placement as it is sent. Deadlines are sent as the time that is left, since the
// clocks of two VMs differ.
type wirePlaceRequest struct {
	ID           string                 `json:"id"`
	Service      string                 `json:"service"`
	Owner        string                 `json:"owner"`
	Zone         string                 `json:"zone"`
	Work         turmericwall.ModelWork `json:"work"`
	TargetMillis int64                  `json:"targetMillis"`
	GiveUpMillis int64                  `json:"giveUpMillis"`
	GapMillis    int64                  `json:"gapMillis,omitempty"`
	CallerMillis int64                  `json:"callerMillis"`
	Moving       bool                   `json:"moving,omitempty"`
	Avoid        []string               `json:"avoid,omitempty"`
	Account      string                 `json:"account,omitempty"`
	Units        float64                `json:"units,omitempty"`
	Priority     int                    `json:"priority,omitempty"`
}

// wireRun is a call under way as it is sent to a new leader.
type wireRun struct {
	Ask       wirePlaceRequest `json:"ask"`
	Engine    string           `json:"engine"`
	AgeMillis int64            `json:"ageMillis"`
}

// wirePlaceReply is a placement or a refusal as it is sent.
type wirePlaceReply struct {
	Decode        turmericwall.Upstream `json:"decode"`
	Prefill       turmericwall.Upstream `json:"prefill"`
	ReserveTokens int                   `json:"reserveTokens,omitempty"`
	ReadMillis    int64                 `json:"readMillis,omitempty"`
	Late          bool                  `json:"late,omitempty"`
	Reason        string                `json:"reason"`
	Refused       bool                  `json:"refused,omitempty"`
	Never         bool                  `json:"never,omitempty"`
	OverLimit     bool                  `json:"overLimit,omitempty"`
	RetryMillis   int64                 `json:"retryMillis,omitempty"`
}

// encodePlaceRequest returns the request as it is sent at the time now.
func encodePlaceRequest(now time.Time, ask turmericwall.PlaceRequest) wirePlaceRequest {
	return wirePlaceRequest{
		ID: ask.ID, Service: ask.Service, Owner: ask.Owner, Zone: ask.Zone, Work: ask.Work,
		TargetMillis: ask.TargetDeadline.Sub(now).Milliseconds(),
		GiveUpMillis: ask.GiveUpDeadline.Sub(now).Milliseconds(),
		GapMillis:    ask.EventGapMillis,
		CallerMillis: ask.CallerDeadline.Sub(now).Milliseconds(),
		Moving:       ask.Moving,
		Avoid:        ask.Avoid,
		Account:      ask.Account,
		Units:        ask.Units,
		Priority:     ask.Priority,
	}
}

// decodePlaceRequest returns a request that was received at the time now.
func decodePlaceRequest(now time.Time, ask wirePlaceRequest) turmericwall.PlaceRequest {
	return turmericwall.PlaceRequest{
		ID: ask.ID, Service: ask.Service, Owner: ask.Owner, Zone: ask.Zone, Work: ask.Work,
		TargetDeadline: now.Add(time.Duration(ask.TargetMillis) * time.Millisecond),
		GiveUpDeadline: now.Add(time.Duration(ask.GiveUpMillis) * time.Millisecond),
		EventGapMillis: ask.GapMillis,
		CallerDeadline: now.Add(time.Duration(ask.CallerMillis) * time.Millisecond),
		Moving:         ask.Moving,
		Avoid:          ask.Avoid,
		Account:        ask.Account,
		Units:          ask.Units,
		Priority:       ask.Priority,
	}
}

// wireState is the state as it is sent: the plan and a complete list of upstreams are compressed.
type wireState struct {
	turmericwall.SharedState
	PackedPlan      []byte `json:"packedPlan,omitempty"`
	PackedUpstreams []byte `json:"packedUpstreams,omitempty"`
}
