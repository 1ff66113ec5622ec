package twrelay

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxPlacements is how many placements one call may use; each costs a round trip at least.
	maxPlacements = 4
	// reserveSlack is how much longer a reservation lasts than the prompt is expected to take.
	reserveSlack = 700 * time.Millisecond
	// reserveLimit ends a reservation that is not answered: thirty times what it takes, and less than a third of the usual
	// target, so that another engine can still be on time.
	reserveLimit = 300 * time.Millisecond
	// readSlack is how much longer than twice the expected time reading a prompt may take before another engine reads it.
	readSlack = 600 * time.Millisecond
	// stallSpan is how long after its send a first event may be missing before the engine is told to hang.
	stallSpan = 600 * time.Millisecond
	// cleanupLimit bounds the calls that free what a failed try left at an engine.
	cleanupLimit = time.Second
	// fullRetry is when a caller may come back after engines refused by surprise: one answer's time is unknown here.
	fullRetry = time.Second
)

// model serves a call for a model engine: a place first, then the prompt, then the answer.
func (r *Relay) model(ctx context.Context, a *attempt) error {
	var avoid []string
	var last error
	for n := range maxPlacements {
		placement, err := r.place(ctx, a, n, avoid)
		if err != nil {
			return err
		}
		done, err := r.try(ctx, a, placement, &avoid)
		if done || ctx.Err() != nil {
			return err
		}
		last = err
	}
	if a.refusal != nil && errors.Is(last, a.refusal) {
		return last
	}
	return refuseLater(last)
}

func (r *Relay) place(ctx context.Context, a *attempt, n int, avoid []string) (turmericwall.Placement, error) {
	closed, err := r.closedEngines(a)
	if err != nil {
		return turmericwall.Placement{}, err
	}
	avoid = slices.Concat(avoid, closed)
	target := a.call.ReceivedAt.Add(time.Duration(a.route.TargetMillis) * time.Millisecond)
	placement, err := r.config.Placer.Place(ctx, turmericwall.PlaceAsk{
		ID: a.call.ID + "/" + strconv.Itoa(n), Service: a.service.Name, Owner: r.config.Daemon, Zone: r.config.Zone,
		Work: a.call.Work, TargetDeadline: target, GiveUpDeadline: a.deadline, CallerDeadline: a.call.Deadline, Avoid: avoid,
		EventGapMillis: a.route.EventGapMillis, Account: a.call.Account, Units: a.units,
		Priority: a.route.Priority,
	})
	if err != nil {
		return placement, err
	}
	a.reason = placement.Reason
	a.model.placed = a.since()
	a.model.late = placement.Late
	a.model.reader = placement.Prefill.ID
	a.model.expected = placement.ReadDeadline.Sub(a.call.ReceivedAt).Milliseconds()
	r.config.Recorder.Record(turmericwall.EventPlacementGranted).Str("request", placement.ID).Str("decode", placement.Decode.ID).
		Str("prefill", placement.Prefill.ID).Int("placedMillis", a.model.placed).Int("expectedReadMillis", a.model.expected).
		Int("planVersion", a.version).Int("upstreamsVersion", r.config.View.Version()).Str("reason", placement.Reason).Send()
	return placement, nil
}

// closedEngines are those that want no call from this daemon. The leader doesn't know them. When no engine that answers is left, the
// call is refused with the time at which the first one takes calls again.
func (r *Relay) closedEngines(a *attempt) (ids []string, err error) {
	open := false
	var first time.Time
	for _, u := range r.config.View.Upstreams(a.service.Name) {
		until := r.config.Throttle.ClosedUntil(u.Key())
		if until.IsZero() {
			open = open || (u.Role == turmericwall.RoleDecode && !u.Leaving)
			continue
		}
		ids = append(ids, u.ID)
		if u.Role == turmericwall.RoleDecode && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	if open || first.IsZero() {
		return ids, nil
	}
	return nil, turmericwall.NewProblem(turmericwall.KindOverloaded, "no engine wants a call from this daemon for now",
		"come back at the time given").WithRetryAt(first)
}

// takes tells that the engine may get a call that was admitted before.
func (r *Relay) takes(engine turmericwall.Upstream) error {
	if !r.config.View.Takes(engine.Key()) {
		return errLeaving
	}
	if !r.config.Throttle.ClosedUntil(engine.Key()).IsZero() {
		return errBackOff
	}
	return nil
}

// try runs one placement; done tells that the call has its final outcome.
func (r *Relay) try(ctx context.Context, a *attempt, p turmericwall.Placement, avoid *[]string) (done bool, err error) {
	end := turmericwall.PlacementEnd{ID: p.ID, Service: a.service.Name}
	defer func() {
		end.NotRun = notExecuted(err)
		r.config.Placer.Finish(end)
	}()
	a.upstream = p.Decode.ID
	if err := r.config.Keys.Holds(a.credential); err != nil {
		return true, err
	}
	if limited, err := r.admit(ctx, p); err != nil {
		*avoid = append(*avoid, limited)
		a.throttled(err)
		return false, a.refusal
	}
	reservation, err := r.reserve(ctx, p)
	if err != nil {
		r.unused(p.Decode, p.Prefill)
		if errors.Is(err, errNoRoom) {
			end.Full = p.Decode.ID
		} else {
			end.Failed = p.Decode.ID
			*avoid = append(*avoid, p.Decode.ID)
		}
		return false, notRun(err)
	}
	out := turmericwall.Outgoing{Call: a.call, Deadline: a.deadline, Reservation: reservation, Priority: rank(a.route, p)}
	if done, err := r.read(ctx, a, p, &out, &end, avoid); err != nil {
		r.unused(p.Decode)
		go r.cleanup(p.Decode, reservation, p.Prefill, turmericwall.EngineExport{})
		return done, err
	}
	if done, err := r.mayAnswer(a, p.Decode); err != nil {
		r.unused(p.Decode)
		go r.cleanup(p.Decode, reservation, p.Prefill, out.Export)
		return done, err
	}
	a.stall = r.watchStall(p, a.service.Name)
	defer a.stall.Stop()
	answer, err := r.config.Upstreams.Send(ctx, p.Decode, out)
	if err != nil {
		return r.sendFailed(ctx, p, err, &end, avoid)
	}
	return true, r.stream(ctx, a, p, answer, &end)
}

// read has the placement's prefill engine read the prompt, if there is one; done tells that no further placement is tried.
func (r *Relay) read(ctx context.Context, a *attempt, p turmericwall.Placement, out *turmericwall.Outgoing, end *turmericwall.PlacementEnd, avoid *[]string) (done bool, err error) {
	if p.Prefill.ID == "" {
		return false, nil
	}
	began := time.Now()
	out.Export, err = r.prefill(ctx, a, p, *out)
	if errors.Is(err, errNoBudget) {
		return true, refuseLater(err)
	}
	if err != nil {
		if !errors.Is(err, errBackOff) {
			end.Failed = p.Prefill.ID
		}
		*avoid = append(*avoid, p.Prefill.ID)
		return false, notRun(err)
	}
	out.Step = turmericwall.StepImport
	end.PromptRead = true
	end.PromptMillis = time.Since(began).Milliseconds()
	a.model.read = a.since()
	r.config.Placer.Finish(turmericwall.PlacementEnd{ID: p.ID, Service: end.Service, Running: true, PromptRead: true, PromptMillis: end.PromptMillis})
	return false, nil
}

// mayAnswer checks what may have changed while the prompt was read; done tells that no further placement is tried.
func (r *Relay) mayAnswer(a *attempt, decode turmericwall.Upstream) (done bool, err error) {
	if err := r.takes(decode); err != nil {
		return false, notRun(err)
	}
	if err := r.config.Keys.Holds(a.credential); err != nil {
		return true, err
	}
	if !r.mayTry(a) {
		return true, refuseLater(errNoBudget)
	}
	return false, nil
}

// admit takes the placement's sends before anything is sent: a prompt that is read for an engine that takes no further call is
// thrown away. When it fails, limited is the engine that takes none.
func (r *Relay) admit(ctx context.Context, p turmericwall.Placement) (limited string, err error) {
	if err := r.config.Throttle.Admit(ctx, p.Decode.Key()); err != nil {
		return p.Decode.ID, err
	}
	if p.Prefill.ID == "" {
		return "", nil
	}
	if err := r.config.Throttle.Admit(ctx, p.Prefill.Key()); err != nil {
		r.config.Throttle.Return(p.Decode.Key())
		return p.Prefill.ID, err
	}
	return "", nil
}

// unused gives back sends that were admitted and not made.
func (r *Relay) unused(engines ...turmericwall.Upstream) {
	for _, e := range engines {
		if e.ID != "" {
			r.config.Throttle.Return(e.Key())
		}
	}
}

// watchStall tells the placer when the decode engine gives no first event. The call may run there and can't be sent again,
// but others need not follow it.
func (r *Relay) watchStall(p turmericwall.Placement, service string) *time.Timer {
	wait := stallSpan
	if p.Prefill.ID == "" {
		wait += 2 * max(time.Until(p.ReadDeadline), 0)
	}
	return time.AfterFunc(wait, func() {
		r.config.Placer.Finish(turmericwall.PlacementEnd{ID: p.ID, Service: service, Running: true, Failed: p.Decode.ID})
	})
}

var (
	errNoRoom   = errors.New("the engine has no memory left")
	errLeaving  = errors.New("the engine is leaving")
	errBackOff  = errors.New("the engine wants no call from this daemon for now")
	errNoBudget = errors.New("the budget of repeated sends is used up")
)

// sendFailed sorts a failed send to the decode engine.
func (r *Relay) sendFailed(ctx context.Context, p turmericwall.Placement, err error, end *turmericwall.PlacementEnd, avoid *[]string) (bool, error) {
	var sent *turmericwall.SendError
	if !errors.As(err, &sent) || !sent.Safe() {
		if ctx.Err() == nil {
			end.Failed = p.Decode.ID
		}
		return true, settled(err)
	}
	switch {
	case sent.NotRun && !sent.Gone && p.Prefill.ID != "":
		// Either the export lapsed, or the decode engine takes no work though it granted the reservation. Both are
		// left alone for this call; the one that works is cleared by its next success.
		end.Full, end.Doubted = p.Decode.ID, p.Prefill.ID
		*avoid = append(*avoid, p.Prefill.ID, p.Decode.ID)
	case sent.NotRun && !sent.Gone:
		end.Full = p.Decode.ID
	default:
		end.Failed = p.Decode.ID
		*avoid = append(*avoid, p.Decode.ID)
	}
	return false, notRun(err)
}

// reserve takes memory at the decode engine before the prompt is read: a prompt read for an engine that is full
// by then is thrown away.
//
// An engine that went silent answers nothing, and its connection breaks only 1.7 s later. Its calls were refused then,
// long after their target, while other engines had room.
func (r *Relay) reserve(ctx context.Context, p turmericwall.Placement) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveLimit)
	defer cancel()
	until := p.ReadDeadline.Add(reserveSlack)
	if most := time.Now().Add(time.Duration(r.maxReservation(p)) * time.Millisecond); until.After(most) {
		until = most
	}
	reservation, ok, err := r.config.Upstreams.Reserve(ctx, p.Decode, p.ReserveTokens, until)
	if err != nil {
		return "", err
	}
	if !ok {
		return "", errNoRoom
	}
	return reservation, nil
}

func (r *Relay) maxReservation(p turmericwall.Placement) int64 {
	plan, ok := r.config.Routes.Service(p.Decode.Service)
	if !ok || plan.Engine == nil {
		return 0
	}
	return plan.Engine.MaxReservationMillis
}

func (r *Relay) prefill(ctx context.Context, a *attempt, p turmericwall.Placement, out turmericwall.Outgoing) (turmericwall.EngineExport, error) {
	if err := r.takes(p.Prefill); err != nil {
		return turmericwall.EngineExport{}, &turmericwall.SendError{Err: err}
	}
	// The first prompt that an engine reads for another one is no attempt; further ones and refused ones are.
	if a.read && !r.mayTry(a) {
		return turmericwall.EngineExport{}, errNoBudget
	}
	ctx, cancel := context.WithTimeout(ctx, 2*max(time.Until(p.ReadDeadline), 0)+readSlack)
	defer cancel()
	export, err := r.config.Upstreams.Prefill(ctx, p.Prefill, turmericwall.Outgoing{Call: a.call, Deadline: out.Deadline, Priority: out.Priority})
	if err != nil && !a.read {
		r.noteTry(a)
	}
	if err == nil {
		a.read = true
	}
	return export, err
}

// cleanup frees what a failed try left at the engines, beside the caller's own time.
func (r *Relay) cleanup(decode turmericwall.Upstream, reservation string, prefill turmericwall.Upstream, export turmericwall.EngineExport) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupLimit)
	defer cancel()
	if reservation != "" {
		if err := r.config.Upstreams.DropReservation(ctx, decode, reservation); err != nil {
			r.config.Recorder.Record(turmericwall.EventEngineUnreachable).Str("upstream", decode.ID).Err(err).Send()
		}
	}
	if export.Handle != "" {
		if err := r.config.Upstreams.DropExport(ctx, prefill, export); err != nil {
			r.config.Recorder.Record(turmericwall.EventEngineUnreachable).Str("upstream", prefill.ID).Err(err).Send()
		}
	}
}

// rank is the engine's queue order: the route's rank, and late calls behind those that can be on time.
func rank(route turmericwall.Route, p turmericwall.Placement) int {
	rank := min(route.Priority, 8)
	if p.Late {
		rank++
	}
	return rank
}

func refuseLater(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindOverloaded, "no engine took the call",
		"come back at the time given").WithRetryAt(time.Now().Add(fullRetry)).WithCause(cause)
}
