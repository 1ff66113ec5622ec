// Package twexchange exchanges heartbeats with the other daemons, and carries this daemon's requests to them: a
// placement by the leader, the state of an attempt, the document and the list of VMs.
package twexchange

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twrevision"
	"github.com/turmericwall/turmericwall/internal/membership/twdialer"
	"github.com/turmericwall/turmericwall/internal/membership/twfleet"
	"github.com/turmericwall/turmericwall/internal/membership/twliveness"
	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
)

// Few peers cost little and spread heartbeats fast. With more peers, one peer in each round keeps the control traffic
// within its limit.
const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = time.Second
	// callTimeout is the time limit of a call that the peer answers without waiting.
	callTimeout = time.Second
	// smallFleetPeers is the largest number of peers that counts as small, and smallFleetFanout how many of them get
	// heartbeats in each round.
	smallFleetPeers  = 12
	smallFleetFanout = 3
)

// Exchange implements turmericwall.Peers. It is safe for concurrent use.
type Exchange struct {
	dialer   *twdialer.Dialer
	fleet    *twfleet.Fleet
	holder   *twrevision.Holder
	clock    clockwork.Clock
	recorder turmericwall.Recorder
	seeds    []string
	self     string
	address  string
	lost     chan string

	mu       sync.Mutex
	tracker  *twliveness.Tracker
	draining bool
	// reportedLive holds the incarnations that were logged as live.
	reportedLive map[string]bool
}

// Config holds this daemon's identity and what its peers' heartbeats and replies update.
type Config struct {
	Incarnation string
	Address     string
	Zone        string
	Seeds       []string
	Dialer      *twdialer.Dialer
	Fleet       *twfleet.Fleet
	Holder      *twrevision.Holder
	Clock       clockwork.Clock
	Recorder    turmericwall.Recorder
}

// lostBuffer is how many lost incarnations wait for the reader of Lost; further ones are dropped.
const lostBuffer = 256

// New returns an exchange that knows only its own daemon.
func New(config Config) *Exchange {
	self := &twpeer.Heartbeat{Incarnation: config.Incarnation, Address: config.Address, Zone: config.Zone}
	return &Exchange{
		dialer:       config.Dialer,
		fleet:        config.Fleet,
		holder:       config.Holder,
		clock:        config.Clock,
		recorder:     config.Recorder,
		seeds:        config.Seeds,
		self:         config.Incarnation,
		address:      config.Address,
		lost:         make(chan string, lostBuffer),
		tracker:      twliveness.New(self),
		reportedLive: make(map[string]bool),
	}
}

// Run exchanges heartbeats until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := e.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		e.exchangeOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// Lost returns the channel of the incarnations that became lost.
func (e *Exchange) Lost() <-chan string { return e.lost }

// Drain reports to the peers, at once and with each further heartbeat, that this daemon is draining and must lead no
// service.
func (e *Exchange) Drain(ctx context.Context) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.exchangeOnce(ctx)
}

// Receive merges a peer's heartbeats and returns this daemon's.
func (e *Exchange) Receive(heartbeats *twpeer.Heartbeats) *twpeer.Heartbeats {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merge(now, heartbeats)
	return e.tracker.Snapshot(now)
}

// Self returns this daemon's incarnation.
func (e *Exchange) Self() string { return e.self }

// IsLive reports whether the incarnation counts as live.
func (e *Exchange) IsLive(incarnation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.IsLive(e.clock.Now(), incarnation)
}

// IsPartitioned reports whether fewer than half of the listed daemons are reachable. It is then more likely that this
// daemon is partitioned, and what the others hold must not count as orphaned.
func (e *Exchange) IsPartitioned() bool {
	listed := len(e.fleet.Upstreams(twfleet.DaemonService))
	return 2*len(e.Members()) < listed
}

// EligibleLeaders returns the live daemons that are not draining, in the order of their incarnations.
func (e *Exchange) EligibleLeaders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var leaders []string
	if !e.draining {
		leaders = append(leaders, e.self)
	}
	for _, b := range e.tracker.Live(e.clock.Now()) {
		if !b.GetDraining() {
			leaders = append(leaders, b.GetIncarnation())
		}
	}
	sort.Strings(leaders)
	return leaders
}

// Members returns the last heartbeats of all live daemons, this daemon's first.
func (e *Exchange) Members() []*twpeer.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Snapshot(e.clock.Now()).GetBeats()
}

// ExchangeWithAll exchanges heartbeats with all known addresses, for a daemon that starts while the platform is
// unavailable. It returns how many peers answered.
func (e *Exchange) ExchangeWithAll(ctx context.Context) int {
	answered := 0
	for _, address := range e.addresses() {
		if e.exchangeWith(ctx, address) == nil {
			answered++
		}
	}
	return answered
}

// exchangeOnce runs one round of heartbeats and fetches what peers have that this daemon lacks. Peers that do not
// answer are skipped until a later round.
func (e *Exchange) exchangeOnce(ctx context.Context) {
	e.advance()
	e.reportLost()
	for _, address := range e.targets() {
		_ = e.exchangeWith(ctx, address)
	}
	e.fetchNewerDocument(ctx)
	e.fetchVMs(ctx)
}

// advance updates this daemon's own heartbeat.
func (e *Exchange) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.NextHeartbeats(e.clock.Now(), e.holder.Revision(), e.draining, e.fleet.Leaving())
}

// reportLost logs the daemons that became lost and sends them to the reader of Lost.
func (e *Exchange) reportLost() {
	e.mu.Lock()
	lost := e.tracker.NewlyLost(e.clock.Now())
	for _, incarnation := range lost {
		delete(e.reportedLive, incarnation)
	}
	e.mu.Unlock()
	for _, incarnation := range lost {
		e.recorder.Record(turmericwall.EventPeerLost).Str("peer", incarnation).Send()
		select {
		case e.lost <- incarnation:
		default:
		}
	}
}

// targets returns the addresses for one round, drawn at random.
func (e *Exchange) targets() []string {
	addresses := e.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	fanout := 1
	if len(addresses) <= smallFleetPeers {
		fanout = smallFleetFanout
	}
	return addresses[:min(fanout, len(addresses))]
}

// addresses returns the addresses of all peers without duplicates: the live members, the daemons in the platform's list
// and the seeds.
func (e *Exchange) addresses() []string {
	seen := map[string]bool{e.address: true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, b := range e.Members() {
		add(b.GetAddress())
	}
	for _, vm := range e.fleet.Upstreams(twfleet.DaemonService) {
		add(vm.Address)
	}
	for _, seed := range e.seeds {
		add(seed)
	}
	return addresses
}

// exchangeWith sends this daemon's heartbeats to one peer and merges the reply.
func (e *Exchange) exchangeWith(ctx context.Context, address string) error {
	e.mu.Lock()
	own := e.tracker.Snapshot(e.clock.Now())
	e.mu.Unlock()
	return e.dialer.Call(ctx, address, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.Exchange(ctx, own)
		if err != nil {
			return err
		}
		e.Receive(reply)
		return nil
	})
}

// merge applies a peer's heartbeats and logs daemons that became live; the lock is held.
func (e *Exchange) merge(now time.Time, heartbeats *twpeer.Heartbeats) {
	e.tracker.Merge(now, heartbeats.GetBeats())
	for _, b := range e.tracker.Live(now) {
		e.fleet.RecordPeerLeaving(b.GetLeaving())
		if !e.reportedLive[b.GetIncarnation()] {
			e.reportedLive[b.GetIncarnation()] = true
			e.recorder.Record(turmericwall.EventPeerLive).
				Str("peer", b.GetIncarnation()).Str("address", b.GetAddress()).Send()
		}
	}
}

// fetchVMs requests the list of VMs from a live peer while this daemon has none: a daemon that starts while the
// platform is unavailable could otherwise reach no upstream.
func (e *Exchange) fetchVMs(ctx context.Context) {
	members := e.Members()[1:]
	if e.fleet.HasList() || len(members) == 0 {
		return
	}
	address := members[rand.IntN(len(members))].GetAddress()
	_ = e.dialer.Call(ctx, address, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.FetchVMs(ctx, &twpeer.FetchVMsRequest{})
		if err == nil {
			e.fleet.ApplyPeerList(twpeer.DecodeVMs(reply))
		}
		return err
	})
}

// fetchNewerDocument fetches the document from the live peer with the highest revision, if that is higher than this
// daemon's. It spreads a revision while the platform's service is slow or unavailable.
func (e *Exchange) fetchNewerDocument(ctx context.Context) {
	address, revision := "", e.holder.Revision()
	for _, b := range e.Members()[1:] {
		if b.GetRevision() > revision {
			address, revision = b.GetAddress(), b.GetRevision()
		}
	}
	if address == "" {
		return
	}
	_ = e.dialer.Call(ctx, address, callTimeout, func(ctx context.Context, peer twpeer.PeerClient) error {
		reply, err := peer.FetchDocument(ctx, &twpeer.FetchDocumentRequest{})
		if err != nil {
			return err
		}
		return e.holder.ApplyIfNewer(reply.GetRevision(), reply.GetSource(), "peer "+address)
	})
}
