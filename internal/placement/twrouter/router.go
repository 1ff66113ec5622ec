// Package twrouter sends each arrival to the daemon that leads its service, and each ending to the daemon that granted
// the attempt. It is the Placer that requests of this daemon call before anything is sent to an engine.
package twrouter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

const (
	flushInterval     = 5 * time.Millisecond
	maxPendingEndings = 4096
	maxRemoteGrants   = 1 << 16
	// avoidDuration is how long the router sends no arrivals to a leader after it did not answer.
	avoidDuration = 2 * time.Second
)

// Router implements turmericwall.Placer.
type Router struct {
	peers     turmericwall.Peers
	local     turmericwall.Placer
	localOnly bool
	clock     clockwork.Clock
	recorder  turmericwall.Recorder
	endings   chan turmericwall.Ending

	mu sync.Mutex
	// leaderByAttempt are the leaders that granted this daemon's running attempts.
	leaderByAttempt map[string]string
	avoidedUntil    map[string]time.Time
}

// Config holds the router's dependencies.
type Config struct {
	Peers turmericwall.Peers
	// Local decides without another daemon.
	Local turmericwall.Placer
	// LocalOnly places all arrivals locally, as the baseline policies do.
	LocalOnly bool
	Clock     clockwork.Clock
	Recorder  turmericwall.Recorder
}

// New returns a router. It reports the ends of attempts to the leader only while Run is running.
func New(config Config) *Router {
	return &Router{
		peers:           config.Peers,
		local:           config.Local,
		localOnly:       config.LocalOnly,
		clock:           config.Clock,
		recorder:        config.Recorder,
		endings:         make(chan turmericwall.Ending, maxPendingEndings),
		leaderByAttempt: make(map[string]string),
		avoidedUntil:    make(map[string]time.Time),
	}
}

// LeaderOf returns the daemon that decides on the service's arrivals; without a reachable leader that is this daemon.
func (r *Router) LeaderOf(service string) string {
	if r.localOnly {
		return r.peers.Self()
	}
	leaders := r.usableLeaders(r.peers.EligibleLeaders())
	if len(leaders) == 0 {
		return r.peers.Self()
	}
	return rendezvous.New(leaders, xxhash.Sum64String).Lookup(service)
}

// Place asks the service's leader for a placement, then the next leader, and decides locally when neither answers. A
// partitioned daemon thus serves from its own view of the engines, which refuse what they have no room for. A refusal
// by a leader is final and returned as a *turmericwall.Problem.
func (r *Router) Place(ctx context.Context, arrival turmericwall.Arrival) (turmericwall.Grant, error) {
	for range maxLeaderAttempts {
		leader := r.LeaderOf(arrival.Service)
		if leader == r.peers.Self() {
			break
		}
		grant, err := r.peers.Place(ctx, leader, arrival)
		if err == nil {
			r.recordGrant(arrival.Attempt, leader)
		}
		if err == nil || isRefusal(err) || ctx.Err() != nil {
			return grant, err
		}
		r.recorder.Record(turmericwall.EventLeaderUnreachable).
			Str("leader", leader).Str("attempt", arrival.Attempt).Err(err).Send()
		r.avoidLeader(leader)
	}
	return r.local.Place(ctx, arrival)
}

const maxLeaderAttempts = 2

// Finish sends the ending to the leader that granted the attempt. It never blocks.
func (r *Router) Finish(ending turmericwall.Ending) {
	select {
	case r.endings <- ending:
	default:
		// The reservation is then released by the first engine report that no longer lists the attempt.
	}
}

// Run sends endings, batched by leader, until ctx is done.
func (r *Router) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-r.endings:
			r.clock.Sleep(flushInterval)
			r.sendEndings(ctx, r.drainEndings(first))
		}
	}
}

func (r *Router) drainEndings(first turmericwall.Ending) []turmericwall.Ending {
	endings := []turmericwall.Ending{first}
	for {
		select {
		case e := <-r.endings:
			endings = append(endings, e)
		default:
			return endings
		}
	}
}

func (r *Router) sendEndings(ctx context.Context, endings []turmericwall.Ending) {
	byLeader := make(map[string][]turmericwall.Ending)
	for _, e := range endings {
		leader, remote := r.removeGrant(e.Attempt)
		if !remote {
			r.local.Finish(e)
			continue
		}
		byLeader[leader] = append(byLeader[leader], e)
	}
	for leader, batch := range byLeader {
		_ = r.peers.Finish(ctx, leader, batch)
	}
}

func (r *Router) recordGrant(attempt, leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.leaderByAttempt) < maxRemoteGrants {
		r.leaderByAttempt[attempt] = leader
	}
}

func (r *Router) removeGrant(attempt string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	leader, ok := r.leaderByAttempt[attempt]
	delete(r.leaderByAttempt, attempt)
	return leader, ok
}

func (r *Router) avoidLeader(leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidedUntil[leader] = r.clock.Now().Add(avoidDuration)
}

func (r *Router) usableLeaders(leaders []string) []string {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := leaders[:0:0]
	for _, leader := range leaders {
		if until, ok := r.avoidedUntil[leader]; ok && now.Before(until) {
			continue
		}
		delete(r.avoidedUntil, leader)
		usable = append(usable, leader)
	}
	return usable
}

// isRefusal reports whether the leader refused the arrival, as opposed to not answering.
func isRefusal(err error) bool {
	var problem *turmericwall.Problem
	return errors.As(err, &problem)
}
