// Package twrouter sends arrivals to the leader of their service.
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
	flushInterval = 5 * time.Millisecond
	endingsBuffer = 4096
	maxGranted    = 1 << 16
	// avoidFor keeps arrivals away from a leader that gave no answer.
	avoidFor = 2 * time.Second
)

// Router implements turmericwall.Placer.
type Router struct {
	peers    turmericwall.Peers
	local    turmericwall.Placer
	alone    bool
	clock    clockwork.Clock
	recorder turmericwall.Recorder
	endings  chan turmericwall.Ending

	mu      sync.Mutex
	granted map[string]string
	avoided map[string]time.Time
}

// Config names where decisions are made.
type Config struct {
	Peers turmericwall.Peers
	// Local decides at this daemon.
	Local turmericwall.Placer
	// Alone makes each daemon decide for itself, as the baselines do.
	Alone    bool
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
}

// New returns a router; endings go out while Run runs.
func New(config Config) *Router {
	return &Router{
		peers:    config.Peers,
		local:    config.Local,
		alone:    config.Alone,
		clock:    config.Clock,
		recorder: config.Recorder,
		endings:  make(chan turmericwall.Ending, endingsBuffer),
		granted:  make(map[string]string),
		avoided:  make(map[string]time.Time),
	}
}

// LeaderOf returns the daemon that decides on the service's arrivals.
func (r *Router) LeaderOf(service string) string {
	if r.alone {
		return r.peers.Self()
	}
	leaders := r.usable(r.peers.Leaders())
	if len(leaders) == 0 {
		return r.peers.Self()
	}
	return rendezvous.New(leaders, xxhash.Sum64String).Lookup(service)
}

// Place asks the service's leader, then the next one, and decides alone when none answers: a daemon cut
// off from its peers serves on its own view, and the engines refuse what they can't hold.
func (r *Router) Place(ctx context.Context, arrival turmericwall.Arrival) (turmericwall.Grant, error) {
	for range maxLeaders {
		leader := r.LeaderOf(arrival.Service)
		if leader == r.peers.Self() {
			break
		}
		grant, err := r.peers.Place(ctx, leader, arrival)
		if err == nil {
			r.note(arrival.Attempt, leader)
		}
		if err == nil || decided(err) || ctx.Err() != nil {
			return grant, err
		}
		r.recorder.Record(turmericwall.EventLeaderUnreachable).Str("leader", leader).Str("attempt", arrival.Attempt).Err(err).Send()
		r.avoid(leader)
	}
	return r.local.Place(ctx, arrival)
}

const maxLeaders = 2

// Finish sends the ending to the leader that granted the attempt.
func (r *Router) Finish(ending turmericwall.Ending) {
	select {
	case r.endings <- ending:
	default:
		// The reservation then ends with the engine's report that no longer lists the attempt.
	}
}

// Run sends endings, grouped by leader, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-r.endings:
			r.clock.Sleep(flushInterval)
			r.flush(ctx, r.gather(first))
		}
	}
}

func (r *Router) gather(first turmericwall.Ending) []turmericwall.Ending {
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

func (r *Router) flush(ctx context.Context, endings []turmericwall.Ending) {
	byLeader := make(map[string][]turmericwall.Ending)
	for _, e := range endings {
		leader, remote := r.forget(e.Attempt)
		if !remote {
			r.local.Finish(e)
			continue
		}
		byLeader[leader] = append(byLeader[leader], e)
	}
	for leader, group := range byLeader {
		_ = r.peers.Finish(ctx, leader, group)
	}
}

func (r *Router) note(attempt, leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.granted) < maxGranted {
		r.granted[attempt] = leader
	}
}

func (r *Router) forget(attempt string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	leader, ok := r.granted[attempt]
	delete(r.granted, attempt)
	return leader, ok
}

func (r *Router) avoid(leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided[leader] = r.clock.Now().Add(avoidFor)
}

func (r *Router) usable(leaders []string) []string {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := leaders[:0:0]
	for _, k := range leaders {
		if until, ok := r.avoided[k]; ok && now.Before(until) {
			continue
		}
		delete(r.avoided, k)
		usable = append(usable, k)
	}
	return usable
}

// decided tells a leader's refusal from a leader that gave no answer.
func decided(err error) bool {
	var problem *turmericwall.Problem
	return errors.As(err, &problem)
}
