package twexchange

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

// placeTimeoutMargin is how long the leader's answer may take beyond the arrival's own deadline.
const placeTimeoutMargin = 300 * time.Millisecond

// QueryAttempt returns how far the attempt's owner got with it, or AttemptUnknown with an error when the owner did not
// answer.
func (e *Exchange) QueryAttempt(ctx context.Context, owner, attempt string) (turmericwall.AttemptState, error) {
	state := turmericwall.AttemptUnknown
	err := e.call(ctx, owner, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.Inquire(ctx, &twpeer.InquireRequest{Attempt: attempt})
		state = turmericwall.AttemptState(reply.GetState())
		return err
	})
	return state, err
}

// WantedAttempts returns which of the attempts their owner still wants.
func (e *Exchange) WantedAttempts(ctx context.Context, owner string, attempts []string) ([]string, error) {
	var wanted []string
	err := e.call(ctx, owner, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.Hold(ctx, &twpeer.HoldRequest{Attempts: attempts})
		wanted = reply.GetWanted()
		return err
	})
	return wanted, err
}

// Place requests a placement from the leader. A refusal is returned as a turmericwall.Problem, a failed call as
// another error.
func (e *Exchange) Place(ctx context.Context, leader string, arrival turmericwall.Arrival) (turmericwall.Grant, error) {
	var grant turmericwall.Grant
	var refusal error
	timeout := e.placeTimeout(arrival)
	err := e.call(ctx, leader, timeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.Place(ctx, twpeer.EncodeArrival(e.clock.Now(), arrival))
		if err == nil {
			grant, refusal = twpeer.DecodeGrant(e.clock.Now(), arrival.Attempt, reply)
		}
		return err
	})
	if err != nil {
		return turmericwall.Grant{}, err
	}
	return grant, refusal
}

// Finish reports to the leader how attempts ended, so that it releases their reservations.
func (e *Exchange) Finish(ctx context.Context, leader string, endings []turmericwall.Ending) error {
	return e.call(ctx, leader, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		_, err := peer.Finish(ctx, twpeer.EncodeEndings(endings))
		return err
	})
}

// placeTimeout returns how long to wait for the leader's decision on the arrival.
func (e *Exchange) placeTimeout(arrival turmericwall.Arrival) time.Duration {
	deadline := arrival.GiveUpDeadline
	if deadline.IsZero() {
		deadline = arrival.FirstTokenDeadline
	}
	return max(0, deadline.Sub(e.clock.Now())) + placeTimeoutMargin
}

// call calls a daemon by its incarnation.
func (e *Exchange) call(
	ctx context.Context, incarnation string, timeout time.Duration, call func(context.Context, twpeer.PeerClient) error,
) error {
	address, ok := e.addressOf(incarnation)
	if !ok {
		return fmt.Errorf("daemon %s is not known here; it may have been replaced", incarnation)
	}
	return e.dialer.Call(ctx, address, timeout, call)
}

// addressOf returns a live daemon's address; ok is false when the incarnation is not live.
func (e *Exchange) addressOf(incarnation string) (string, bool) {
	for _, b := range e.Members() {
		if b.GetIncarnation() == incarnation {
			return b.GetAddress(), true
		}
	}
	return "", false
}
