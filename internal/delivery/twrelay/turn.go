package twrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// maxTurnWait is how long a suspected call of a plain service waits for its turn, and turnPollInterval the time between two
	// requests for it. Such calls last some milliseconds.
	maxTurnWait      = 300 * time.Millisecond
	turnPollInterval = 20 * time.Millisecond
)

// awaitTurn judges a call of a plain service before it is sent, and waits for its turn if it is suspected. It returns the id of the
// turn, which is empty if none is needed. The error is the refusal of a call that may not run.
func (r *Relay) awaitTurn(ctx context.Context, a *attempt, upstream turmericwall.Upstream) (id string, err error) {
	if err := r.checkQuarantine(a); err != nil {
		return "", err
	}
	if !a.isSuspect.Load() {
		return "", nil
	}
	a.turns++
	request := turmericwall.PlaceRequest{
		ID: fmt.Sprintf("%s/t%d", a.call.ID, a.turns), Service: a.service.Name, Owner: r.config.Daemon, Zone: r.config.Zone,
		GiveUpDeadline: a.deadline, CallerDeadline: a.call.Deadline, TargetDeadline: a.deadline,
		Fingerprint: string(a.fingerprint()), Turn: true, Target: upstream.Key(),
	}
	for until := time.Now().Add(maxTurnWait); ; {
		_, err = r.config.Placer.Place(ctx, request)
		if err == nil {
			return request.ID, nil
		}
		if errors.Is(err, turmericwall.ErrQuarantined) || time.Now().After(until) || !pause(ctx, turnPollInterval) {
			return "", err
		}
	}
}

// returnTurn ends a turn in which nothing was sent.
func (r *Relay) returnTurn(a *attempt) {
	if a.turn != "" {
		r.config.Placer.ApplyUpdate(turmericwall.PlacementUpdate{ID: a.turn, Service: a.service.Name, NotRun: true})
		a.turn = ""
	}
}

// recordPlainAnswer records that a plain upstream has answered the call completely.
func (r *Relay) recordPlainAnswer(a *attempt) {
	if r.config.Quarantine != nil {
		r.config.Quarantine.RecordAnswer(a.input())
	}
}
