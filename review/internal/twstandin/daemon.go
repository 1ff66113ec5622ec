package twstandin

import (
	"encoding/json"
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

// program is the daemon as the build of the deploy file makes it.
const program = "target/platform"

// Daemons are the daemons of one deployment, each at a loopback address of its own and all with the same ports.
type Daemons struct{ list []*Daemon }

// Daemon is one daemon's process.
type Daemon struct {
	Name, Front, Ready string
	mu                 sync.Mutex
	command            *exec.Cmd
	settings           string
	exited             chan struct{}
}

// StartDaemons starts daemons as at the first start of a deployment, with the commands of the deploy file. Their logs and
// settings are files of the folder.
func StartDaemons(folder, store string, count int) (*Daemons, error) {
	d := &Daemons{}
	front, err := freePort()
	if err != nil {
		return nil, err
	}
	ready, control, metrics := front+1, front+2, front+3
	subnet := os.Getpid() % 250
	var seeds []string
	for n := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("127.%d.%d.%d:%d", 50+subnet/10, subnet, n+1, control))
	}
	for n := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", 50+subnet/10, subnet, n+1)
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		name := fmt.Sprintf("edge-zone-%c-1", 'a'+n%3)
		if n >= 3 {
			name = fmt.Sprintf("edge-zone-%c-%d", 'a'+n%3, n/3+1)
		}
		one := &Daemon{Name: name, Front: at(front), Ready: at(ready)}
		settings := map[string]any{
			"daemon": name, "zone": fmt.Sprintf("zone-%c", 'a'+n%3), "address": ip, "sourceAddress": ip,
			"listen":      map[string]string{"callers": one.Front, "ready": one.Ready, "peers": at(control)},
			"metricsPort": metrics, "seeds": seeds, "firstStart": true, "memoryMegabytes": 284, "linkMegabits": 1000.0,
			"descriptors": 4100, "store": store, "heartbeatMillis": 1200, "configMillis": 2000, "drainMillis": 2000,
			"eventTransitMillis": 120, "graceSeconds": 8, "leaseMillis": 3000,
			"retries": map[string]any{"ratio": 0.2, "windowSeconds": 10, "slack": 58},
		}
		encoded, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		one.settings = filepath.Join(folder, name+".json")
		if err := os.WriteFile(one.settings, encoded, 0o600); err != nil {
			return nil, err
		}
		if err := one.start(folder); err != nil {
			d.Stop()
			return nil, err
		}
		d.list = append(d.list, one)
	}
	return d, nil
}

// freePort returns the first of a few ports that are likely to be free.
func freePort() (int, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	// Below the range that the system uses for outgoing connections.
	return 10_000 + listener.Addr().(*net.TCPAddr).Port%20_000, nil
}

func (d *Daemon) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "TURMERICWALL_SETTINGS=" + d.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.command, d.exited = command, exited
	return nil
}

// List returns the daemons.
func (d *Daemons) List() []*Daemon { return d.list }

// AwaitReady waits until all daemons answer that they are ready; it reports false if they don't in time.
func (d *Daemons) AwaitReady(until time.Time) bool {
	for _, one := range d.list {
		for !one.IsReady() {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// IsReady asks the daemon whether it is ready.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.Ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(signal)
}

// Stop ends all processes.
func (d *Daemons) Stop() {
	for _, one := range d.list {
		one.Signal(syscall.SIGCONT)
		one.Signal(syscall.SIGKILL)
		one.mu.Lock()
		exited := one.exited
		one.mu.Unlock()
		<-exited
	}
}
