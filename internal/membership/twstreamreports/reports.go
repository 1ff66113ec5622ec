// Package twstreamreports sends a daemon's records of streams to the leader, and the leader's to its standbys, so that a
// stream's software version is known after its daemon or the leader was killed.
package twstreamreports

import (
	"context"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twstreamrecords"
)

const (
	// interval is the time between two reports; a stream whose daemon is killed before its report may be unknown.
	interval = 50 * time.Millisecond
	// reportTimeout bounds one report, so that an unresponsive standby does not hold up the other one's.
	reportTimeout = 500 * time.Millisecond
	// maxRecordsPerReport bounds one message, about 100 bytes a record.
	maxRecordsPerReport = 4096
)

// Config holds the dependencies of Reports.
type Config struct {
	Records *twstreamrecords.Records
	// Leader returns the live leader; self is set when it is this daemon, ok when there is one.
	Leader func() (leader turmericwall.Member, self, ok bool)
	// Standbys are the daemons to which the leader sends its records.
	Standbys func() []turmericwall.Member
	// Needed reports whether the version of a stream may be unknown without its record.
	Needed func() bool
	Peers  turmericwall.StreamReportClient
	// Count counts an event for the metrics.
	Count func(name string, n int64)
}

// Reports sends the records.
type Reports struct {
	config Config
	// sent is the sequence number from which on each receiver lacks the records, by its incarnation.
	sent map[string]int64
}

// New returns reports that have sent nothing.
func New(config Config) *Reports { return &Reports{config: config, sent: make(map[string]int64)} }

// Run sends new records at each interval until ctx ends, and returns its error.
func (r *Reports) Run(ctx context.Context) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			r.Send(ctx)
		}
	}
}

// Send sends the records that the leader, or the standbys of this leader, lack.
func (r *Reports) Send(ctx context.Context) {
	leader, self, ok := r.config.Leader()
	if !ok || !r.config.Needed() {
		return
	}
	receivers := []turmericwall.Member{leader}
	if self {
		receivers = r.config.Standbys()
	}
	sent := make(map[string]int64, len(receivers))
	for _, receiver := range receivers {
		sent[receiver.Incarnation] = r.sendTo(ctx, receiver, self)
	}
	// A receiver that isn't one any more gets everything if it becomes one again.
	r.sent = sent
}

// sendTo sends what the receiver lacks, and returns the sequence number from which on it lacks the records then.
func (r *Reports) sendTo(ctx context.Context, receiver turmericwall.Member, all bool) int64 {
	from := r.sent[receiver.Incarnation]
	list, next := r.config.Records.After(from, all)
	for len(list) > 0 {
		part := list[:min(len(list), maxRecordsPerReport)]
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.config.Peers.ReportStreams(reportCtx, receiver.Address, part)
		cancel()
		if err != nil {
			r.config.Count("stream_reports_failed", 1)
			return from
		}
		r.config.Count("streams_reported", int64(len(part)))
		list = list[len(part):]
	}
	return next
}
