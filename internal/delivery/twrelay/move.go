package twrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxMoves is how often one stream may change its engine.
	maxMoves = 3
	// movePause is the pause after a move for which no engine had room: about one run ends in it on each engine.
	movePause = 250 * time.Millisecond
	// moveLimit ends the copying of one run: some hundred times what its memory takes on the usual link.
	moveLimit = 1500 * time.Millisecond
)

// moved is the outcome of a move.
type moved struct {
	placement turmericwall.Placement
	export    turmericwall.EngineExport
	copied    bool
	// stopped tells that the engine may have stopped the run.
	stopped bool
	err     error
}

// moveAsk asks for one move of a run that holds so many tokens.
type moveAsk struct {
	from turmericwall.Upstream
	// number is one for the first ask of the call.
	number int
	held   int
}

// leaveInTime begins to move the run when its engine is about to leave.
//
// An engine that leaves serves on for two seconds and then cuts what still runs; a long answer lasts five. The caller
// would lose the whole answer, and the prompt was read in vain. Moved with its memory, the answer goes on elsewhere.
func (s *streaming) leaveInTime(ctx context.Context) {
	if s.moving {
		s.stay()
		return
	}
	if s.relay.config.View.Takes(s.engine.Key()) {
		return
	}
	if s.attempt.moves >= maxMoves || time.Now().Before(s.moveAt) {
		return
	}
	s.moving = true
	s.asks++
	ask := moveAsk{
		from: s.engine, number: s.asks,
		held: s.attempt.call.Work.PromptTokens + s.attempt.model.events*s.attempt.service.Engine.TokensPerEvent,
	}
	go func() { s.moved <- s.relay.move(ctx, s.attempt, ask) }()
}

// stay lets the stream be moved again when a move was refused before it stopped the run.
func (s *streaming) stay() {
	select {
	case outcome := <-s.moved:
		if outcome.stopped || outcome.err == nil {
			s.moved <- outcome
			return
		}
		s.moving = false
		s.moveAt = time.Now().Add(movePause)
		s.recordMove(outcome)
	default:
	}
}

// move finds a place for a run and copies its memory there. The send that goes on there is paid for before the run is
// stopped: without it the answer would be lost.
func (r *Relay) move(ctx context.Context, a *attempt, ask moveAsk) moved {
	if !r.config.Throttle.ClosedUntil(ask.from.Key()).IsZero() {
		return moved{err: errBackOff}
	}
	ctx, cancel := context.WithTimeout(ctx, moveLimit)
	defer cancel()
	work := a.call.Work
	made := ask.held - work.PromptTokens
	work.PromptTokens = ask.held
	work.HintTokens = max(work.HintTokens-made, a.service.Engine.TokensPerEvent)
	work.MaxTokens = max(work.MaxTokens-made, a.service.Engine.TokensPerEvent)
	placement, err := r.config.Placer.Place(ctx, turmericwall.PlaceAsk{
		ID: fmt.Sprintf("%s/m%d", a.call.ID, ask.number), Service: a.service.Name, Owner: r.config.Daemon, Zone: ask.from.Zone,
		Work: work, TargetDeadline: a.deadline, GiveUpDeadline: a.deadline, CallerDeadline: a.call.Deadline,
		EventGapMillis: a.route.EventGapMillis, Moving: true, Avoid: []string{ask.from.ID},
	})
	if err != nil {
		return moved{err: err}
	}
	if err := r.takes(placement.Decode); err != nil {
		r.config.Placer.Finish(turmericwall.PlacementEnd{ID: placement.ID, Service: a.service.Name})
		return moved{err: err}
	}
	if err := r.config.Throttle.Admit(ctx, placement.Decode.Key()); err != nil {
		r.config.Placer.Finish(turmericwall.PlacementEnd{ID: placement.ID, Service: a.service.Name})
		return moved{err: err}
	}
	if !r.config.Retries.Spend(time.Now(), a.service.Name, r.config.Daemons()) {
		r.config.Placer.Finish(turmericwall.PlacementEnd{ID: placement.ID, Service: a.service.Name})
		return moved{err: errNoBudget}
	}
	export, copied, err := r.config.Upstreams.MoveRun(ctx, ask.from, placement.Decode, a.call.ID)
	if err != nil {
		r.config.Placer.Finish(turmericwall.PlacementEnd{ID: placement.ID, Service: a.service.Name})
		var sent *turmericwall.SendError
		return moved{stopped: !errors.As(err, &sent) || !sent.Safe(), err: err}
	}
	return moved{placement: placement, export: export, copied: copied}
}

// goOn continues the answer on the engine that the run was moved to; ended is how the stream before ended.
func (s *streaming) goOn(ctx context.Context, ended error) error {
	outcome := <-s.moved
	s.moving = false
	r, a := s.relay, s.attempt
	s.recordMove(outcome)
	if outcome.err != nil {
		if _, err := a.w.Write(s.rest); err != nil {
			return err
		}
		return ended
	}
	defer r.config.Placer.Finish(turmericwall.PlacementEnd{ID: outcome.placement.ID, Service: a.service.Name})
	if s.lastEvent == 0 {
		return errors.Join(ended, errNoEvent)
	}
	to := outcome.placement.Decode
	if !outcome.copied {
		to = s.engine
	}
	a.tries++
	a.moves++
	answer, err := r.config.Upstreams.Send(ctx, to, turmericwall.Outgoing{
		Call: a.call, Deadline: a.deadline, Step: turmericwall.StepImport, Export: outcome.export, ResumeAfter: s.lastEvent,
	})
	if err != nil {
		return errors.Join(ended, err)
	}
	if answer.Status != 200 || encoded(answer) {
		_ = answer.Body.Close()
		return errors.Join(ended, fmt.Errorf("the engine answered %d to a moved run", answer.Status))
	}
	// The run before is over; left in the books until the stream ends, it would keep others from its memory.
	r.config.Placer.Finish(turmericwall.PlacementEnd{ID: s.placement, Service: a.service.Name})
	s.engine = to
	s.placement = outcome.placement.ID
	a.upstream = to.ID
	return s.copy(ctx, answer.Body)
}

func (s *streaming) recordMove(outcome moved) {
	entry := s.relay.config.Recorder.Record(turmericwall.EventRunMoved).Str("request", s.attempt.call.ID).Str("from", s.engine.ID).
		Str("to", outcome.placement.Decode.ID).Int("lastEvent", s.lastEvent)
	if outcome.err != nil {
		entry = entry.Err(outcome.err)
	}
	entry.Send()
}

// abandon frees what a move took that is no longer wanted, because the caller left meanwhile.
func (s *streaming) abandon() {
	outcome := <-s.moved
	if outcome.err != nil {
		return
	}
	s.relay.config.Placer.Finish(turmericwall.PlacementEnd{ID: outcome.placement.ID, Service: s.attempt.service.Name})
	s.relay.cleanup(outcome.placement.Decode, "", s.engine, outcome.export)
}

var errNoEvent = errors.New("the stream was moved before its first event")
