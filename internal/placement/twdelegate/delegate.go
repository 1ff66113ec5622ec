// Package twdelegate asks the keeper for places, and decides alone while there is none.
package twdelegate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twcoordinator"
)

const (
	// sendEvery is the pause between two messages about ended calls: the keeper's books may lag by it.
	sendEvery = 20 * time.Millisecond
	// maxUnsent bounds the ends that wait for a keeper; beyond it the keeper's own sweep finds them.
	maxUnsent = 4096
	// watchEvery is the pause between two looks at whether the keeper that was asked still lives.
	watchEvery = 100 * time.Millisecond
)

// Config says what the delegate works with.
type Config struct {
	// Own are this daemon's own books: the keeper's while it is the keeper, and the fallback else.
	Own   *twcoordinator.Coordinator
	Peers turmericwall.PeerClient
	// Keeper returns the live keeper; self tells that it is this daemon.
	Keeper   func() (keeper turmericwall.Member, self, ok bool)
	Owner    string
	Recorder turmericwall.Recorder
}

// Delegate is the daemon's placer.
type Delegate struct {
	config Config
	mu     sync.Mutex
	// active are this daemon's placed calls, for a new keeper.
	active map[string]*placed
	unsent []turmericwall.PlacementEnd
	wake   chan struct{}
	told   turmericwall.Member
}

type placed struct {
	ask     turmericwall.PlaceAsk
	engine  string
	readAt  time.Time
	started bool
}

// New returns a delegate.
func New(config Config) *Delegate {
	return &Delegate{config: config, active: make(map[string]*placed), wake: make(chan struct{}, 1)}
}

// Place asks the keeper, or this daemon's own books while no keeper answers.
func (d *Delegate) Place(ctx context.Context, ask turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	keeper, self, ok := d.config.Keeper()
	if ok && !self {
		placement, err := d.remote(ctx, keeper, ask)
		var refused *turmericwall.Problem
		if err == nil || errors.As(err, &refused) {
			return placement, err
		}
		if ctx.Err() != nil {
			d.withdraw(ask)
			return turmericwall.Placement{}, turmericwall.NewProblem(turmericwall.KindCancelled,
				"the caller left or its time is over", "call again").WithCause(err)
		}
		d.withdraw(ask)
		d.config.Recorder.Record(turmericwall.EventKeeperUnreachable).Str("request", ask.ID).Str("keeper", keeper.Name).Err(err).Send()
	}
	placement, err := d.config.Own.Place(ctx, ask)
	if err == nil {
		d.remember(ask, placement)
		if !ok || !self {
			placement.Reason += ", decided without the keeper"
		}
	}
	return placement, err
}

// Finish frees a place in the own books and tells the keeper.
func (d *Delegate) Finish(end turmericwall.PlacementEnd) {
	d.config.Own.Finish(end)
	d.mu.Lock()
	if run, ok := d.active[end.ID]; ok && end.Running && end.PromptRead {
		run.started = true
		run.readAt = time.Now()
	}
	if !end.Running {
		delete(d.active, end.ID)
	}
	if len(d.unsent) < maxUnsent {
		d.unsent = append(d.unsent, end)
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run tells the keeper of ended calls, and a new keeper of those under way, until ctx ends.
func (d *Delegate) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
		case <-time.After(watchEvery):
		}
		keeper, self, ok := d.config.Keeper()
		if !ok {
			continue
		}
		if self {
			d.mu.Lock()
			d.unsent = nil
			d.told = keeper
			d.mu.Unlock()
			continue
		}
		d.introduce(ctx, keeper)
		d.send(ctx, keeper)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(sendEvery):
		}
	}
}

// remote asks the keeper; the ask is given up as soon as the keeper no longer lives.
func (d *Delegate) remote(ctx context.Context, keeper turmericwall.Member, ask turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := d.whileLive(keeper, cancel)
	defer stop()
	placement, err := d.config.Peers.Place(askCtx, keeper.Address, ask)
	if err != nil {
		return placement, err
	}
	d.remember(ask, placement)
	d.config.Own.Adopt(turmericwall.PlacedRun{Ask: ask, Engine: placement.Decode.ID, AgeMillis: -time.Until(placement.ReadDeadline).Milliseconds()})
	return placement, nil
}

// whileLive calls cancel when the keeper no longer lives; stop ends the watch.
func (d *Delegate) whileLive(keeper turmericwall.Member, cancel func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(watchEvery)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			if current, _, ok := d.config.Keeper(); !ok || current != keeper {
				cancel()
				return
			}
		}
	}()
	return func() { close(done) }
}

func (d *Delegate) remember(ask turmericwall.PlaceAsk, placement turmericwall.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[ask.ID] = &placed{ask: ask, engine: placement.Decode.ID, readAt: placement.ReadDeadline}
}

// withdraw takes an ask back whose answer is unknown: the keeper may have placed it.
func (d *Delegate) withdraw(ask turmericwall.PlaceAsk) {
	d.Finish(turmericwall.PlacementEnd{ID: ask.ID, Service: ask.Service})
}

// introduce tells a new keeper of this daemon's calls under way.
//
// A new keeper's books are empty: it would place as many calls again on engines that are full already.
func (d *Delegate) introduce(ctx context.Context, keeper turmericwall.Member) {
	d.mu.Lock()
	if d.told == keeper {
		d.mu.Unlock()
		return
	}
	runs := make([]turmericwall.PlacedRun, 0, len(d.active))
	for _, run := range d.active {
		runs = append(runs, turmericwall.PlacedRun{
			Ask: run.ask, Engine: run.engine, AgeMillis: time.Since(run.readAt).Milliseconds(),
		})
	}
	d.mu.Unlock()
	if err := d.config.Peers.Runs(ctx, keeper.Address, runs); err != nil {
		d.config.Recorder.Record(turmericwall.EventKeeperUnreachable).Str("keeper", keeper.Name).Int("runs", int64(len(runs))).Err(err).Send()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = keeper
}

func (d *Delegate) send(ctx context.Context, keeper turmericwall.Member) {
	d.mu.Lock()
	ends := d.unsent
	d.unsent = nil
	d.mu.Unlock()
	if len(ends) == 0 {
		return
	}
	if err := d.config.Peers.Finish(ctx, keeper.Address, ends); err != nil {
		d.config.Recorder.Record(turmericwall.EventKeeperUnreachable).Str("keeper", keeper.Name).Int("ends", int64(len(ends))).Err(err).Send()
		d.mu.Lock()
		if len(d.unsent)+len(ends) < maxUnsent {
			d.unsent = append(ends, d.unsent...)
		}
		d.mu.Unlock()
	}
}
