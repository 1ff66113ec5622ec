// Package twdelegate places this daemon's model calls: it requests each placement from the leader and uses the
// daemon's own coordinator while no leader answers. It also reports the ends of calls to the leader, and all placed
// calls to a new one.
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
	// sendInterval is the time between two messages about ended calls. The leader may count an engine's memory as used
	// for that much longer.
	sendInterval = 20 * time.Millisecond
	// maxPendingEnds limits the ends that are kept for an unreachable leader. The leader's sweep releases the calls of
	// those beyond it.
	maxPendingEnds = 4096
	// leaderCheckInterval is the time between two checks whether the requested leader is still live.
	leaderCheckInterval = 100 * time.Millisecond
)

// Config holds the dependencies of a delegate.
type Config struct {
	// Local is this daemon's coordinator. It places the calls while this daemon is the leader or while there is none.
	Local *twcoordinator.Coordinator
	Peers turmericwall.PeerClient
	// Leader returns the live leader; self is set when it is this daemon, ok when there is one.
	Leader   func() (leader turmericwall.Member, self, ok bool)
	Owner    string
	Recorder turmericwall.Recorder
}

// Delegate is the EnginePlacer of a daemon. It is safe for concurrent use.
type Delegate struct {
	config Config
	mu     sync.Mutex
	// placedCalls are this daemon's placed calls by id, to be reported to a new leader.
	placedCalls map[string]*placedCall
	// pendingUpdates are the reports on calls that have not been sent to the leader.
	pendingUpdates []turmericwall.PlacementUpdate
	wake           chan struct{}
	// informedLeader is the leader that has received the placed calls.
	informedLeader turmericwall.Member
}

// placedCall is a call that has not ended yet.
type placedCall struct {
	request turmericwall.PlaceRequest
	engine  string
	// prefillEndsAt is when the prefill is expected to end, and once it has ended, when that was.
	prefillEndsAt time.Time
	// started is set once the prefill has ended.
	started bool
	// pace is the part of the last report on the run that is about its pace, made at paceAt.
	pace   turmericwall.PlacementUpdate
	paceAt time.Time
}

// New returns a delegate. Run must be called for it to send reports.
func New(config Config) *Delegate {
	return &Delegate{config: config, placedCalls: make(map[string]*placedCall), wake: make(chan struct{}, 1)}
}

// Place requests the placement from the leader, and from this daemon's coordinator while no leader answers. A refusal
// by the leader is final. The error is a *Problem.
func (d *Delegate) Place(ctx context.Context, request turmericwall.PlaceRequest) (turmericwall.Placement, error) {
	leader, self, ok := d.config.Leader()
	if ok && !self {
		placement, err := d.placeAtLeader(ctx, leader, request)
		var problem *turmericwall.Problem
		if err == nil || errors.As(err, &problem) {
			return placement, err
		}
		if ctx.Err() != nil {
			d.withdraw(request)
			return turmericwall.Placement{}, turmericwall.NewProblem(turmericwall.KindCancelled,
				"the caller left or its time is over", "call again").WithCause(err)
		}
		d.withdraw(request)
		d.config.Recorder.Record(turmericwall.EventLeaderUnreachable).
			Str("request", request.CallID()).Str("leader", leader.Name).Err(err).Send()
	}
	placement, err := d.config.Local.Place(ctx, request)
	if err == nil {
		d.recordPlaced(request, placement)
		if !ok || !self {
			placement.Reason += ", decided without the leader"
		}
	}
	return placement, err
}

// ApplyUpdate applies a report on a placed call locally and queues it for the leader; it never blocks on the network.
func (d *Delegate) ApplyUpdate(update turmericwall.PlacementUpdate) {
	d.config.Local.ApplyUpdate(update)
	d.mu.Lock()
	if run, ok := d.placedCalls[update.ID]; ok && update.Running {
		run.recordProgress(time.Now(), update)
	}
	if !update.Running {
		delete(d.placedCalls, update.ID)
	}
	if len(d.pendingUpdates) < maxPendingEnds {
		d.pendingUpdates = append(d.pendingUpdates, update)
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// recordProgress records the end of the call's prefill and the pace of its run.
func (c *placedCall) recordProgress(now time.Time, update turmericwall.PlacementUpdate) {
	if update.Prefilled {
		c.started = true
		c.prefillEndsAt = now
	}
	if c.request.EventGapMillis <= 0 {
		return
	}
	if update.PaceTokens > 0 {
		c.pace, c.paceAt = update, now
	} else if update.AnswerTokens > 0 {
		c.pace = turmericwall.PlacementUpdate{PaceTokens: update.AnswerTokens, PaceMillis: update.AnswerMillis}
		c.paceAt = now
	}
}

// Run sends the queued reports to the leader, and the placed calls to a new one, until ctx ends. It returns the error
// of ctx.
func (d *Delegate) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
		case <-time.After(leaderCheckInterval):
		}
		leader, self, ok := d.config.Leader()
		if !ok {
			continue
		}
		if self {
			d.mu.Lock()
			d.pendingUpdates = nil
			d.informedLeader = leader
			d.mu.Unlock()
			continue
		}
		d.reportPlacedCalls(ctx, leader)
		d.sendEnds(ctx, leader)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(sendInterval):
		}
	}
}

// placeAtLeader requests the placement from the leader. The request is cancelled as soon as the leader is no longer
// live.
func (d *Delegate) placeAtLeader(
	ctx context.Context, leader turmericwall.Member, request turmericwall.PlaceRequest,
) (turmericwall.Placement, error) {
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := d.cancelWhenLeaderLost(leader, cancel)
	defer stop()
	placement, err := d.config.Peers.Place(requestCtx, leader.Address, request)
	if err != nil {
		return placement, err
	}
	d.recordPlaced(request, placement)
	if request.Turn {
		return placement, nil
	}
	d.config.Local.Adopt(turmericwall.PlacedCall{
		Request: request, Engine: placement.Decode.ID, AgeMillis: -time.Until(placement.PrefillEndsAt).Milliseconds(),
	})
	return placement, nil
}

// cancelWhenLeaderLost calls cancel when the leader is no longer live; stop ends the checks.
func (d *Delegate) cancelWhenLeaderLost(leader turmericwall.Member, cancel func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(leaderCheckInterval)
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

func (d *Delegate) recordPlaced(request turmericwall.PlaceRequest, placement turmericwall.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placedCalls[request.ID] = &placedCall{
		request: request, engine: placement.Decode.ID, prefillEndsAt: placement.PrefillEndsAt,
	}
}

// withdraw reports the end of a call whose request got no answer, since the leader may have placed it.
func (d *Delegate) withdraw(request turmericwall.PlaceRequest) {
	d.ApplyUpdate(turmericwall.PlacementUpdate{ID: request.ID, Service: request.Service})
}

// reportPlacedCalls sends this daemon's placed calls to a new leader once.
//
// A new leader knows of no calls and would place new ones on engines that are full already.
func (d *Delegate) reportPlacedCalls(ctx context.Context, leader turmericwall.Member) {
	d.mu.Lock()
	if d.informedLeader == leader {
		d.mu.Unlock()
		return
	}
	placedCalls := make([]turmericwall.PlacedCall, 0, len(d.placedCalls))
	for _, run := range d.placedCalls {
		placed := turmericwall.PlacedCall{
			Request: run.request, Engine: run.engine, AgeMillis: time.Since(run.prefillEndsAt).Milliseconds(),
		}
		if run.pace.PaceTokens > 0 {
			placed.PaceTokens, placed.PaceMillis = run.pace.PaceTokens, run.pace.PaceMillis
			placed.PaceAgeMillis = time.Since(run.paceAt).Milliseconds()
		}
		placedCalls = append(placedCalls, placed)
	}
	d.mu.Unlock()
	if err := d.config.Peers.ReportPlacedCalls(ctx, leader.Address, placedCalls); err != nil {
		d.config.Recorder.Record(turmericwall.EventLeaderUnreachable).
			Str("leader", leader.Name).Int("runs", int64(len(placedCalls))).Err(err).Send()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.informedLeader = leader
}

// sendEnds sends the queued reports to the leader and queues them again when that fails.
func (d *Delegate) sendEnds(ctx context.Context, leader turmericwall.Member) {
	d.mu.Lock()
	updates := d.pendingUpdates
	d.pendingUpdates = nil
	d.mu.Unlock()
	if len(updates) == 0 {
		return
	}
	if err := d.config.Peers.SendUpdates(ctx, leader.Address, updates); err != nil {
		d.config.Recorder.Record(turmericwall.EventLeaderUnreachable).
			Str("leader", leader.Name).Int("ends", int64(len(updates))).Err(err).Send()
		d.mu.Lock()
		if len(d.pendingUpdates)+len(updates) < maxPendingEnds {
			d.pendingUpdates = append(updates, d.pendingUpdates...)
		}
		d.mu.Unlock()
	}
}
