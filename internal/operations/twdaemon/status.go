package twdaemon

import (
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
)

// status returns the daemon's state for operators. The daemon is ready when it knows a document and the VM list and is
// not draining.
func (d *Daemon) status() twoperations.Status {
	s := twoperations.Status{
		Incarnation: d.exchange.Self(),
		Environment: d.settings.Environment,
		Zone:        d.settings.Zone,
		Draining:    d.draining.Load(),
		InFlight:    d.edge.InFlight(),
		Attempts:    d.delivery.ActiveAttempts(),
		Deferrable:  d.ledger.RunningCount(),
		Cancels:     d.canceller.Pending(),
		Unrecorded:  d.claims.UnrecordedCount(),
		Answered:    d.counterValue("requests.answered"),
		Failed:      d.counterValue("requests.failed"),
		LedServices: d.ledServices(),
	}
	if document, ok := d.documents.Current(); ok {
		s.Revision, s.Digest = document.Revision(), document.Digest()
		s.Ready = !s.Draining && d.fleet.HasList()
	}
	for _, heartbeat := range d.exchange.Members()[1:] {
		s.Peers = append(s.Peers, twoperations.PeerStatus{
			Incarnation: heartbeat.GetIncarnation(), Address: heartbeat.GetAddress(),
			Revision: heartbeat.GetRevision(), Draining: heartbeat.GetDraining(),
		})
	}
	return s
}

// counterValue returns the counter's value, or 0 when it was never counted.
func (d *Daemon) counterValue(name string) int64 {
	counter, ok := d.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

// requestDrain starts a graceful shutdown; further requests have no effect.
func (d *Daemon) requestDrain() {
	select {
	case d.drainRequested <- struct{}{}:
	default:
	}
}
