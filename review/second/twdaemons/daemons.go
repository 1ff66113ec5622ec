// Package twdaemons starts the project's daemons as the deploy file does, with settings like those of a small deployment, each on a
// loopback address of its own.
package twdaemons

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of each daemon, which are the same on all of them.
const (
	portCallers, portReady, portPeers = 18144, 18140, 18146
)

// Daemon is one daemon, on an address of its own.
type Daemon struct {
	Name, Address string
	settings      string
	log           *os.File
	mu            sync.Mutex
	command       *exec.Cmd
	ended         chan struct{}
}

// Config configures a daemon.
type Config struct {
	Name, Zone, Address, Store string
	// Seeds are the addresses of up to three machines.
	Seeds []string
	// Directory is where settings and logs are written.
	Directory string
}

// New writes the settings of a daemon, with the figures of sites/sonnenmatt-diary.toml.
func New(config Config) (*Daemon, error) {
	d := &Daemon{
		Name: config.Name, Address: config.Address, settings: filepath.Join(config.Directory, config.Name+".json"),
	}
	seeds := make([]string, 0, len(config.Seeds))
	for _, address := range config.Seeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", address, portPeers))
	}
	settings, err := json.MarshalIndent(map[string]any{
		"daemon": config.Name, "zone": config.Zone, "address": config.Address,
		"listen":      map[string]any{"callers": d.Callers(), "ready": fmt.Sprintf("%s:%d", config.Address, portReady), "peers": fmt.Sprintf("%s:%d", config.Address, portPeers)},
		"metricsPort": 19464, "seeds": seeds, "firstStart": true, "memoryMegabytes": 284, "linkMegabits": 1000.0, "descriptors": 4100,
		"store": config.Store, "heartbeatMillis": 1200, "configMillis": 2000, "drainMillis": 2000, "eventTransitMillis": 120,
		"graceSeconds": 8, "leaseMillis": 3000, "retries": map[string]any{"ratio": 0.2, "windowSeconds": 10, "slack": 58},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.settings, settings, 0o600); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(config.Directory, config.Name+".log"))
	return d, err
}

// Callers returns the address for callers.
func (d *Daemon) Callers() string { return fmt.Sprintf("%s:%d", d.Address, portCallers) }

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	command := exec.Command("target/platform", "serve")
	command.Env = append(os.Environ(), "TURMERICWALL_SETTINGS="+d.settings)
	command.Stdout, command.Stderr = d.log, d.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	d.command, d.ended = command, ended
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(signal syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Signal(signal)
}

// Kill ends the process, and returns once it has ended.
func (d *Daemon) Kill() {
	_ = d.Signal(syscall.SIGCONT)
	_ = d.Signal(syscall.SIGKILL)
	<-d.ended
}

// HasEnded reports whether the process has ended.
func (d *Daemon) HasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// IsReady reports whether the daemon answers the platform's check with 200.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", d.Address, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady returns once the daemon is ready.
func (d *Daemon) AwaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if d.IsReady() {
			return nil
		}
	}
	return errors.New(d.Name + " isn't ready in time")
}

// FreeAddresses returns loopback addresses on which the daemons' ports are free.
func FreeAddresses(count int) ([]string, error) {
	var free []string
	base := os.Getpid() % 200
	for host := 2; host < 250 && len(free) < count; host++ {
		address := fmt.Sprintf("127.77.%d.%d", base, host)
		if arePortsFree(address) {
			free = append(free, address)
		}
	}
	if len(free) < count {
		return nil, errors.New("too few loopback addresses have free ports")
	}
	return free, nil
}

func arePortsFree(address string) bool {
	for _, port := range []int{portCallers, portReady, portPeers, 19464} {
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", address, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
