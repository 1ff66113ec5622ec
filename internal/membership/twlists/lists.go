// Package twlists decides which daemons get the whole list of upstreams from this one, and which are referred to a daemon that has got
// it. It is for the start of all daemons at once: a hundred whole lists at a time fill the link of the seed that sends them, each takes
// longer than its receiver waits, and none arrives. It has no clock, does no I/O and starts no goroutine.
package twlists

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// linkShare is the share of the link that whole lists may take; heartbeats and calls need the rest.
	linkShare = 0.7
	// maxQueueSpan is how long the lists that were begun may take in all: less than the 800 ms for which a receiver waits.
	maxQueueSpan = 400 * time.Millisecond
	// maxHolders bounds the daemons that are remembered because they have the list, and maxReferred those that one answer names.
	maxHolders  = 64
	maxReferred = 3
)

// Config holds the settings of Lists.
type Config struct {
	// LinkMegabits is the rate of this daemon's link in Mbit/s; 0 means that it isn't limited.
	LinkMegabits float64
}

// holder is a daemon to which the list was sent, and when it has it.
type holder struct {
	address string
	at      time.Time
}

// Lists makes the decisions of one daemon. It is safe for concurrent use.
type Lists struct {
	config Config
	mu     sync.Mutex
	// busyUntil is when the link has carried the lists that were begun.
	busyUntil time.Time
	// holders are the daemons to which the list was sent, oldest first.
	holders []holder
}

// New returns lists of which none was sent.
func New(config Config) *Lists { return &Lists{config: config} }

// Begin decides whether a whole list of that many bytes is sent now to the daemon at the address, which is empty if it is unknown. One
// list is always sent while no other one is under way.
func (l *Lists) Begin(now time.Time, address string, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.config.LinkMegabits <= 0 {
		return true
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	span := time.Duration(float64(bytes) * 8 / (linkShare * l.config.LinkMegabits * 1e6) * float64(time.Second))
	if l.busyUntil.After(now) && l.busyUntil.Add(span).Sub(now) > maxQueueSpan {
		return false
	}
	l.busyUntil = l.busyUntil.Add(span)
	if address != "" {
		l.holders = slices.DeleteFunc(l.holders, func(h holder) bool { return h.address == address })
		l.holders = append(l.holders, holder{address: address, at: l.busyUntil})
		l.holders = l.holders[max(len(l.holders)-maxHolders, 0):]
	}
	return true
}

// Refer returns some daemons, chosen at random, that should have the list by now.
func (l *Lists) Refer(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for _, h := range l.holders {
		if !h.at.After(now) {
			list = append(list, h.address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxReferred)]
}
