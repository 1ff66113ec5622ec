// Package twsite runs a complete site in one process, over loopback sockets: a simulated platform, simulated engines
// and plain services, and real daemons. The demonstration, the load runs, the measurements and tests start their
// sites with it.
package twsite

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
	"github.com/turmericwall/turmericwall/internal/membership/twfleet"
	"github.com/turmericwall/turmericwall/internal/operations/twdaemon"
	"github.com/turmericwall/turmericwall/internal/operations/twsettings"
	"github.com/turmericwall/turmericwall/internal/operations/twtask"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
	"github.com/turmericwall/turmericwall/internal/platform/twtable"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twservicestand"
)

const (
	anyPort           = "127.0.0.1:0"
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	environment       = "production"
)

// Site is a running platform with its engines, plain services and daemons.
type Site struct {
	config      Config
	tasks       *twtask.Group
	stop        context.CancelFunc
	platformURL string
	platform    *twplatformstand.Platform
	engines     []*twenginestand.Engine
	services    []*twservicestand.Service
	daemons     []*twdaemon.Daemon
	vms         []turmericwall.VM
	stopEngine  []context.CancelFunc
	stopDaemon  []context.CancelFunc
}

// Config sets the number of engines, plain services and daemons of a site, and how they are configured.
type Config struct {
	// Example is the deployment whose document, names and zones the site uses.
	Example twexample.Example
	Daemons int
	// Prefill and Decode are the numbers of engines of each role.
	Prefill  int
	Decode   int
	Services int
	// Policy is the placement policy of all daemons.
	Policy string
	// Engine is the configuration of all engines; their names, roles and models are set by the site.
	Engine twenginestand.Config
	// Log receives the daemons' logs.
	Log io.Writer
}

// New starts a site and waits until its daemons are ready. If one does not become ready within 15 s, it closes the site
// and returns an error.
func New(ctx context.Context, config Config) (*Site, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &Site{config: config, tasks: twtask.New(ctx), stop: stop, platform: twplatformstand.New()}
	steps := []func(context.Context) error{
		s.startPlatform, s.startEngines, s.startServices, s.applyDocument,
		s.startDaemons, s.awaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			_ = s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Close stops all parts of the site and returns the first error of any of them.
func (s *Site) Close() error {
	s.stop()
	return s.tasks.Wait()
}

// CallerAddresses returns the addresses, as IP:port, at which the daemons serve callers.
func (s *Site) CallerAddresses() []string {
	addresses := make([]string, 0, len(s.daemons))
	for _, d := range s.daemons {
		addresses = append(addresses, d.CallersAddress())
	}
	return addresses
}

// OperatorAddresses returns the addresses, as IP:port, at which the daemons serve operators.
func (s *Site) OperatorAddresses() []string {
	addresses := make([]string, 0, len(s.daemons))
	for _, d := range s.daemons {
		addresses = append(addresses, d.OperationsAddress())
	}
	return addresses
}

// PlatformURL returns the base URL of the platform's service.
func (s *Site) PlatformURL() string { return s.platformURL }

// Engines returns the engines, those of the prefill role first.
func (s *Site) Engines() []*twenginestand.Engine { return s.engines }

// Services returns the plain services.
func (s *Site) Services() []*twservicestand.Service { return s.services }

// Table returns a client of the platform's table.
func (s *Site) Table() turmericwall.Table {
	return twtable.New(twhttp.New(twhttp.Config{Address: s.platformURL}))
}

func (s *Site) startPlatform(context.Context) error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("open the platform's listener on a free loopback port: %w", err)
	}
	s.platformURL = "http://" + listener.Addr().String()
	s.tasks.Start("platform", func(ctx context.Context) error { return s.platform.Serve(ctx, listener) })
	return nil
}

func (s *Site) startEngines(context.Context) error {
	for i := range s.config.Prefill + s.config.Decode {
		config := s.config.Engine
		config.Role = turmericwall.RolePrefill
		if i >= s.config.Prefill {
			config.Role = turmericwall.RoleDecode
		}
		config.Name = fmt.Sprintf("%s-%s-%d", s.config.Example.EngineService(), config.Role, i)
		config.Models = []string{s.config.Example.Model()}
		if err := s.startEngine(config, s.config.Example.Zone(i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startEngine(config twenginestand.Config, zone string) error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("open an engine's listener on a free loopback port: %w", err)
	}
	engine := twenginestand.New(config)
	s.engines = append(s.engines, engine)
	s.listVM(config.Name, s.config.Example.EngineService(), zone, listener)
	inner, cancel := context.WithCancel(s.tasks.Context())
	s.stopEngine = append(s.stopEngine, cancel)
	s.tasks.Start(config.Name, func(context.Context) error { return engine.Serve(inner, listener) })
	return nil
}

func (s *Site) startServices(context.Context) error {
	for i := range s.config.Services {
		listener, err := net.Listen("tcp", anyPort)
		if err != nil {
			return fmt.Errorf("open a service's listener on a free loopback port: %w", err)
		}
		name := fmt.Sprintf("%s-%d", s.config.Example.PlainService(), i)
		service := twservicestand.New(name)
		s.services = append(s.services, service)
		s.listVM(name, s.config.Example.PlainService(), s.config.Example.Zone(i), listener)
		s.tasks.Start(name, func(ctx context.Context) error { return service.Serve(ctx, listener) })
	}
	return nil
}

func (s *Site) applyDocument(ctx context.Context) error {
	publisher := twpublisher.New(twpublisher.Config{Table: s.Table(), Environment: environment})
	_, err := publisher.Apply(
		ctx, 0, twpublisher.RevisionEntry{Source: s.config.Example.Document(), At: time.Now().UTC(), Operator: "site"},
	)
	return err
}

// startDaemons publishes the upstreams before the daemons start, and the daemons afterwards, as on a platform where
// daemons are replaced while upstreams run.
func (s *Site) startDaemons(ctx context.Context) error {
	s.platform.SetVMs(slices.Clone(s.vms))
	for i := range s.config.Daemons {
		if err := s.startDaemon(ctx, fmt.Sprintf("entry-%d", i+1), s.config.Example.Zone(i)); err != nil {
			return err
		}
	}
	s.platform.SetVMs(s.vms)
	return nil
}

func (s *Site) startDaemon(ctx context.Context, name, zone string) error {
	notice := int64(0)
	daemon, err := twdaemon.New(twdaemon.Config{
		Settings: twsettings.Settings{
			Name: name, Environment: environment, Region: s.config.Example.Region(), Zone: zone,
			Callers: anyPort, Peers: anyPort, Operations: anyPort, Platform: s.platformURL, PlainText: true,
			DrainMillis: 10_000, NoticeMillis: &notice, MaxBodyBytes: 4 << 20, LogLevel: "info", Policy: s.config.Policy,
		},
		Output: s.config.Log, Clock: clockwork.NewRealClock(),
	})
	if err != nil {
		return err
	}
	s.daemons = append(s.daemons, daemon)
	s.vms = append(s.vms, turmericwall.VM{
		Name: name, Service: twfleet.DaemonService, Region: s.config.Example.Region(), Zone: zone,
		Address: daemon.PeersAddress(), State: turmericwall.VMLive,
	})
	inner, cancel := context.WithCancel(ctx)
	s.stopDaemon = append(s.stopDaemon, cancel)
	s.tasks.Start(name, func(context.Context) error { return daemon.Run(inner) })
	return nil
}

// listVM adds a live VM to the list that the platform will show.
func (s *Site) listVM(name, service, zone string, listener net.Listener) {
	s.vms = append(s.vms, turmericwall.VM{
		Name: name, Service: service, Region: s.config.Example.Region(), Zone: zone,
		Address: listener.Addr().String(), State: turmericwall.VMLive,
	})
}

// awaitReady polls each daemon until it reports that it is ready, and returns an error after readyTimeout.
func (s *Site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range s.OperatorAddresses() {
		for !isReady(ctx, address) {
			if ctx.Err() != nil {
				return fmt.Errorf("daemon at %s is not ready within %s; read its log", address, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// isReady reports whether the daemon's readiness probe succeeds.
func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
