package turmericwall

import (
	"context"
	"errors"
)

// StreamRecord states which software version began a stream. Daemons send it to the leader and its standbys as JSON.
type StreamRecord struct {
	// Stream is the id of the call that brought the stream's first event.
	Stream  string          `json:"stream"`
	Service string          `json:"service"`
	Version SoftwareVersion `json:"version"`
	// RemainingMillis is how much longer the stream's caller may take it up.
	RemainingMillis int64 `json:"remainingMillis"`
}

// VersionHistory is what a daemon knows of the software versions that served lately.
type VersionHistory struct {
	// CoveredMillis is the length of the time up to now in which the daemon knows all listed versions; 0 if there is none.
	CoveredMillis int64           `json:"coveredMillis,omitempty"`
	Versions      []ListedVersion `json:"versions,omitempty"`
}

// ListedVersion is a software version of a service, and the time since an upstream with it was last listed.
type ListedVersion struct {
	Service   string          `json:"service"`
	Version   SoftwareVersion `json:"version"`
	AgeMillis int64           `json:"ageMillis"`
}

// ErrVersionGone is wrapped by the refusal of a call that can only run at a software version of which no engine is listed.
var ErrVersionGone = errors.New("no engine of the software version that began the stream serves")

// StreamVersions has the software versions that began streams, as far as a daemon knows them.
type StreamVersions interface {
	// Record records the version that began a stream of this daemon.
	Record(record StreamRecord)
	// Find returns the record of a stream; ok is false if there is none.
	Find(stream string) (record StreamRecord, ok bool)
}

// StreamReportClient sends records of streams to other daemons.
type StreamReportClient interface {
	// ReportStreams sends records to the daemon at the address (host:port).
	ReportStreams(ctx context.Context, address string, records []StreamRecord) error
}
