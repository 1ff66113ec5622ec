package twleader

import (
	"context"
	"strings"

	"github.com/turmericwall/turmericwall"
)

// startPolls starts a poll of each engine that has none running, and returns the number of polls started.
func (d *decider) startPolls(ctx context.Context, finished chan<- string) int {
	if d.stopIfIdle() {
		return 0
	}
	vms := d.config.Fleet.Upstreams(d.service)
	d.step(turmericwall.EnginesListed{VMs: vms, Links: d.config.Links()})
	started := 0
	for _, vm := range vms {
		p, ok := d.acquirePoll(vm.Name)
		if !ok {
			continue
		}
		started++
		go func() {
			d.pollEngine(ctx, vm, p)
			finished <- vm.Name
		}()
	}
	if started == 0 && len(vms) == 0 {
		d.setReady()
	}
	return started
}

// stopIfIdle reports whether the service is idle. If so, the next arrival waits for a new round of polls, because the
// reports known so far are stale.
func (d *decider) stopIfIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config.Clock.Now().Before(d.idleDeadline) {
		return false
	}
	if d.isReady {
		d.isReady = false
		d.ready = make(chan struct{})
	}
	return true
}

func (d *decider) acquirePoll(name string) (*poll, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.polls[name]
	if !ok {
		p = &poll{}
		d.polls[name] = p
	}
	if p.running {
		return nil, false
	}
	p.running = true
	return p, true
}

// finishPoll records the end of a poll; the decider is ready when no poll is left running.
func (d *decider) finishPoll(name string, running int) {
	d.mu.Lock()
	d.polls[name].running = false
	d.mu.Unlock()
	if running == 0 {
		d.setReady()
	}
}

func (d *decider) setReady() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isReady {
		d.isReady = true
		close(d.ready)
	}
}

// pollEngine fetches the engine's report and its cache events. After a failure it uses a new connection, since the old
// one may stay unresponsive while new ones work.
func (d *decider) pollEngine(ctx context.Context, vm turmericwall.VM, p *poll) {
	engine := d.config.Engines.Engine(vm.Address)
	report, err := engine.Report(ctx, p.failed)
	if err != nil {
		d.recordFailure(ctx, vm, p, err)
		return
	}
	p.failed = false
	d.step(turmericwall.EngineReported{VM: vm, Report: report})
	if report.Role != turmericwall.RolePrefill {
		return
	}
	events, err := engine.Events(ctx, p.lastSequence)
	if err != nil || len(events.Events) == 0 {
		return
	}
	p.lastSequence = events.Events[len(events.Events)-1].Sequence
	d.step(turmericwall.CacheChanged{Engine: vm.Name, Events: events})
}

func (d *decider) recordFailure(ctx context.Context, vm turmericwall.VM, p *poll, err error) {
	if !p.failed && ctx.Err() == nil {
		d.config.Recorder.Record(turmericwall.EventEngineUnreachable).Str("engine", vm.Name).Err(err).Send()
	}
	p.failed = true
}

// sweep cancels the attempts that their owners no longer want.
func (d *decider) sweep(sweeps []turmericwall.Sweep) {
	byOwner := make(map[string][]turmericwall.Sweep)
	for _, s := range sweeps {
		owner, _, _ := strings.Cut(s.Attempt, "/")
		byOwner[owner] = append(byOwner[owner], s)
	}
	for owner, owned := range byOwner {
		d.sweepOwner(owner, owned)
	}
}

func (d *decider) sweepOwner(owner string, owned []turmericwall.Sweep) {
	attempts := make([]string, 0, len(owned))
	for _, s := range owned {
		attempts = append(attempts, s.Attempt)
	}
	wanted, known := d.queryWanted(owner, attempts)
	if !known {
		return
	}
	for _, s := range owned {
		if wanted[s.Attempt] {
			continue
		}
		d.config.Recorder.Record(turmericwall.EventAttemptSwept).
			Str("engine", s.VM.Name).Str("attempt", s.Attempt).Str("owner", owner).Send()
		d.config.Canceller.Cancel(s.VM, s.Attempt)
	}
}

// queryWanted asks the owner which of its attempts it still wants; a lost owner wants none. It returns known=false
// when the owner counts as live but does not answer, or when this daemon may be the one that is partitioned.
func (d *decider) queryWanted(owner string, attempts []string) (wanted map[string]bool, known bool) {
	var wantedAttempts []string
	var err error
	switch {
	case owner == d.config.Peers.Self():
		wantedAttempts = d.config.Holder.FilterWanted(attempts)
	case d.config.Peers.IsLive(owner):
		wantedAttempts, err = d.config.Peers.WantedAttempts(context.Background(), owner, attempts)
	case d.config.Peers.IsPartitioned():
		return nil, false
	}
	if err != nil {
		return nil, false
	}
	wanted = make(map[string]bool, len(wantedAttempts))
	for _, name := range wantedAttempts {
		wanted[name] = true
	}
	return wanted, true
}
