package twleader

import (
	"context"
	"strings"

	"github.com/turmericwall/turmericwall"
)

// pollAll starts reading each engine that is not being read, and returns how many it started.
func (g *group) pollAll(ctx context.Context, ends chan<- string) int {
	if g.idle() {
		return 0
	}
	vms := g.config.Fleet.Upstreams(g.service)
	g.step(turmericwall.Listed{VMs: vms, Links: g.config.Links()})
	started := 0
	for _, vm := range vms {
		p, ok := g.startPoll(vm.Name)
		if !ok {
			continue
		}
		started++
		go func() {
			g.pollOne(ctx, vm, p)
			ends <- vm.Name
		}()
	}
	if started == 0 && len(vms) == 0 {
		g.setWarm()
	}
	return started
}

func (g *group) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.Clock.Now().Before(g.idleDeadline) {
		return false
	}
	if g.isWarm {
		g.isWarm = false
		g.warm = make(chan struct{})
	}
	return true
}

func (g *group) startPoll(name string) (*poll, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.polling[name]
	if !ok {
		p = &poll{}
		g.polling[name] = p
	}
	if p.running {
		return nil, false
	}
	p.running = true
	return p, true
}

// polled notes the end of a poll; the group is warm once the first round has ended.
func (g *group) polled(name string, running int) {
	g.mu.Lock()
	g.polling[name].running = false
	g.mu.Unlock()
	if running == 0 {
		g.setWarm()
	}
}

func (g *group) setWarm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isWarm {
		g.isWarm = true
		close(g.warm)
	}
}

// pollOne reads an engine's report and events. After a failure it asks on a new connection: the old
// one may be silent for good while new ones work.
func (g *group) pollOne(ctx context.Context, vm turmericwall.VM, p *poll) {
	engine := g.config.Engines.Engine(vm.Address)
	report, err := engine.Report(ctx, p.failed)
	if err != nil {
		g.noteFailure(ctx, vm, p, err)
		return
	}
	p.failed = false
	g.step(turmericwall.Reported{VM: vm, Report: report})
	if report.Role != turmericwall.RolePrefill {
		return
	}
	events, err := engine.Events(ctx, p.sequence)
	if err != nil || len(events.Events) == 0 {
		return
	}
	p.sequence = events.Events[len(events.Events)-1].Sequence
	g.step(turmericwall.Cached{Engine: vm.Name, Events: events})
}

func (g *group) noteFailure(ctx context.Context, vm turmericwall.VM, p *poll, err error) {
	if !p.failed && ctx.Err() == nil {
		g.config.Recorder.Record(turmericwall.EventEngineUnreachable).Str("engine", vm.Name).Err(err).Send()
	}
	p.failed = true
}

// sweep cancels what engines hold for requests that are gone.
func (g *group) sweep(sweeps []turmericwall.Sweep) {
	byOwner := make(map[string][]turmericwall.Sweep)
	for _, s := range sweeps {
		owner, _, _ := strings.Cut(s.Attempt, "/")
		byOwner[owner] = append(byOwner[owner], s)
	}
	for owner, owned := range byOwner {
		g.sweepOwner(owner, owned)
	}
}

func (g *group) sweepOwner(owner string, owned []turmericwall.Sweep) {
	attempts := make([]string, 0, len(owned))
	for _, s := range owned {
		attempts = append(attempts, s.Attempt)
	}
	wanted, known := g.wanted(owner, attempts)
	if !known {
		return
	}
	for _, s := range owned {
		if wanted[s.Attempt] {
			continue
		}
		g.config.Recorder.Record(turmericwall.EventAttemptSwept).Str("engine", s.VM.Name).Str("attempt", s.Attempt).Str("owner", owner).Send()
		g.config.Canceller.Cancel(s.VM, s.Attempt)
	}
}

// wanted asks the owner; a lost owner wants nothing. Known is false when the owner counts as live but
// gives no answer, or when this daemon may be the one that is cut off.
func (g *group) wanted(owner string, attempts []string) (wanted map[string]bool, known bool) {
	var names []string
	var err error
	switch {
	case owner == g.config.Peers.Self():
		names = g.config.Holder.Wanted(attempts)
	case g.config.Peers.Live(owner):
		names, err = g.config.Peers.Hold(context.Background(), owner, attempts)
	case g.config.Peers.Isolated():
		return nil, false
	}
	if err != nil {
		return nil, false
	}
	wanted = make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	return wanted, true
}
