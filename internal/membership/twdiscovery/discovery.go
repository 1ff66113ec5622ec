// Package twdiscovery finds the leader through peers while this daemon has no live leader. It is not on a request's
// path, but calls are placed locally until a leader is found.
package twdiscovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// checkInterval is the time between two checks whether a peer has to be queried, and startCheckInterval that in the startSpan after the
// start, when each check that comes late delays the first call.
const (
	checkInterval      = 50 * time.Millisecond
	startCheckInterval = 20 * time.Millisecond
	startSpan          = 5 * time.Second
)

// maxQueries is the number of queries that are under way at the same time: a seed whose VM is down takes its query's whole time limit,
// in which the others are asked.
const maxQueries = 3

// Config holds the peers that may be queried and the callbacks of a Discovery.
type Config struct {
	// Self is this daemon's own address, which is never queried.
	Self string
	// ShouldQuery reports whether a peer has to be queried now.
	ShouldQuery func() bool
	// Standbys, Seeds and Holder return the peers that may know the leader: the standbys in the last heartbeat, the
	// addresses in the settings, and the lease's holder as last seen.
	Standbys func() []turmericwall.Member
	Seeds    func() []string
	Holder   func() turmericwall.Member
	// Referred returns the peers to which the last answer referred this daemon; it may be nil.
	Referred func() []string
	// FetchState fetches a peer's state and announces this daemon to it. newer reports whether the peer had newer state
	// than this daemon.
	FetchState func(ctx context.Context, address string) (leader turmericwall.Member, newer bool, err error)
	// OnQueried is called after each query. useful reports whether the query led to the leader or brought newer state.
	OnQueried func(useful bool)
}

// Discovery queries the peers in turn.
type Discovery struct {
	config Config
	mu     sync.Mutex
	next   int
}

// New returns a Discovery that starts with a random peer, so that many daemons do not all query the same one first.
func New(config Config) *Discovery { return &Discovery{config: config, next: rand.IntN(1 << 10)} }

// Run queries peers whenever that is due, until ctx ends.
func (d *Discovery) Run(ctx context.Context) error {
	tick := time.NewTicker(startCheckInterval)
	defer tick.Stop()
	startEnd := time.NewTimer(startSpan)
	defer startEnd.Stop()
	slots := make(chan struct{}, maxQueries)
	var queries sync.WaitGroup
	defer queries.Wait()
	for {
		if len(slots) < maxQueries && d.config.ShouldQuery() {
			slots <- struct{}{}
			queries.Go(func() {
				d.config.OnQueried(d.queryNext(ctx))
				<-slots
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-startEnd.C:
			tick.Reset(checkInterval)
		case <-tick.C:
		}
	}
}

// queryNext queries the next peer, and the leader that it names. It reports whether that was useful.
func (d *Discovery) queryNext(ctx context.Context) bool {
	peers := d.candidates()
	if len(peers) == 0 {
		return false
	}
	d.mu.Lock()
	d.next++
	peer := peers[d.next%len(peers)]
	d.mu.Unlock()
	leader, newer, err := d.config.FetchState(ctx, peer)
	switch {
	case err != nil:
		return false
	case leader.Address == peer:
		return true
	case leader.Address == "" || leader.Address == d.config.Self:
		return newer
	}
	_, _, err = d.config.FetchState(ctx, leader.Address)
	return err == nil
}

// candidates returns the addresses that may be queried, each once.
func (d *Discovery) candidates() []string {
	var list []string
	add := func(address string) {
		if address != "" && address != d.config.Self && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	for _, standby := range d.config.Standbys() {
		add(standby.Address)
	}
	for _, seed := range d.config.Seeds() {
		add(seed)
	}
	add(d.config.Holder().Address)
	if d.config.Referred != nil {
		for _, address := range d.config.Referred() {
			add(address)
		}
	}
	return list
}
