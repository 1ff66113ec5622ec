package twquota

import (
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// refusalValidity is how long a refusal of the leader stands for the calls of its account that follow, so that an
	// account over its quota does not cause a request for each call.
	refusalValidity = 100 * time.Millisecond
	// failedLeaderBackoff is how long no charge is requested from a leader that did not answer one.
	failedLeaderBackoff = 300 * time.Millisecond
)

// refusal is a refusal of the leader.
type refusal struct {
	remaining           float64
	retryAt, validUntil time.Time
}

// isInReserve reports whether this daemon may charge the call without asking the leader; the lock is held.
//
// What all daemons use between two counts of the leader must not exceed the part of the tolerance that the leader does
// not grant. If each of them could use the whole level, the excess would grow with their number.
func (m *Meter) isInReserve(s clusterState, account turmericwall.ClientAccount, units float64) bool {
	daemons := s.daemons
	if daemons == 0 {
		daemons = assumedDaemons
	}
	reserve := (1 - leaderToleranceFraction) * m.tolerance(account.Quota) / float64(daemons)
	return m.uncountedUse(account.Name)+units <= reserve
}

// chargeAtLeader requests the charge from the leader. Without an answer the call is charged to this daemon's share.
func (m *Meter) chargeAtLeader(s clusterState, account turmericwall.ClientAccount, units float64) error {
	reply, err := m.config.ChargeAtLeader(turmericwall.ChargeRequest{Account: account.Name, Units: units})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil || reply.Declined {
		m.leaderFailedUntil = s.now.Add(failedLeaderBackoff)
		return m.chargeLocalShare(s, account, units)
	}
	if !reply.Refused {
		return nil
	}
	retryAt := s.now.Add(min(time.Duration(reply.RetryMillis)*time.Millisecond, maxRetryDelay))
	m.refusals[account.Name] = refusal{
		remaining: reply.Remaining, retryAt: retryAt, validUntil: s.now.Add(refusalValidity),
	}
	return newOverLimit(account, units, reply.Remaining, "of all daemons", retryAt)
}

// ChargeForPeer charges a call that another daemon received, as the leader.
func (m *Meter) ChargeForPeer(request turmericwall.ChargeRequest) turmericwall.ChargeReply {
	account, ok := m.config.Account(request.Account)
	if !ok || !account.Quota.IsLimited() || request.Units <= 0 {
		return turmericwall.ChargeReply{}
	}
	s := m.readState()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateState(s)
	if !s.isLeader {
		return turmericwall.ChargeReply{Declined: true}
	}
	err := m.chargeClusterBucket(s, account, request.Units)
	var problem *turmericwall.Problem
	if !errors.As(err, &problem) {
		return turmericwall.ChargeReply{}
	}
	return turmericwall.ChargeReply{
		Refused: true, Remaining: m.clusterBuckets[account.Name].available(s.now),
		RetryMillis: max(problem.RetryAt().Sub(s.now).Milliseconds(), 0),
	}
}
