// Package twdelegate asks the leader for places, and decides alone while there is none.
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
	// sendEvery is the pause between two messages about ended calls: the leader's books may lag by it.
	sendEvery = 20 * time.Millisecond
	// maxUnsent bounds the ends that wait for a leader; beyond it the leader's own sweep finds them.
	maxUnsent = 4096
	// watchEvery is the pause between two looks at whether the leader that was asked still lives.
	watchEvery = 100 * time.Millisecond
)

// Config says what the delegate works with.
type Config struct {
	// Own are this daemon's own books: the leader's while it is the leader, and the fallback else.
	Own   *twcoordinator.Coordinator
	Peers turmericwall.PeerClient
	// Leader returns the live leader; self tells that it is this daemon.
	Leader   func() (leader turmericwall.Member, self, ok bool)
	Owner    string
	Recorder turmericwall.Recorder
}

// Delegate is the daemon's placer.
type Delegate struct {
	config Config
	mu     sync.Mutex
	// active are this daemon's placed calls, for a new leader.
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

// Place asks the leader, or this daemon's own books while no leader answers.
func (d *Delegate) Place(ctx context.Context, ask turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	leader, self, ok := d.config.Leader()
	if ok && !self {
		placement, err := d.remote(ctx, leader, ask)
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
		d.config.Recorder.Record(turmericwall.EventLeaderUnreachable).Str("request", ask.ID).Str("leader", leader.Name).Err(err).Send()
	}
	placement, err := d.config.Own.Place(ctx, ask)
	if err == nil {
		d.remember(ask, placement)
		if !ok || !self {
			placement.Reason += ", decided without the leader"
		}
	}
	return placement, err
}

// Finish frees a place in the own books and tells the leader.
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

// Run tells the leader of ended calls, and a new leader of those under way, until ctx ends.
func (d *Delegate) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
		case <-time.After(watchEvery):
		}
		leader, self, ok := d.config.Leader()
		if !ok {
			continue
		}
		if self {
			d.mu.Lock()
			d.unsent = nil
			d.told = leader
			d.mu.Unlock()
			continue
		}
		d.introduce(ctx, leader)
		d.send(ctx, leader)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(sendEvery):
		}
	}
}

// remote asks the leader; the ask is given up as soon as the leader no longer lives.
func (d *Delegate) remote(ctx context.Context, leader turmericwall.Member, ask turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := d.whileLive(leader, cancel)
	defer stop()
	placement, err := d.config.Peers.Place(askCtx, leader.Address, ask)
	if err != nil {
		return placement, err
	}
	d.remember(ask, placement)
	d.config.Own.Adopt(turmericwall.PlacedRun{Ask: ask, Engine: placement.Decode.ID, AgeMillis: -time.Until(placement.ReadDeadline).Milliseconds()})
	return placement, nil
}

// whileLive calls cancel when the leader no longer lives; stop ends the watch.
func (d *Delegate) whileLive(leader turmericwall.Member, cancel func()) (stop func()) {
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
			if current, _, ok := d.config.Leader(); !ok || current != leader {
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

// withdraw takes an ask back whose answer is unknown: the leader may have placed it.
func (d *Delegate) withdraw(ask turmericwall.PlaceAsk) {
	d.Finish(turmericwall.PlacementEnd{ID: ask.ID, Service: ask.Service})
}

// introduce tells a new leader of this daemon's calls under way.
//
// A new leader's books are empty: it would place as many calls again on engines that are full already.
func (d *Delegate) introduce(ctx context.Context, leader turmericwall.Member) {
	d.mu.Lock()
	if d.told == leader {
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
	if err := d.config.Peers.Runs(ctx, leader.Address, runs); err != nil {
		d.config.Recorder.Record(turmericwall.EventLeaderUnreachable).Str("leader", leader.Name).Int("runs", int64(len(runs))).Err(err).Send()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = leader
}

func (d *Delegate) send(ctx context.Context, leader turmericwall.Member) {
	d.mu.Lock()
	ends := d.unsent
	d.unsent = nil
	d.mu.Unlock()
	if len(ends) == 0 {
		return
	}
	if err := d.config.Peers.Finish(ctx, leader.Address, ends); err != nil {
		d.config.Recorder.Record(turmericwall.EventLeaderUnreachable).Str("leader", leader.Name).Int("ends", int64(len(ends))).Err(err).Send()
		d.mu.Lock()
		if len(d.unsent)+len(ends) < maxUnsent {
			d.unsent = append(ends, d.unsent...)
		}
		d.mu.Unlock()
	}
}
