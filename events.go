package turmericwall

// EventID is the number of a log event. docs/EVENTS.md is the catalogue of events.
type EventID int

// The log events. Operators' tools match the numbers, so a number is never reused for another event.
const (
	EventStarted            EventID = 1001
	EventReady              EventID = 1002
	EventDrainStarted       EventID = 1003
	EventDrainEnded         EventID = 1004
	EventTaskFailed         EventID = 1005
	EventSettingsRead       EventID = 1006
	EventCapacityShort      EventID = 1007
	EventCapacityRegained   EventID = 1008
	EventStartKnown         EventID = 1015
	EventRequestAccepted    EventID = 2001
	EventRequestRefused     EventID = 2002
	EventRequestAnswered    EventID = 2003
	EventRequestFailed      EventID = 2004
	EventStreamBegun        EventID = 2005
	EventCallHeld           EventID = 2015
	EventPlacementGranted   EventID = 3001
	EventPlacementRefused   EventID = 3002
	EventLeaderUnreachable  EventID = 3003
	EventEngineUnreachable  EventID = 3004
	EventAttemptFailed      EventID = 3005
	EventAttemptSwept       EventID = 3006
	EventCancelSent         EventID = 3007
	EventCancelConfirmed    EventID = 3008
	EventRunMoved           EventID = 3009
	EventCallSent           EventID = 3010
	EventStreamResumed      EventID = 3011
	EventRunBroken          EventID = 3012
	EventQuarantineChanged  EventID = 3013
	EventStreamsRead        EventID = 3014
	EventCallNotRun         EventID = 3015
	EventRunEndProved       EventID = 3016
	EventServiceRouted      EventID = 4001
	EventClaimTaken         EventID = 4002
	EventClaimAnswered      EventID = 4003
	EventClaimSealed        EventID = 4004
	EventClaimUnknown       EventID = 4005
	EventServiceLimited     EventID = 4006
	EventDeferrableAccepted EventID = 5001
	EventDeferrableLeased   EventID = 5002
	EventDeferrableAnswered EventID = 5003
	EventDeferrableLost     EventID = 5004
	EventDocumentApplied    EventID = 6001
	EventDocumentRejected   EventID = 6002
	EventDocumentUnreadable EventID = 6003
	EventPlanUnproven       EventID = 6004
	EventPlanProven         EventID = 6005
	EventPeerLive           EventID = 7001
	EventPeerLost           EventID = 7002
	EventVMListUnreadable   EventID = 7003
	EventVMLeaving          EventID = 7004
	EventLeaderObserved     EventID = 7005
	EventLeaderChanged      EventID = 7006
	EventLeaseUnreadable    EventID = 7007
	EventRoleOrdered        EventID = 7008
	EventPeerState          EventID = 7009
	EventInformedByLeader   EventID = 7010
	EventLeaderStale        EventID = 7011
	EventUpstreamRate       EventID = 7012
	EventUpstreamLeaving    EventID = 7013
	EventUpstreamBackOff    EventID = 7014
	EventPathLost           EventID = 7015
	EventPathRegained       EventID = 7016
	EventReadRefused        EventID = 7017
	EventUpstreamSilent     EventID = 7018
	EventLeaderSuperseded   EventID = 7019
	EventStoreUnavailable   EventID = 8001
	EventStoreRegained      EventID = 8002
	EventRowUnreadable      EventID = 8003
	EventHistoryLost        EventID = 8004
	EventHistoryRegained    EventID = 8005
	EventListingOutdated    EventID = 8006
	EventStoreEraChanged    EventID = 8007
	EventListingIgnored     EventID = 8008
)

var eventMessages = map[EventID]string{
	EventStarted:            "Started",
	EventReady:              "Ready",
	EventDrainStarted:       "Drain started",
	EventDrainEnded:         "Drain ended",
	EventTaskFailed:         "Task failed",
	EventSettingsRead:       "Settings read",
	EventCapacityShort:      "Capacity short",
	EventCapacityRegained:   "Capacity regained",
	EventStartKnown:         "Known at the start",
	EventRequestAccepted:    "Request accepted",
	EventRequestRefused:     "Request refused",
	EventRequestAnswered:    "Request answered",
	EventRequestFailed:      "Request failed",
	EventStreamBegun:        "Stream begun",
	EventCallHeld:           "Call held at the start",
	EventPlacementGranted:   "Placement granted",
	EventPlacementRefused:   "Placement refused",
	EventLeaderUnreachable:  "Leader unreachable",
	EventEngineUnreachable:  "Engine unreachable",
	EventAttemptFailed:      "Attempt failed",
	EventAttemptSwept:       "Attempt swept",
	EventCancelSent:         "Cancel sent",
	EventCancelConfirmed:    "Cancel confirmed",
	EventRunMoved:           "Run moved",
	EventCallSent:           "Call sent",
	EventStreamResumed:      "Stream resumed",
	EventRunBroken:          "Run broken off",
	EventQuarantineChanged:  "Quarantine changed",
	EventStreamsRead:        "Streams read",
	EventCallNotRun:         "Call not run",
	EventRunEndProved:       "Run end proved",
	EventServiceRouted:      "Service routed",
	EventClaimTaken:         "Claim taken",
	EventClaimAnswered:      "Claim answered",
	EventClaimSealed:        "Claim sealed",
	EventClaimUnknown:       "Claim unknown",
	EventServiceLimited:     "Service limited",
	EventDeferrableAccepted: "Deferrable accepted",
	EventDeferrableLeased:   "Deferrable leased",
	EventDeferrableAnswered: "Deferrable answered",
	EventDeferrableLost:     "Deferrable lost",
	EventDocumentApplied:    "Document applied",
	EventDocumentRejected:   "Document rejected",
	EventDocumentUnreadable: "Document unreadable",
	EventPlanUnproven:       "Plan unproven",
	EventPlanProven:         "Plan proven",
	EventPeerLive:           "Peer live",
	EventPeerLost:           "Peer lost",
	EventVMListUnreadable:   "VM list unreadable",
	EventVMLeaving:          "VM leaving",
	EventLeaderObserved:     "Leader heard",
	EventLeaderChanged:      "Leader changed",
	EventLeaseUnreadable:    "Lease unreadable",
	EventRoleOrdered:        "Role ordered",
	EventInformedByLeader:   "Informed by leader",
	EventLeaderStale:        "Leader stale",
	EventPeerState:          "Peer state",
	EventUpstreamRate:       "Upstream rate",
	EventUpstreamLeaving:    "Upstream leaving",
	EventUpstreamBackOff:    "Upstream back-off",
	EventPathLost:           "Path lost",
	EventPathRegained:       "Path regained",
	EventReadRefused:        "Read refused",
	EventUpstreamSilent:     "Upstream silent",
	EventLeaderSuperseded:   "Leader superseded",
	EventStoreUnavailable:   "Store unavailable",
	EventStoreRegained:      "Store regained",
	EventRowUnreadable:      "Row unreadable",
	EventHistoryLost:        "History lost",
	EventHistoryRegained:    "History regained",
	EventListingOutdated:    "Listing outdated",
	EventStoreEraChanged:    "Store era changed",
	EventListingIgnored:     "Listing ignored",
}

// IsFailure reports whether the event is a failure that has to be explained, so that its line must not be dropped in
// favour of others.
func (e EventID) IsFailure() bool { return e == EventRequestFailed || e == EventTaskFailed }

// String returns the event's message.
func (e EventID) String() string { return eventMessages[e] }

// EventMessages returns all event numbers with their messages. A test compares them with the catalogue.
func EventMessages() map[EventID]string {
	all := make(map[EventID]string, len(eventMessages))
	for id, name := range eventMessages {
		all[id] = name
	}
	return all
}
