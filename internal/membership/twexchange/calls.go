package twexchange

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

// placeSlack is how long a leader's answer may take beyond the wait that the arrival allows.
const placeSlack = 300 * time.Millisecond

// Inquire asks the owner of the attempt how far it got.
func (e *Exchange) Inquire(ctx context.Context, owner, attempt string) (turmericwall.AttemptState, error) {
	state := turmericwall.AttemptUnknown
	err := e.call(ctx, owner, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.Inquire(ctx, &twpeer.InquireRequest{Attempt: attempt})
		state = turmericwall.AttemptState(reply.GetState())
		return err
	})
	return state, err
}

// Hold asks the owner which of its attempts it still wants.
func (e *Exchange) Hold(ctx context.Context, owner string, attempts []string) ([]string, error) {
	var wanted []string
	err := e.call(ctx, owner, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.Hold(ctx, &twpeer.HoldRequest{Attempts: attempts})
		wanted = reply.GetWanted()
		return err
	})
	return wanted, err
}

// Place asks the leader for a place.
func (e *Exchange) Place(ctx context.Context, leader string, arrival turmericwall.Arrival) (turmericwall.Grant, error) {
	var grant turmericwall.Grant
	var refused error
	timeout := e.waitFor(arrival)
	err := e.call(ctx, leader, timeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.Place(ctx, twpeer.EncodeArrival(e.clock.Now(), arrival))
		if err == nil {
			grant, refused = twpeer.DecodeGrant(e.clock.Now(), arrival.Attempt, reply)
		}
		return err
	})
	if err != nil {
		return turmericwall.Grant{}, err
	}
	return grant, refused
}

// Finish tells the leader how attempts ended.
func (e *Exchange) Finish(ctx context.Context, leader string, endings []turmericwall.Ending) error {
	return e.call(ctx, leader, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		_, err := peer.Finish(ctx, twpeer.EncodeEndings(endings))
		return err
	})
}

func (e *Exchange) waitFor(arrival turmericwall.Arrival) time.Duration {
	deadline := arrival.GiveUpDeadline
	if deadline.IsZero() {
		deadline = arrival.FirstTokenDeadline
	}
	return max(0, deadline.Sub(e.clock.Now())) + placeSlack
}

func (e *Exchange) call(ctx context.Context, incarnation string, timeout time.Duration, call func(context.Context, twpeer.PeerClient) error) error {
	address, ok := e.addressOf(incarnation)
	if !ok {
		return fmt.Errorf("daemon %s is not known here; it may have been replaced", incarnation)
	}
	return e.dialer.Call(ctx, address, timeout, call)
}

func (e *Exchange) addressOf(incarnation string) (string, bool) {
	for _, b := range e.Members() {
		if b.GetIncarnation() == incarnation {
			return b.GetAddress(), true
		}
	}
	return "", false
}
