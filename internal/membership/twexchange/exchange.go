// Package twexchange exchanges heartbeats with the other daemons.
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
	"github.com/turmericwall/turmericwall/internal/membership/twpeer"
	"github.com/turmericwall/turmericwall/internal/membership/twroster"
)

// How often heartbeats go out, and to how many peers. A small roster costs little and spreads fast;
// a large one keeps within the bound of control traffic by one peer a beat.
const (
	interval    = time.Second
	callTimeout = time.Second
	smallRoster = 12
	smallFanout = 3
)

// Exchange implements turmericwall.Peers.
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
	roster   *twroster.Tracker
	draining bool
	known    map[string]bool
}

// Config names the daemon and what it learns through its peers.
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

// lostBuffer holds lost incarnations until the leader reads them.
const lostBuffer = 256

// New returns an exchange that knows only its own daemon.
func New(config Config) *Exchange {
	self := &twpeer.Heartbeat{Incarnation: config.Incarnation, Address: config.Address, Zone: config.Zone}
	return &Exchange{
		dialer:   config.Dialer,
		fleet:    config.Fleet,
		holder:   config.Holder,
		clock:    config.Clock,
		recorder: config.Recorder,
		seeds:    config.Seeds,
		self:     config.Incarnation,
		address:  config.Address,
		lost:     make(chan string, lostBuffer),
		roster:   twroster.New(self),
		known:    make(map[string]bool),
	}
}

// Run exchanges heartbeats until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := e.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		e.beat(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// Lost receives the incarnations that became lost.
func (e *Exchange) Lost() <-chan string { return e.lost }

// Drain tells the peers that this daemon takes no new duties, at once and with each further beat.
func (e *Exchange) Drain(ctx context.Context) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.beat(ctx)
}

// Receive merges a peer's heartbeats and returns this daemon's.
func (e *Exchange) Receive(beats *twpeer.Heartbeats) *twpeer.Heartbeats {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merge(now, beats)
	return e.roster.Snapshot(now)
}

// Self returns this daemon's incarnation.
func (e *Exchange) Self() string { return e.self }

// Live tells whether the incarnation counts as live.
func (e *Exchange) Live(incarnation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roster.IsLive(e.clock.Now(), incarnation)
}

// Isolated tells that most of the listed daemons are out of reach: then it is more likely this daemon
// that is cut off, and what the others hold must not be taken for orphaned.
func (e *Exchange) Isolated() bool {
	listed := len(e.fleet.Upstreams(twfleet.DaemonService))
	return 2*len(e.Members()) < listed
}

// Leaders returns the live daemons that take duties, in the order of their incarnations.
func (e *Exchange) Leaders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var leaders []string
	if !e.draining {
		leaders = append(leaders, e.self)
	}
	for _, b := range e.roster.Live(e.clock.Now()) {
		if !b.GetDraining() {
			leaders = append(leaders, b.GetIncarnation())
		}
	}
	sort.Strings(leaders)
	return leaders
}

// Members returns the live heartbeats, this daemon's first.
func (e *Exchange) Members() []*twpeer.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roster.Snapshot(e.clock.Now()).GetBeats()
}

// Meet asks all peers in reach for their heartbeats and the highest document, for a daemon that starts
// while the platform is down. It returns how many peers answered.
func (e *Exchange) Meet(ctx context.Context) int {
	answered := 0
	for _, address := range e.contacts() {
		if e.exchangeWith(ctx, address) == nil {
			answered++
		}
	}
	return answered
}

func (e *Exchange) beat(ctx context.Context) {
	e.advance()
	e.noteLost()
	for _, address := range e.targets() {
		_ = e.exchangeWith(ctx, address)
	}
	e.catchUp(ctx)
	e.learnVMs(ctx)
}

func (e *Exchange) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roster.NextHeartbeats(e.clock.Now(), e.holder.Revision(), e.draining, e.fleet.Leaving())
}

func (e *Exchange) noteLost() {
	e.mu.Lock()
	lost := e.roster.NewlyLost(e.clock.Now())
	for _, incarnation := range lost {
		delete(e.known, incarnation)
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

func (e *Exchange) targets() []string {
	contacts := e.contacts()
	rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	fanout := 1
	if len(contacts) <= smallRoster {
		fanout = smallFanout
	}
	return contacts[:min(fanout, len(contacts))]
}

// contacts are the addresses of live members, of the platform's list and of the settings.
func (e *Exchange) contacts() []string {
	seen := map[string]bool{e.address: true}
	var contacts []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			contacts = append(contacts, address)
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
	return contacts
}

func (e *Exchange) exchangeWith(ctx context.Context, address string) error {
	e.mu.Lock()
	own := e.roster.Snapshot(e.clock.Now())
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

func (e *Exchange) merge(now time.Time, beats *twpeer.Heartbeats) {
	e.roster.Merge(now, beats.GetBeats())
	for _, b := range e.roster.Live(now) {
		e.fleet.RecordPeerLeaving(b.GetLeaving())
		if !e.known[b.GetIncarnation()] {
			e.known[b.GetIncarnation()] = true
			e.recorder.Record(turmericwall.EventPeerLive).Str("peer", b.GetIncarnation()).Str("address", b.GetAddress()).Send()
		}
	}
}

// learnVMs asks a live peer for its list of VMs while this daemon has none: one that starts while the
// platform is down could otherwise reach no upstream.
func (e *Exchange) learnVMs(ctx context.Context) {
	members := e.Members()[1:]
	if e.fleet.Known() || len(members) == 0 {
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

// catchUp fetches the document from the live peer with the highest revision, if that is above this
// daemon's. It spreads a revision while the platform's service is slow or down.
func (e *Exchange) catchUp(ctx context.Context) {
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
		return e.holder.Offer(reply.GetRevision(), reply.GetSource(), "peer "+address)
	})
}
