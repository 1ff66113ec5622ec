// Package twdaemon constructs the components of one daemon and runs them, from opening the listeners to the drain. It
// decides which components must outlive the callers' listener, so that requests in flight are still answered.
package twdaemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twcanceller"
	"github.com/turmericwall/turmericwall/internal/delivery/twdelivery"
	"github.com/turmericwall/turmericwall/internal/document/twrevision"
	"github.com/turmericwall/turmericwall/internal/edge/twedge"
	"github.com/turmericwall/turmericwall/internal/ledger/twledger"
	"github.com/turmericwall/turmericwall/internal/membership/twdialer"
	"github.com/turmericwall/turmericwall/internal/membership/twexchange"
	"github.com/turmericwall/turmericwall/internal/membership/twfleet"
	"github.com/turmericwall/turmericwall/internal/membership/twserver"
	"github.com/turmericwall/turmericwall/internal/once/twclaim"
	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
	"github.com/turmericwall/turmericwall/internal/operations/twsettings"
	"github.com/turmericwall/turmericwall/internal/operations/twtask"
	"github.com/turmericwall/turmericwall/internal/operations/twtrace"
	"github.com/turmericwall/turmericwall/internal/placement/twleader"
	"github.com/turmericwall/turmericwall/internal/placement/twrouter"
	"github.com/turmericwall/turmericwall/internal/platform/twbatch"
	"github.com/turmericwall/turmericwall/internal/quarantine/twsettler"
)

// Daemon is one router process: all components between callers and upstreams on one VM.
type Daemon struct {
	settings       twsettings.Settings
	clock          clockwork.Clock
	recorder       turmericwall.Recorder
	registry       metrics.Registry
	trace          *twtrace.Trace
	draining       atomic.Bool
	drainRequested chan struct{}
	// alive is cancelled when the daemon is killed.
	alive context.Context
	kill  context.CancelFunc

	listeners  listeners
	fleet      *twfleet.Fleet
	committer  *twbatch.Committer
	documents  *twrevision.Holder
	dialer     *twdialer.Dialer
	exchange   *twexchange.Exchange
	canceller  *twcanceller.Canceller
	leader     *twleader.Leader
	router     *twrouter.Router
	delivery   *twdelivery.Delivery
	settler    *twsettler.Settler
	claims     *twclaim.Claims
	ledger     *twledger.Ledger
	edge       *twedge.Edge
	peers      *twserver.Server
	operations *twoperations.Server
}

// Config holds the settings of a daemon, its log output and its clock.
type Config struct {
	Settings twsettings.Settings
	// Output receives the log.
	Output io.Writer
	Clock  clockwork.Clock
}

type listeners struct {
	callers    net.Listener
	peers      net.Listener
	operations net.Listener
}

// incarnationBase is the base in which the start time is written into the incarnation.
const incarnationBase = 36

// New opens the daemon's listeners and constructs its components. It fails when an address can't be listened on or a
// certificate can't be read; Run then starts the daemon.
func New(config Config) (*Daemon, error) {
	opened, err := openListeners(config.Settings)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:       config.Settings,
		clock:          config.Clock,
		registry:       metrics.NewRegistry(),
		trace:          twtrace.New(),
		drainRequested: make(chan struct{}, 1),
		listeners:      opened,
	}
	d.alive, d.kill = context.WithCancel(context.Background())
	incarnation := config.Settings.Name + ":" + strconv.FormatInt(config.Clock.Now().UnixNano(), incarnationBase)
	if err := d.build(config, incarnation); err != nil {
		d.listeners.close()
		return nil, err
	}
	return d, nil
}

// CallersAddress returns the IP:port of the callers' listener.
func (d *Daemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// PeersAddress returns the IP:port of the peers' listener.
func (d *Daemon) PeersAddress() string { return d.listeners.peers.Addr().String() }

// OperationsAddress returns the IP:port of the operators' listener.
func (d *Daemon) OperationsAddress() string { return d.listeners.operations.Addr().String() }

// Kill stops the daemon without a drain, as if its VM had failed.
func (d *Daemon) Kill() { d.kill() }

// Run serves until ctx ends or an operator asks for a drain, then drains and stops. It returns the first error of a
// component.
func (d *Daemon) Run(ctx context.Context) error {
	// The background tasks outlive ctx, since requests in flight need them until they are answered.
	background := twtask.New(d.alive)
	d.startBackground(background)
	serving := twtask.New(d.alive)
	serving.Start("ledger", d.ledger.Run)
	serving.Start("callers", func(ctx context.Context) error { return d.edge.Serve(ctx, d.listeners.callers) })
	d.recorder.Record(turmericwall.EventStarted).Str("callers", d.CallersAddress()).Str("peers", d.PeersAddress()).
		Str("operations", d.OperationsAddress()).Send()
	select {
	case <-ctx.Done():
	case <-d.drainRequested:
	case <-serving.Context().Done():
	case <-background.Context().Done():
	}
	if d.alive.Err() == nil {
		d.shutDown()
	}
	serving.Stop()
	err := serving.Wait()
	background.Stop()
	if backgroundErr := background.Wait(); err == nil {
		err = backgroundErr
	}
	d.dialer.Close()
	if err != nil {
		d.recorder.Record(turmericwall.EventTaskFailed).Err(err).Send()
	}
	return err
}

// readyPollInterval is the time between two checks for readiness after the start.
const readyPollInterval = 50 * time.Millisecond

// recordReady records an event once the daemon is ready for the first time.
func (d *Daemon) recordReady(ctx context.Context) error {
	ticker := d.clock.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if s := d.status(); s.Ready {
			d.recorder.Record(turmericwall.EventReady).Int("revision", s.Revision).Send()
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// startBackground starts the tasks that run until the drain has ended.
func (d *Daemon) startBackground(background *twtask.Group) {
	background.Start("platform writes", d.committer.Run)
	background.Start("vm list", d.fleet.Run)
	background.Start("readiness", d.recordReady)
	background.Start("document", d.documents.Run)
	background.Start("heartbeats", d.runExchange)
	background.Start("peers", func(ctx context.Context) error { return d.peers.Serve(ctx, d.listeners.peers) })
	background.Start("leader", d.leader.Run)
	background.Start("lost peers", d.reportLostPeers)
	background.Start("endings", d.router.Run)
	background.Start("cancels", d.canceller.Run)
	background.Start("claims", d.claims.Run)
	background.Start("settle open ends", d.settler.Run)
	background.Start("operations", func(ctx context.Context) error {
		return d.operations.Serve(ctx, d.listeners.operations)
	})
}

// runExchange queries all peers once before the regular heartbeats start: while the platform is unreachable, this
// is how a new VM obtains the configuration.
func (d *Daemon) runExchange(ctx context.Context) error {
	_ = d.fleet.Refresh(ctx)
	d.exchange.ExchangeWithAll(ctx)
	return d.exchange.Run(ctx)
}

// reportLostPeers reports each lost incarnation to the leader, which releases what that daemon had reserved.
func (d *Daemon) reportLostPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case incarnation := <-d.exchange.Lost():
			d.leader.OwnerLost(incarnation)
		}
	}
}

// shutDown drains the daemon. It stops taking deferrable work, announces the drain to peers and callers, closes the
// callers' listener after the notice period, and waits for work in flight until the drain deadline.
func (d *Daemon) shutDown() {
	now := d.clock.Now()
	ctx, cancel := context.WithDeadline(context.Background(), d.settings.DrainDeadline(now))
	defer cancel()
	d.draining.Store(true)
	d.recorder.Record(turmericwall.EventDrainStarted).Int("inFlight", d.edge.InFlight()).Send()
	d.ledger.Drain()
	d.exchange.Drain(ctx)
	d.edge.DisableKeepAlives()
	d.clock.Sleep(d.settings.NoticeDeadline(now).Sub(d.clock.Now()))
	err := d.edge.Drain(ctx)
	d.awaitIdle(ctx)
	d.recorder.Record(turmericwall.EventDrainEnded).Int("inFlight", d.edge.InFlight()).
		Int("deferrable", int64(d.ledger.RunningCount())).Err(err).Send()
}

// idlePollInterval is the time between two checks for remaining work during a drain.
const idlePollInterval = 20 * time.Millisecond

// awaitIdle waits until no deferrable request is running, no claim is unrecorded and no cancel is pending, or until ctx
// ends.
func (d *Daemon) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		if d.ledger.RunningCount() == 0 && d.claims.UnrecordedCount() == 0 && d.canceller.Pending() == 0 {
			return
		}
		d.clock.Sleep(idlePollInterval)
	}
}

// openListeners opens all listeners of the settings, or none if one of them fails.
func openListeners(settings twsettings.Settings) (listeners, error) {
	var opened listeners
	var err error
	if opened.callers, err = net.Listen("tcp", settings.Callers); err != nil {
		return opened, fmt.Errorf("open the callers' listener, check its address: %w", err)
	}
	if opened.peers, err = net.Listen("tcp", settings.Peers); err != nil {
		opened.close()
		return opened, fmt.Errorf("open the peers' listener, check its address: %w", err)
	}
	if opened.operations, err = net.Listen("tcp", settings.Operations); err != nil {
		opened.close()
		return opened, fmt.Errorf("open the operators' listener, check its address: %w", err)
	}
	return opened, nil
}

func (l listeners) close() {
	for _, opened := range []net.Listener{l.callers, l.peers, l.operations} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}
