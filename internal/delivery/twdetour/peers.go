package twdetour

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
)

// peers chooses the peer for each detour.
type peers struct {
	mu sync.Mutex
	// fetched are the peers that have paths to upstreams, as last fetched.
	fetched []string
	// open has the number of open detours of each peer, leftOutUntil the peers that are not chosen until then, and againAt when those of
	// them that could not be reached may be asked again if there is no other peer.
	open                  map[string]int
	leftOutUntil, againAt map[string]time.Time
	// noOrderUntil is until when a peer that couldn't connect to an upstream, or didn't answer, isn't asked to send it another order.
	noOrderUntil map[peerPath]time.Time
}

// peerPath is the network path of a peer to an upstream.
type peerPath struct {
	peer     string
	upstream turmericwall.UpstreamKey
}

func newPeers() *peers {
	return &peers{
		open: make(map[string]int), leftOutUntil: make(map[string]time.Time), againAt: make(map[string]time.Time),
		noOrderUntil: make(map[peerPath]time.Time),
	}
}

func (p *peers) setFetched(list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetched = list
}

// pick returns the peer with the fewest open detours, one of them at random, that is neither in tried nor left out. It
// takes the fetched peers, and the known ones if there is none of those, or else one that could not be reached and may be back. Each pick
// is ended by release.
func (p *peers) pick(now time.Time, known []string, tried map[string]bool) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range [][]string{p.fetched, known} {
		if peer, ok := p.leastUsed(now, list, tried); ok {
			p.open[peer]++
			return peer, true
		}
	}
	if peer, ok := p.firstAgain(now, known, tried); ok {
		p.againAt[peer] = now.Add(unreachableRetryDelay)
		p.open[peer]++
		return peer, true
	}
	return "", false
}

// firstAgain returns the peer of the list that could not be reached and may be asked again since the earliest time; the lock is held.
func (p *peers) firstAgain(now time.Time, list []string, tried map[string]bool) (first string, ok bool) {
	for _, peer := range list {
		at, unreachable := p.againAt[peer]
		if !unreachable || tried[peer] || now.Before(at) {
			continue
		}
		if !ok || at.Before(p.againAt[first]) {
			first, ok = peer, true
		}
	}
	return first, ok
}

// leastUsed returns the available peer of the list with the fewest open detours; the lock is held.
func (p *peers) leastUsed(now time.Time, list []string, tried map[string]bool) (best string, ok bool) {
	ties := 0
	for _, peer := range list {
		if tried[peer] || now.Before(p.leftOutUntil[peer]) {
			continue
		}
		switch {
		case !ok || p.open[peer] < p.open[best]:
			best, ok, ties = peer, true, 1
		case p.open[peer] == p.open[best]:
			if ties++; rand.IntN(ties) == 0 {
				best = peer
			}
		}
	}
	return best, ok
}

func (p *peers) release(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[peer]--; p.open[peer] <= 0 {
		delete(p.open, peer)
	}
}

// leaveOutRefusing makes a peer that refused a request not be chosen for refusedSpan.
func (p *peers) leaveOutRefusing(now time.Time, peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardPast(now)
	p.leftOutUntil[peer] = now.Add(refusedSpan)
	delete(p.againAt, peer)
}

// leaveOutUnreachable makes a peer that could not be reached not be chosen for unreachableSpan while there are others.
func (p *peers) leaveOutUnreachable(now time.Time, peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardPast(now)
	p.leftOutUntil[peer] = now.Add(unreachableSpan)
	p.againAt[peer] = now.Add(unreachableRetryDelay)
}

// leaveOutOfOrders makes a peer not be asked for the span to send the upstream an order.
func (p *peers) leaveOutOfOrders(now time.Time, peer string, upstream turmericwall.UpstreamKey, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for path, until := range p.noOrderUntil {
		if now.After(until) {
			delete(p.noOrderUntil, path)
		}
	}
	p.noOrderUntil[peerPath{peer: peer, upstream: upstream}] = now.Add(span)
}

// addLeftOutOfOrders adds the peers that are not asked to send the upstream an order now.
func (p *peers) addLeftOutOfOrders(list map[string]bool, now time.Time, upstream turmericwall.UpstreamKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for path, until := range p.noOrderUntil {
		if path.upstream == upstream && now.Before(until) {
			list[path.peer] = true
		}
	}
}

// takeBack makes a peer be chosen again, since it has answered.
func (p *peers) takeBack(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.leftOutUntil, peer)
	delete(p.againAt, peer)
}

// discardPast discards what concerns peers that are left out no longer; the lock is held.
func (p *peers) discardPast(now time.Time) {
	for peer, until := range p.leftOutUntil {
		if now.After(until) {
			delete(p.leftOutUntil, peer)
			delete(p.againAt, peer)
		}
	}
}

// body is the body of an answer that came through a peer.
type body struct {
	io.ReadCloser
	onEnd func()
}

// Read reads the body. The detour ends with the first error, io.EOF included.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

// Close closes the body.
func (b *body) Close() error {
	b.end()
	return b.ReadCloser.Close()
}

func (b *body) end() {
	if b.onEnd != nil {
		b.onEnd()
		b.onEnd = nil
	}
}
