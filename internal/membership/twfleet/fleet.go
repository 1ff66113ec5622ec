// Package twfleet keeps the view of the upstreams' VMs.
package twfleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
)

// DaemonService is the service under which the daemons' own VMs are listed; their address is the peer listener.
const DaemonService = "turmericwall"

const pollInterval = time.Second

// Fleet implements turmericwall.Fleet.
//
// The platform's list lags and can be down. While it is down the last list stays in use: an upstream
// that left meanwhile refuses or fails its calls, which costs a retry and breaks no promise.
type Fleet struct {
	lister   turmericwall.VMLister
	clock    clockwork.Clock
	recorder turmericwall.Recorder

	mu      sync.RWMutex
	known   bool
	vms     map[string][]turmericwall.VM
	leaving map[string]bool
	heard   map[string]time.Time
}

// heardFor is how long a peer's word that a VM is leaving holds here unless it is repeated.
const heardFor = 10 * time.Second

// Config names what the fleet reads.
type Config struct {
	Lister   turmericwall.VMLister
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
}

// New returns an empty fleet.
func New(config Config) *Fleet {
	return &Fleet{
		lister:   config.Lister,
		clock:    config.Clock,
		recorder: config.Recorder,
		vms:      make(map[string][]turmericwall.VM),
		leaving:  make(map[string]bool),
		heard:    make(map[string]time.Time),
	}
}

// Upstreams returns the service's VMs; one that this daemon or a peer knows to be leaving is marked.
func (f *Fleet) Upstreams(service string) []turmericwall.VM {
	now := f.clock.Now()
	f.mu.RLock()
	defer f.mu.RUnlock()
	upstreams := make([]turmericwall.VM, 0, len(f.vms[service]))
	for _, vm := range f.vms[service] {
		if now.Before(f.heard[vm.Name]) {
			vm.State = turmericwall.VMLeaving
		}
		upstreams = append(upstreams, vm)
	}
	return upstreams
}

// Known tells whether a list was read, here or by a peer.
func (f *Fleet) Known() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.known
}

// All returns the last list.
func (f *Fleet) All() []turmericwall.VM {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var all []turmericwall.VM
	for _, vms := range f.vms {
		all = append(all, vms...)
	}
	return all
}

// Offer takes a peer's list in while this daemon could not read one itself.
func (f *Fleet) Offer(list []turmericwall.VM) {
	if !f.Known() {
		f.take(list)
	}
}

// Leaving returns the names that this daemon's own list marks as leaving, for its heartbeats.
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

// Hear takes in what a peer's list marks as leaving: one daemon cut off from the platform still
// stops giving work to a leaving upstream within a heartbeat or two.
func (f *Fleet) Hear(leaving []string) {
	deadline := f.clock.Now().Add(heardFor)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range leaving {
		f.heard[name] = deadline
	}
}

// Run reads the list until ctx ends.
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

// Refresh reads the list once.
func (f *Fleet) Refresh(ctx context.Context) error {
	list, err := f.lister.List(ctx)
	if err != nil {
		return err
	}
	f.take(list)
	return nil
}

func (f *Fleet) take(list []turmericwall.VM) {
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

func (f *Fleet) replace(vms map[string][]turmericwall.VM, leaving map[string]bool) {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range leaving {
		if !f.leaving[name] {
			f.recorder.Record(turmericwall.EventVMLeaving).Str("vm", name).Send()
		}
	}
	for name, deadline := range f.heard {
		if now.After(deadline) {
			delete(f.heard, name)
		}
	}
	f.known, f.vms, f.leaving = true, vms, leaving
}
