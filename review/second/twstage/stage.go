// Package twstage starts a small deployment of separate processes: the project's daemons, and stand-ins for the platform's store and the
// servers. It runs one case on it.
package twstage

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/turmericwall/turmericwall/review/second/twdaemons"
	"github.com/turmericwall/turmericwall/review/second/twrecord"
	"github.com/turmericwall/turmericwall/review/second/twrows"
	"github.com/turmericwall/turmericwall/review/second/twserver"
)

const (
	// startLimit is how long a daemon may take to become ready.
	startLimit = 20 * time.Second
	// settleSpan is how long traffic waits after that.
	settleSpan = 2 * time.Second
	// statusFailed and statusNotRun are exit statuses of a case.
	statusFailed, statusNotRun = 1, 2
)

// Server describes one server.
type Server struct {
	ID, Service string
	// Arguments are further arguments of the server's program.
	Arguments []string
}

// Config describes the deployment of a case.
type Config struct {
	Machines int
	Servers  []Server
	// Trouble is set in a run with the disruption.
	Trouble bool
	// Directory is for settings and logs.
	Directory string
	Record    *twrecord.Record
}

// Stage is the deployment while a case runs.
type Stage struct {
	Config
	Store   *twrows.Store
	Servers []*twserver.Process
	Daemons []*twdaemons.Daemon
	closing sync.Once
	log     *os.File
}

// Main runs a case as a program: with the flags --directory, --record and --trouble, and the exit status 1 if the rule was broken, 0 if it
// held and 2 if the case couldn't run. play returns whether the rule was broken.
func Main(config Config, play func(s *Stage) (broken bool, err error)) {
	path := flag.String("record", "", "the file for the record")
	flag.StringVar(&config.Directory, "directory", "", "a folder for settings and logs")
	flag.BoolVar(&config.Trouble, "trouble", true, "make the disruption")
	flag.Parse()
	record, err := twrecord.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	config.Record = record
	s := &Stage{Config: config}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		s.Close()
		os.Exit(statusNotRun)
	}()
	broken, err := s.run(play)
	status := 0
	switch {
	case err != nil:
		record.Say("the case couldn't run: %v", err)
		status = statusNotRun
	case broken:
		status = statusFailed
	}
	_ = record.Close()
	os.Exit(status)
}

func (s *Stage) run(play func(s *Stage) (bool, error)) (broken bool, err error) {
	defer s.Close()
	if err := s.start(); err != nil {
		return false, err
	}
	return play(s)
}

// start starts the store, the servers and the daemons, and returns once the daemons are ready.
func (s *Stage) start() error {
	s.Store = twrows.New()
	s.Store.Put("op", "config", twserver.Plan(7))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, s.Store) }()
	if s.log, err = os.Create(s.LogPath()); err != nil {
		return err
	}
	for _, server := range s.Config.Servers {
		if _, err := s.StartServer(server); err != nil {
			return err
		}
	}
	return s.startDaemons(listener.Addr().String())
}

// LogPath returns the path of the log of all servers.
func (s *Stage) LogPath() string { return filepath.Join(s.Directory, "servers.log") }

// StartServer starts one more server.
func (s *Stage) StartServer(server Server) (*twserver.Process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	started, err := twserver.Start(twserver.ProcessConfig{
		ID: server.ID, Service: server.Service, Address: address, Zone: "bern-a", Arguments: server.Arguments, Store: s.Store, Log: s.log,
	})
	if err == nil {
		s.Servers = append(s.Servers, started)
	}
	return started, err
}

func (s *Stage) startDaemons(store string) error {
	addresses, err := twdaemons.FreeAddresses(s.Machines)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		d, err := twdaemons.New(twdaemons.Config{
			Name: fmt.Sprintf("edge-bern-a-%d", i+1), Zone: "bern-a", Address: address, Store: store,
			Seeds: addresses[:min(3, len(addresses))], Directory: s.Directory,
		})
		if err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
		s.Daemons = append(s.Daemons, d)
	}
	for _, d := range s.Daemons {
		if err := d.AwaitReady(startLimit); err != nil {
			return err
		}
	}
	time.Sleep(settleSpan)
	return nil
}

// Close ends all processes.
func (s *Stage) Close() {
	s.closing.Do(func() {
		for _, d := range s.Daemons {
			d.Kill()
		}
		for _, server := range s.Servers {
			server.Close()
		}
	})
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
