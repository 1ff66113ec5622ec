// Package twdaemon puts the slices of one daemon together and runs them.
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
	"github.com/turmericwall/turmericwall/internal/platform/twgroup"
)

// Daemon is everything between callers and upstreams on one VM.
type Daemon struct {
	settings twsettings.Settings
	clock    clockwork.Clock
	recorder turmericwall.Recorder
	registry metrics.Registry
	trace    *twtrace.Trace
	draining atomic.Bool
	drain    chan struct{}
	// alive ends when the daemon is killed.
	alive context.Context
	kill  context.CancelFunc

	listeners  listeners
	fleet      *twfleet.Fleet
	committer  *twgroup.Committer
	holder     *twrevision.Holder
	dialer     *twdialer.Dialer
	exchange   *twexchange.Exchange
	canceller  *twcanceller.Canceller
	leader     *twleader.Leader
	router     *twrouter.Router
	delivery   *twdelivery.Delivery
	claims     *twclaim.Claims
	ledger     *twledger.Ledger
	edge       *twedge.Edge
	peers      *twserver.Server
	operations *twoperations.Server
}

// Config is what a daemon is made from.
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

const incarnationBase = 36

// New opens the daemon's listeners and builds its slices.
func New(config Config) (*Daemon, error) {
	opened, err := listen(config.Settings)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:  config.Settings,
		clock:     config.Clock,
		registry:  metrics.NewRegistry(),
		trace:     twtrace.New(),
		drain:     make(chan struct{}, 1),
		listeners: opened,
	}
	d.alive, d.kill = context.WithCancel(context.Background())
	incarnation := config.Settings.Name + ":" + strconv.FormatInt(config.Clock.Now().UnixNano(), incarnationBase)
	if err := d.build(config, incarnation); err != nil {
		d.listeners.close()
		return nil, err
	}
	return d, nil
}

// CallersAddress is the callers' listener.
func (d *Daemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// PeersAddress is the peers' listener.
func (d *Daemon) PeersAddress() string { return d.listeners.peers.Addr().String() }

// OperationsAddress is the operators' listener.
func (d *Daemon) OperationsAddress() string { return d.listeners.operations.Addr().String() }

// Kill ends the daemon without a drain, as the loss of its VM would.
func (d *Daemon) Kill() { d.kill() }

// Run serves until ctx ends or an operator asks for a drain, then finishes what it has begun.
func (d *Daemon) Run(ctx context.Context) error {
	// The base outlives ctx: requests under way need it until they are answered.
	base := twtask.New(d.alive)
	d.startBase(base)
	front := twtask.New(d.alive)
	front.Start("ledger", d.ledger.Run)
	front.Start("callers", func(ctx context.Context) error { return d.edge.Serve(ctx, d.listeners.callers) })
	d.recorder.Record(turmericwall.EventStarted).Str("callers", d.CallersAddress()).Str("peers", d.PeersAddress()).
		Str("operations", d.OperationsAddress()).Send()
	select {
	case <-ctx.Done():
	case <-d.drain:
	case <-front.Context().Done():
	case <-base.Context().Done():
	}
	if d.alive.Err() == nil {
		d.finish()
	}
	front.Stop()
	err := front.Wait()
	base.Stop()
	if baseErr := base.Wait(); err == nil {
		err = baseErr
	}
	d.dialer.Close()
	if err != nil {
		d.recorder.Record(turmericwall.EventTaskFailed).Err(err).Send()
	}
	return err
}

const readyCheck = 50 * time.Millisecond

// awaitReady notes when the daemon is ready for the first time.
func (d *Daemon) awaitReady(ctx context.Context) error {
	ticker := d.clock.NewTicker(readyCheck)
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

func (d *Daemon) startBase(base *twtask.Group) {
	base.Start("platform writes", d.committer.Run)
	base.Start("vm list", d.fleet.Run)
	base.Start("readiness", d.awaitReady)
	base.Start("document", d.holder.Run)
	base.Start("heartbeats", d.runExchange)
	base.Start("peers", func(ctx context.Context) error { return d.peers.Serve(ctx, d.listeners.peers) })
	base.Start("leader", d.leader.Run)
	base.Start("lost peers", d.followLost)
	base.Start("endings", d.router.Run)
	base.Start("cancels", d.canceller.Run)
	base.Start("claims", d.claims.Run)
	base.Start("operations", func(ctx context.Context) error { return d.operations.Serve(ctx, d.listeners.operations) })
}

// runExchange asks all peers once before the regular heartbeats: with the platform down this is how a
// new VM learns the configuration.
func (d *Daemon) runExchange(ctx context.Context) error {
	_ = d.fleet.Refresh(ctx)
	d.exchange.Meet(ctx)
	return d.exchange.Run(ctx)
}

func (d *Daemon) followLost(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case incarnation := <-d.exchange.Lost():
			d.leader.OwnerLost(incarnation)
		}
	}
}

// finish takes no new work, tells everybody, and waits for what is under way.
func (d *Daemon) finish() {
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
	d.recorder.Record(turmericwall.EventDrainEnded).Int("inFlight", d.edge.InFlight()).Int("deferrable", int64(d.ledger.Running())).Err(err).Send()
}

const idleCheck = 20 * time.Millisecond

// awaitIdle waits for deferrable work, records and cancels.
func (d *Daemon) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		if d.ledger.Running() == 0 && d.claims.Unrecorded() == 0 && d.canceller.Pending() == 0 {
			return
		}
		d.clock.Sleep(idleCheck)
	}
}

func listen(settings twsettings.Settings) (listeners, error) {
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
