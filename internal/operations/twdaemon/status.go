package twdaemon

import (
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
)

// status collects the daemon's state.
func (d *Daemon) status() twoperations.Status {
	s := twoperations.Status{
		Incarnation: d.exchange.Self(),
		Environment: d.settings.Environment,
		Zone:        d.settings.Zone,
		Draining:    d.draining.Load(),
		InFlight:    d.edge.InFlight(),
		Attempts:    d.delivery.Live(),
		Deferrable:  d.ledger.Running(),
		Cancels:     d.canceller.Pending(),
		Unrecorded:  d.claims.Unrecorded(),
		Answered:    d.count("requests.answered"),
		Failed:      d.count("requests.failed"),
		Keeps:       d.duties(),
	}
	if document, ok := d.holder.Current(); ok {
		s.Revision, s.Digest = document.Revision(), document.Digest()
		s.Ready = !s.Draining && d.fleet.Known()
	}
	for _, b := range d.exchange.Members()[1:] {
		s.Peers = append(s.Peers, twoperations.PeerStatus{
			Incarnation: b.GetIncarnation(), Address: b.GetAddress(), Revision: b.GetRevision(), Draining: b.GetDraining(),
		})
	}
	return s
}

func (d *Daemon) count(name string) int64 {
	counter, ok := d.registry.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

// requestDrain starts a graceful shutdown; a second request changes nothing.
func (d *Daemon) requestDrain() {
	select {
	case d.drain <- struct{}{}:
	default:
	}
}
