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

// wireAsk is an ask as it travels: daemons' clocks differ, so deadlines travel as what is left of them.
type wireAsk struct {
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

type wireRun struct {
	Ask       wireAsk `json:"ask"`
	Engine    string  `json:"engine"`
	AgeMillis int64   `json:"ageMillis"`
}

// wirePlaced is a placement or a refusal.
type wirePlaced struct {
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

func toWire(now time.Time, ask turmericwall.PlaceAsk) wireAsk {
	return wireAsk{
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

func fromWire(now time.Time, ask wireAsk) turmericwall.PlaceAsk {
	return turmericwall.PlaceAsk{
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

// wireState is the state with its plan and a whole list of upstreams packed.
type wireState struct {
	turmericwall.SharedState
	PackedPlan      []byte `json:"packedPlan,omitempty"`
	PackedUpstreams []byte `json:"packedUpstreams,omitempty"`
}
