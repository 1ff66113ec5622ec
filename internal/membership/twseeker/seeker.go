// Package twseeker finds the leader through peers while this daemon hears none.
package twseeker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericwall/turmericwall"
)

// step is the pause between two looks at whether a peer must be asked.
const step = 50 * time.Millisecond

// Config says whom a seeker may ask.
type Config struct {
	// Self is this daemon's own address.
	Self string
	// Due tells that a peer should be asked now.
	Due func() bool
	// Standbys, Seeds and Holder name peers that may know the leader: standbys of the last one heard, the addresses in the
	// settings, and the lease's holder as last seen.
	Standbys func() []turmericwall.Member
	Seeds    func() []string
	Holder   func() turmericwall.Member
	// Learn fetches a peer's state and joins it; newer tells that it knew more than this daemon.
	Learn func(ctx context.Context, address string) (leader turmericwall.Member, newer bool, err error)
	// Asked takes whether a question was of use.
	Asked func(useful bool)
}

// Seeker asks one peer at a time.
type Seeker struct {
	config Config
	turn   int
}

// New returns a seeker that begins with any of its peers, so that many daemons don't ask the same one.
func New(config Config) *Seeker { return &Seeker{config: config, turn: rand.IntN(1 << 10)} }

// Run asks peers while that is due, until ctx ends.
func (s *Seeker) Run(ctx context.Context) error {
	tick := time.NewTicker(step)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if s.config.Due() {
			s.config.Asked(s.ask(ctx))
		}
	}
}

// ask asks the next peer, and the leader that it names; it tells whether that was of use.
func (s *Seeker) ask(ctx context.Context) bool {
	peers := s.peers()
	if len(peers) == 0 {
		return false
	}
	s.turn++
	peer := peers[s.turn%len(peers)]
	leader, newer, err := s.config.Learn(ctx, peer)
	switch {
	case err != nil:
		return false
	case leader.Address == peer:
		return true
	case leader.Address == "" || leader.Address == s.config.Self:
		return newer
	}
	_, _, err = s.config.Learn(ctx, leader.Address)
	return err == nil
}

// peers are the addresses to ask, each once.
func (s *Seeker) peers() []string {
	var list []string
	add := func(address string) {
		if address != "" && address != s.config.Self && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	for _, standby := range s.config.Standbys() {
		add(standby.Address)
	}
	for _, seed := range s.config.Seeds() {
		add(seed)
	}
	add(s.config.Holder().Address)
	return list
}
