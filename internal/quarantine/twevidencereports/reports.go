// Package twevidencereports exchanges evidence on upstreams that ended with other daemons: what changes goes to the leader at
// once, and the leader sends it on. What a daemon missed is fetched when heartbeats name a newer version.
package twevidencereports

import (
	"context"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
)

const (
	// checkInterval is the time between two checks whether another daemon leads now, or an exchange has to be repeated.
	checkInterval = 250 * time.Millisecond
	// exchangeTimeout bounds one exchange, and pushTimeout those in which the leader sends evidence on.
	exchangeTimeout = 300 * time.Millisecond
	pushTimeout     = 150 * time.Millisecond
	// reportTimeout bounds how long a call waits for the report on the upstream that ended under it, and relayTimeout, within
	// that, how long the leader waits until the others have it.
	reportTimeout = 450 * time.Millisecond
	relayTimeout  = 200 * time.Millisecond
	// roundInterval is the shortest time between two rounds of the leader: changes meanwhile are sent together.
	roundInterval = 50 * time.Millisecond
	// maxReceivers bounds the daemons that get the evidence while there is no leader.
	maxReceivers = 8
)

// Config holds the dependencies of Reports.
type Config struct {
	Quarantine *twquarantine.Quarantine
	// Leader returns the live leader; self is set when it is this daemon, ok when there is one.
	Leader func() (leader turmericwall.Member, self, ok bool)
	// Relay returns the daemon that forwards the leader's heartbeats; its name is empty if there is none.
	Relay func() turmericwall.Member
	// KnownPeers returns the addresses of daemons that get the evidence while there is no leader.
	KnownPeers func() []string
	Peers      turmericwall.EvidenceClient
	// Followers returns the addresses of the daemons to which this one sends its evidence on while it leads.
	Followers func() []string
	// Announce is called while this daemon leads, after its evidence has changed and was sent on.
	Announce func()
	// Persist stores what changed, and Load adds what is stored.
	Persist, Load func(ctx context.Context)
	// Count counts an event for the metrics.
	Count func(name string, n int64)
}

// Reports exchanges the evidence. Its methods are safe for concurrent use.
type Reports struct {
	config Config
	wake   chan struct{}
	mu     sync.Mutex
	// wanted is the version of the leader's evidence that heartbeats name.
	leader turmericwall.Member
	wanted int64
	// sent is the number of changes that the daemon receiver knows, the leader or "" for the known peers. done is closed
	// and replaced with each round of exchanges.
	receiver string
	sent     int64
	// backedUp is the number of changes that other daemons or the store have.
	backedUp int64
	done     chan struct{}
}

// New returns reports that have sent nothing. Exchanges are made only while Run runs.
func New(config Config) *Reports {
	return &Reports{config: config, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Want records the version of the evidence that the leader's heartbeat names; what is missing is fetched.
func (r *Reports) Want(leader turmericwall.Member, version int64) {
	r.mu.Lock()
	r.leader, r.wanted = leader, version
	r.mu.Unlock()
	if !r.config.Quarantine.Includes(leader, version) {
		r.Notify()
		return
	}
	r.config.Quarantine.MarkCurrent()
}

// Fetch fetches the evidence of the daemon at the address, unless that version of it is included already. complete is set if that daemon
// has the evidence of before its own start. A daemon that starts still waits for the leader, which knows the runs under way.
func (r *Reports) Fetch(ctx context.Context, address, holder string, version int64, complete bool) {
	if !r.config.Quarantine.Includes(turmericwall.Member{Incarnation: holder}, version) &&
		r.exchange(ctx, address, turmericwall.Evidence{}) != nil {
		return
	}
	if complete {
		r.config.Quarantine.MarkPeerEvidence()
	}
}

// Notify has changes sent at once.
func (r *Reports) Notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Flush has the changes so far sent and waits for that, for reportTimeout at most.
func (r *Reports) Flush(ctx context.Context) { r.flush(ctx, reportTimeout) }

// Receive adds the evidence of a peer and returns this daemon's. The leader returns it once other daemons have it too, so that it
// outlives this daemon; a daemon that gets the leader's evidence returns none.
func (r *Reports) Receive(ctx context.Context, received turmericwall.Evidence) turmericwall.Evidence {
	r.config.Quarantine.Merge(received)
	leader, self, live := r.config.Leader()
	if live && !self && received.Holder.Incarnation == leader.Incarnation {
		return turmericwall.Evidence{}
	}
	if self {
		r.flush(ctx, relayTimeout)
	}
	evidence, _ := r.config.Quarantine.Export()
	return evidence
}

// flush has the changes so far sent and waits for that.
func (r *Reports) flush(ctx context.Context, wait time.Duration) {
	_, changes := r.config.Quarantine.Export()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		r.mu.Lock()
		known, done := max(r.sent, r.backedUp), r.done
		r.mu.Unlock()
		if known >= changes {
			return
		}
		r.Notify()
		select {
		case <-done:
		case <-timeout.C:
			r.config.Count("evidence_reports_late", 1)
			return
		case <-ctx.Done():
			return
		}
	}
}

// Run exchanges evidence until ctx ends, and returns its error.
func (r *Reports) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-tick.C:
		}
		r.Exchange(ctx)
	}
}

// Exchange makes one round of exchanges, if one is needed.
func (r *Reports) Exchange(ctx context.Context) {
	leader, self, live := r.config.Leader()
	evidence, changes := r.config.Quarantine.Export()
	switch {
	case self:
		if !r.isUnsent(leader.Incarnation, changes) {
			return
		}
		r.backUp(ctx, r.config.Followers(), evidence)
		r.recordSent(leader.Incarnation, changes)
		r.config.Announce()
		r.pause(ctx, roundInterval)
	case live:
		r.exchangeWithLeader(ctx, leader, evidence, changes)
	case r.isUnsent("", changes):
		r.backUp(ctx, r.knownPeers(), evidence)
		r.recordSent("", changes)
	}
}

// exchangeWithLeader sends the leader what it may not know, or else fetches what this daemon lacks, from its relay if it has
// one.
func (r *Reports) exchangeWithLeader(
	ctx context.Context, leader turmericwall.Member, evidence turmericwall.Evidence, changes int64,
) {
	if r.isUnsent(leader.Incarnation, changes) {
		if r.exchange(ctx, leader.Address, evidence) == nil {
			r.recordSent(leader.Incarnation, changes)
			return
		}
		// The leader may have ended a moment ago. It gets the changes later, or the next one does.
		r.backUp(ctx, r.knownPeers(), evidence)
		r.recordBackedUp(changes)
		return
	}
	r.mu.Lock()
	wanted := r.wanted
	known := r.leader == leader
	r.mu.Unlock()
	if !known || r.config.Quarantine.Includes(leader, wanted) {
		return
	}
	from := r.config.Relay()
	if from.Name == "" {
		from = leader
	}
	if r.exchange(ctx, from.Address, turmericwall.Evidence{Holder: evidence.Holder}) == nil &&
		r.config.Quarantine.Includes(leader, wanted) {
		r.config.Quarantine.MarkCurrent()
	}
}

// Refresh exchanges evidence with other daemons and reads what is stored, for a suspect that no leader judges.
func (r *Reports) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	evidence, _ := r.config.Quarantine.Export()
	loaded := make(chan struct{})
	go func() {
		r.config.Load(ctx)
		close(loaded)
	}()
	r.backUp(ctx, r.knownPeers(), evidence)
	<-loaded
}

// knownPeers returns the daemons that get the evidence while there is no leader.
func (r *Reports) knownPeers() []string {
	peers := r.config.KnownPeers()
	return peers[:min(len(peers), maxReceivers)]
}

// backUp sends the evidence to daemons, all at the same time, and stores it.
func (r *Reports) backUp(ctx context.Context, addresses []string, evidence turmericwall.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var exchanges sync.WaitGroup
	exchanges.Go(func() { r.config.Persist(ctx) })
	for _, address := range addresses {
		exchanges.Go(func() { _ = r.exchange(ctx, address, evidence) })
	}
	exchanges.Wait()
}

// pause waits for the span, or until ctx ends.
func (r *Reports) pause(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}

func (r *Reports) exchange(ctx context.Context, address string, evidence turmericwall.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := r.config.Peers.ExchangeEvidence(ctx, address, evidence)
	if err != nil {
		r.config.Count("evidence_exchanges_failed", 1)
		return err
	}
	r.config.Count("evidence_exchanges", 1)
	r.config.Quarantine.Merge(reply)
	return nil
}

// isUnsent reports whether the receiver may not know all changes.
func (r *Reports) isUnsent(receiver string, changes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return changes > 0 && (r.receiver != receiver || r.sent < changes)
}

// recordBackedUp records how many changes other daemons or the store have.
func (r *Reports) recordBackedUp(changes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backedUp = changes
	close(r.done)
	r.done = make(chan struct{})
}

// recordSent records how many changes the receiver knows.
func (r *Reports) recordSent(receiver string, changes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receiver, r.sent = receiver, changes
	close(r.done)
	r.done = make(chan struct{})
}
