// Package twfleet holds the view of the VMs of upstreams and daemons, as listed by the platform. Placement reads it
// for every call, and the exchange of heartbeats reads the daemons' addresses from it.
package twfleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

// DaemonService is the service under which the platform lists the daemons' own VMs. Their addresses are those of the
// peer listeners.
const DaemonService = "turmericwall"

// pollInterval is the time between two reads of the platform's list.
const pollInterval = time.Second

// Fleet implements turmericwall.Fleet. It is safe for concurrent use.
//
// The platform's list lags and may be unavailable; the last list then stays in use. An upstream that left meanwhile
// refuses or fails its calls, which costs a retry and violates no guarantee to callers.
type Fleet struct {
	lister   turmericwall.VMLister
	clock    clockwork.Clock
	recorder turmericwall.Recorder

	mu      sync.RWMutex
	hasList bool
	vms     map[string][]turmericwall.VM
	// leaving holds the names of the VMs that this daemon's own list marks as leaving.
	leaving map[string]bool
	// peerLeavingUntil maps a VM's name to the time until which a peer's report that the VM is leaving is valid.
	peerLeavingUntil map[string]time.Time
}

// peerLeavingTimeout is how long a peer's report that a VM is leaving holds unless it is repeated.
const peerLeavingTimeout = 10 * time.Second

// Config holds what the fleet reads and where it logs.
type Config struct {
	Lister   turmericwall.VMLister
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
}

// New returns a fleet without VMs.
func New(config Config) *Fleet {
	return &Fleet{
		lister:           config.Lister,
		clock:            config.Clock,
		recorder:         config.Recorder,
		vms:              make(map[string][]turmericwall.VM),
		leaving:          make(map[string]bool),
		peerLeavingUntil: make(map[string]time.Time),
	}
}

// Upstreams returns the service's VMs. A VM that this daemon or a peer lists as leaving is marked.
func (f *Fleet) Upstreams(service string) []turmericwall.VM {
	now := f.clock.Now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	upstreams := make([]turmericwall.VM, 0, len(f.vms[service]))
	for _, vm := range f.vms[service] {
		if now.Before(f.peerLeavingUntil[vm.Name]) {
			vm.State = turmericwall.VMLeaving
		}
		upstreams = append(upstreams, vm)
	}
	return upstreams
}

// HasList reports whether this daemon has a list of VMs, read by itself or received from a peer.
func (f *Fleet) HasList() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.hasList
}

// All returns the VMs of the last list, in no particular order.
func (f *Fleet) All() []turmericwall.VM {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var all []turmericwall.VM
	for _, vms := range f.vms {
		all = append(all, vms...)
	}
	return all
}

// ApplyPeerList applies a peer's list while this daemon has none of its own.
func (f *Fleet) ApplyPeerList(list []turmericwall.VM) {
	if !f.HasList() {
		f.applyList(list)
	}
}

// Leaving returns the names of the VMs that this daemon's own list marks as leaving, in ascending order, for its
// heartbeats.
func (f *Fleet) Leaving() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	names := make([]string, 0, len(f.leaving))
	for name := range f.leaving {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RecordPeerLeaving records which VMs a peer's list marks as leaving: a daemon that cannot reach the platform then
// places no new calls on them within one or two heartbeats.
func (f *Fleet) RecordPeerLeaving(leaving []string) {
	validUntil := f.clock.Now().Add(peerLeavingTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range leaving {
		f.peerLeavingUntil[name] = validUntil
	}
}

// Run reads the list every second until ctx ends. Failed reads are logged.
func (f *Fleet) Run(ctx context.Context) error {
	ticker := f.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := f.Refresh(ctx); err != nil && ctx.Err() == nil {
			f.recorder.Record(turmericwall.EventVMListUnreadable).Err(err).Send()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// Refresh reads the list once. After an error the last list stays in use.
func (f *Fleet) Refresh(ctx context.Context) error {
	list, err := f.lister.List(ctx)
	if err != nil {
		return err
	}
	f.applyList(list)
	return nil
}

// applyList replaces the VMs by a list.
func (f *Fleet) applyList(list []turmericwall.VM) {
	byService := make(map[string][]turmericwall.VM)
	leaving := make(map[string]bool)
	for _, vm := range list {
		byService[vm.Service] = append(byService[vm.Service], vm)
		if vm.State == turmericwall.VMLeaving {
			leaving[vm.Name] = true
		}
	}
	f.replace(byService, leaving)
}

// replace replaces the VMs, logs those newly leaving and removes expired reports of peers.
func (f *Fleet) replace(vms map[string][]turmericwall.VM, leaving map[string]bool) {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range leaving {
		if !f.leaving[name] {
			f.recorder.Record(turmericwall.EventVMLeaving).Str("vm", name).Send()
		}
	}
	for name, validUntil := range f.peerLeavingUntil {
		if now.After(validUntil) {
			delete(f.peerLeavingUntil, name)
		}
	}
	f.hasList, f.vms, f.leaving = true, vms, leaving
}
