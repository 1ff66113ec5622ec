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
	pathCharge    = "/peer/charge"
	pathExchange  = "/peer/exchange"
	pathStreams   = "/peer/streams"
	pathEvidence  = "/peer/evidence"
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
	// HeldMillis is the time since the call was read. Without it the call counts as read when it arrives.
	HeldMillis  int64    `json:"heldMillis,omitempty"`
	PrefillLost bool     `json:"prefillLost,omitempty"`
	Moving      bool     `json:"moving,omitempty"`
	SlowEngine  string   `json:"slowEngine,omitempty"`
	Only        string   `json:"only,omitempty"`
	Avoid       []string `json:"avoid,omitempty"`
	Account     string   `json:"account,omitempty"`
	Units       float64  `json:"units,omitempty"`
	Priority    int      `json:"priority,omitempty"`

	Version turmericwall.SoftwareVersion `json:"version,omitempty"`
	TakesUp bool                         `json:"takesUp,omitempty"`
	Stream  string                       `json:"stream,omitempty"`

	Fingerprint       string                   `json:"fingerprint,omitempty"`
	StreamFingerprint string                   `json:"streamFingerprint,omitempty"`
	Parts             []string                 `json:"parts,omitempty"`
	Turn              bool                     `json:"turn,omitempty"`
	Target            turmericwall.UpstreamKey `json:"target,omitzero"`
}

// wirePlacedCall is a call under way as it is sent to a new leader.
type wirePlacedCall struct {
	Request   wirePlaceRequest `json:"ask"`
	Engine    string           `json:"engine"`
	AgeMillis int64            `json:"ageMillis"`

	PaceTokens    int   `json:"paceTokens,omitempty"`
	PaceMillis    int64 `json:"paceMillis,omitempty"`
	PaceAgeMillis int64 `json:"paceAgeMillis,omitempty"`
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
	VersionGone   bool                  `json:"versionGone,omitempty"`
	Quarantined   bool                  `json:"quarantined,omitempty"`
	// Cause is what was short when the call was refused.
	Cause turmericwall.RefusalCause `json:"cause,omitempty"`
	// Version is the version that was required. A leader of an earlier build leaves it out, and doesn't keep to it.
	Version turmericwall.SoftwareVersion `json:"version,omitempty"`
}

// encodePlaceRequest returns the request as it is sent at the time now.
func encodePlaceRequest(now time.Time, request turmericwall.PlaceRequest) wirePlaceRequest {
	held := int64(0)
	if !request.ReceivedAt.IsZero() {
		held = max(now.Sub(request.ReceivedAt).Milliseconds(), 0)
	}
	return wirePlaceRequest{
		ID: request.ID, Service: request.Service, Owner: request.Owner, Zone: request.Zone, Work: request.Work,
		TargetMillis: request.TargetDeadline.Sub(now).Milliseconds(),
		GiveUpMillis: request.GiveUpDeadline.Sub(now).Milliseconds(),
		GapMillis:    request.EventGapMillis,
		CallerMillis: request.CallerDeadline.Sub(now).Milliseconds(),
		HeldMillis:   held,
		PrefillLost:  request.PrefillLost,
		Moving:       request.Moving,
		SlowEngine:   request.SlowEngine,
		Only:         request.Only,
		Avoid:        request.Avoid,
		Account:      request.Account,
		Units:        request.Units,
		Priority:     request.Priority,
		Version:      request.Version,
		TakesUp:      request.TakesUp,
		Stream:       request.Stream,
		Fingerprint:  request.Fingerprint,
		Parts:        request.Parts,
		Turn:         request.Turn,
		Target:       request.Target,

		StreamFingerprint: request.StreamFingerprint,
	}
}

// decodePlaceRequest returns a request that was received at the time now.
func decodePlaceRequest(now time.Time, request wirePlaceRequest) turmericwall.PlaceRequest {
	var receivedAt time.Time
	if request.HeldMillis > 0 {
		receivedAt = now.Add(-time.Duration(request.HeldMillis) * time.Millisecond)
	}
	return turmericwall.PlaceRequest{
		ID: request.ID, Service: request.Service, Owner: request.Owner, Zone: request.Zone, Work: request.Work,
		TargetDeadline: now.Add(time.Duration(request.TargetMillis) * time.Millisecond),
		GiveUpDeadline: now.Add(time.Duration(request.GiveUpMillis) * time.Millisecond),
		EventGapMillis: request.GapMillis,
		CallerDeadline: now.Add(time.Duration(request.CallerMillis) * time.Millisecond),
		ReceivedAt:     receivedAt,
		PrefillLost:    request.PrefillLost,
		Moving:         request.Moving,
		SlowEngine:     request.SlowEngine,
		Only:           request.Only,
		Avoid:          request.Avoid,
		Account:        request.Account,
		Units:          request.Units,
		Priority:       request.Priority,
		Version:        request.Version,
		TakesUp:        request.TakesUp,
		Stream:         request.Stream,
		Fingerprint:    request.Fingerprint,
		Parts:          request.Parts,
		Turn:           request.Turn,
		Target:         request.Target,

		StreamFingerprint: request.StreamFingerprint,
	}
}

// wireState is the state as it is sent: the plan and a complete list of upstreams are compressed.
type wireState struct {
	turmericwall.SharedState
	PackedPlan      []byte `json:"packedPlan,omitempty"`
	PackedUpstreams []byte `json:"packedUpstreams,omitempty"`
}
