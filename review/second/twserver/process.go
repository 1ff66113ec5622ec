package twserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/turmericwall/turmericwall/review/second/twrows"
)

// heartbeat is how often a server writes its entry. After three intervals of silence the entry is removed.
const heartbeat = 1200 * time.Millisecond

// Process is a server in a process of its own, with its entry in the store.
type Process struct {
	id, service, address, zone string
	arguments                  []string
	store                      *twrows.Store
	log                        io.Writer
	mu                         sync.Mutex
	command                    *exec.Cmd
	isDraining                 bool
	seenAt                     time.Time
	stop                       chan struct{}
	stopped                    chan struct{}
}

// ProcessConfig configures a Process.
type ProcessConfig struct {
	ID, Service, Address, Zone string
	// Arguments are further arguments of the program.
	Arguments []string
	Store     *twrows.Store
	Log       io.Writer
}

// Start starts a server, and writes its entry until Close.
func Start(config ProcessConfig) (*Process, error) {
	p := &Process{
		id: config.ID, service: config.Service, address: config.Address, zone: config.Zone, arguments: config.Arguments,
		store: config.Store, log: config.Log, stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	if err := p.Restart(); err != nil {
		return nil, err
	}
	go p.register()
	return p, nil
}

// Restart starts the process again, under its id.
func (p *Process) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command("target/review-2/modelserver", append([]string{"--id", p.id, "--address", p.address}, p.arguments...)...)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	p.command = command
	return nil
}

// ID returns the id of the server.
func (p *Process) ID() string { return p.id }

// Signal sends a signal to the process: SIGUSR1 makes it slow, SIGUSR2 makes its handles lapse.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Signal(signal)
}

// Drain writes that the server leaves, and returns when the store has accepted it.
func (p *Process) Drain() (acceptedAt time.Time, err error) {
	report, err := p.Report()
	if err != nil {
		return acceptedAt, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDraining = true
	p.store.Put("servers", p.id, p.entry(report, time.Now().UnixMilli()))
	return time.Now(), nil
}

// Kill ends the process as a crash does.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// Close ends the process and its entry.
func (p *Process) Close() {
	close(p.stop)
	<-p.stopped
	p.Kill()
	p.store.Remove("servers", p.id)
}

// Report returns what the process says of itself.
func (p *Process) Report() (report Report, err error) {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.address + "/-/report")
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	return report, json.NewDecoder(response.Body).Decode(&report)
}

// register writes the entry at each heartbeat of the process.
func (p *Process) register() {
	defer close(p.stopped)
	beats := int64(0)
	for {
		report, err := p.Report()
		switch {
		case err == nil:
			beats++
			p.seenAt = time.Now()
			p.mu.Lock()
			p.store.Put("servers", p.id, p.entry(report, beats))
			p.mu.Unlock()
		case time.Since(p.seenAt) > 3*heartbeat:
			p.store.Remove("servers", p.id)
		}
		pause := heartbeat
		if beats == 0 {
			pause = 50 * time.Millisecond
		}
		select {
		case <-p.stop:
			return
		case <-time.After(pause):
		}
	}
}

// entry returns the server's entry; the lock is held.
func (p *Process) entry(report Report, beats int64) map[string]any {
	if p.isDraining {
		report.State = "draining"
	}
	entry := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": 16, "state": report.State,
		"coldRemainingMs": 0, "seq": beats, "born": report.Born,
	}
	if report.Phase != "" {
		entry["phase"], entry["models"] = report.Phase, report.Models
	}
	return entry
}

// Plan returns an operator's configuration of the version: a model service with two routes and a plain one with two, as
// sites/sonnenmatt-diary.toml has them.
func Plan(version int64) map[string]any {
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "diary.example", "prefix": "/" + name + "/", "kind": kind, "service": service, "maxAttempts": 1,
			"timeoutMs": 600, "targetLatencyMs": 120, "priority": 2,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	model := map[string]any{"timeoutMs": 14000, "targetLatencyMs": 1000, "priority": 1, "sticky": true, "targetGapMs": 300, "resumable": false}
	resumable := map[string]any{"timeoutMs": 14000, "targetLatencyMs": 1000, "priority": 1, "sticky": true, "targetGapMs": 300, "resumable": true, "maxAttempts": 2}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("incident", "streaming", "summary", model), route("day", "streaming", "summary", resumable),
			route("dose", "non_idempotent", "diary", nil), route("read", "idempotent", "diary", map[string]any{"maxAttempts": 2}),
		},
		"services": []any{
			map[string]any{"name": "summary", "healthCheck": "/healthz", "maxConnections": 180, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kvTokens": 76702, "kvTokenBytes": 18432, "linkMbps": 2200000.0, "moves": true, "backups": true, "stride": 50, "most": 12,
				"handleTtlS": 0.5, "switchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "diary", "healthCheck": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// StreamRequest returns a request for a stream at the address.
func StreamRequest(address, route, id string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/1", address, route), strings.NewReader(strings.Repeat("p", 5000)))
	if err != nil {
		panic(err)
	}
	request.Host = "diary.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", "5000,3500")
	request.Header.Set("X-Prefix-Hash", "5c1e07a2:200,"+id[:8]+":4800")
	request.Header.Set("X-Deadline-Ms", "14000")
	return request
}
