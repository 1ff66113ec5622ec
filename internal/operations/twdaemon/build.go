package twdaemon

import (
	"context"
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twlimiter"
	"github.com/turmericwall/turmericwall/internal/delivery/twcanceller"
	"github.com/turmericwall/turmericwall/internal/delivery/twdelivery"
	"github.com/turmericwall/turmericwall/internal/delivery/twendcheck"
	"github.com/turmericwall/turmericwall/internal/delivery/twengine"
	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
	"github.com/turmericwall/turmericwall/internal/document/twrevision"
	"github.com/turmericwall/turmericwall/internal/edge/twedge"
	"github.com/turmericwall/turmericwall/internal/ledger/twledger"
	"github.com/turmericwall/turmericwall/internal/membership/twdialer"
	"github.com/turmericwall/turmericwall/internal/membership/twexchange"
	"github.com/turmericwall/turmericwall/internal/membership/twfleet"
	"github.com/turmericwall/turmericwall/internal/membership/twserver"
	"github.com/turmericwall/turmericwall/internal/once/twattempt"
	"github.com/turmericwall/turmericwall/internal/once/twclaim"
	"github.com/turmericwall/turmericwall/internal/once/twforward"
	"github.com/turmericwall/turmericwall/internal/operations/twcertificate"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
	"github.com/turmericwall/turmericwall/internal/placement/twleader"
	"github.com/turmericwall/turmericwall/internal/placement/twpolicy"
	"github.com/turmericwall/turmericwall/internal/placement/twrouter"
	"github.com/turmericwall/turmericwall/internal/platform/twbatch"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
	"github.com/turmericwall/turmericwall/internal/platform/twobject"
	"github.com/turmericwall/turmericwall/internal/platform/twtable"
	"github.com/turmericwall/turmericwall/internal/platform/twvmlist"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
	"github.com/turmericwall/turmericwall/internal/quarantine/twsettler"
)

// transportSecurity is the TLS configuration of the daemon's listeners and of its calls to peers. The callers'
// configuration is nil when the daemon runs in plain text.
type transportSecurity struct {
	callers    *tls.Config
	peerServer credentials.TransportCredentials
	peerClient credentials.TransportCredentials
}

// build constructs the daemon's components, each after those that it depends on.
func (d *Daemon) build(config Config, incarnation string) error {
	s := config.Settings
	security, err := d.loadSecurity()
	if err != nil {
		return err
	}
	d.recorder = tweventlog.New(tweventlog.Config{Output: config.Output, Daemon: s.Name, Level: s.LogLevel, Trace: d.trace})
	client := twhttp.New(twhttp.Config{Address: s.Platform, Registry: d.registry})
	table := twtable.New(client)
	d.buildMembership(client, table, incarnation, security)
	d.committer = twbatch.New(twbatch.Config{
		Table: table, Registry: d.registry, Recorder: d.recorder,
		Daemons: func() int { return len(d.exchange.EligibleLeaders()) },
	})
	registry := twattempt.New(incarnation)
	d.buildDelivery(incarnation)
	d.buildClaims(table, incarnation, registry)
	d.ledger = twledger.New(twledger.Config{
		Incarnation: incarnation, Table: table, Writer: d.committer, Objects: twobject.New(client), Peers: d.exchange,
		Documents: d.documents, Deliverer: d.delivery, Clock: d.clock, Recorder: d.recorder,
	})
	d.buildListeners(security, registry)
	return nil
}

// loadSecurity reads the certificates that the settings name; it fails when one of them can't be read.
func (d *Daemon) loadSecurity() (transportSecurity, error) {
	if d.settings.PlainText {
		plain := insecure.NewCredentials()
		return transportSecurity{peerServer: plain, peerClient: plain}, nil
	}
	source, err := twcertificate.New(d.settings.TLS)
	if err != nil {
		return transportSecurity{}, err
	}
	return transportSecurity{
		callers:    source.CallerServerConfig(),
		peerServer: credentials.NewTLS(source.PeerServerConfig()),
		peerClient: credentials.NewTLS(source.PeerClientConfig()),
	}, nil
}

func (d *Daemon) buildMembership(
	client *twhttp.Client, table turmericwall.Table, incarnation string, security transportSecurity,
) {
	d.fleet = twfleet.New(twfleet.Config{Lister: twvmlist.New(client), Clock: d.clock, Recorder: d.recorder})
	d.documents = twrevision.New(twrevision.Config{
		Publisher: twpublisher.New(twpublisher.Config{Table: table, Environment: d.settings.Environment}),
		Clock:     d.clock, Recorder: d.recorder,
	})
	d.dialer = twdialer.New(twdialer.Config{Credentials: security.peerClient, Registry: d.registry})
	d.exchange = twexchange.New(twexchange.Config{
		Incarnation: incarnation, Address: d.PeersAddress(), Zone: d.settings.Zone, Seeds: d.settings.Seeds,
		Dialer: d.dialer, Fleet: d.fleet, Holder: d.documents, Clock: d.clock, Recorder: d.recorder,
	})
}

func (d *Daemon) buildDelivery(incarnation string) {
	engines := twengine.New(twengine.Config{Registry: d.registry})
	d.canceller = twcanceller.New(twcanceller.Config{Engines: engines, Clock: d.clock, Recorder: d.recorder})
	d.leader = twleader.New(twleader.Config{
		NewPolicy:   func() turmericwall.Policy { return twpolicy.New(d.settings.Policy) },
		LedServices: d.ledServices,
		Links:       d.links,
		Engines:     engines, Fleet: d.fleet, Peers: d.exchange, Holder: attemptHolder{d}, Canceller: d.canceller,
		Clock: d.clock, Recorder: d.recorder, Registry: d.registry,
	})
	d.router = twrouter.New(twrouter.Config{
		Peers: d.exchange, Local: d.leader, LocalOnly: d.settings.Policy != twpolicy.Leader, Clock: d.clock,
		Recorder: d.recorder,
	})
	quarantine := d.newQuarantine(incarnation)
	d.delivery = twdelivery.New(twdelivery.Config{
		Incarnation: incarnation, Placer: d.router, Engines: engines, Canceller: d.canceller,
		Clock: d.clock, Recorder: d.recorder, Registry: d.registry, Quarantine: quarantine,
	})
	d.settler = twsettler.New(twsettler.Config{
		Evidence: quarantine, Listed: d.listedEngine, IsResponsible: func() bool { return true },
		Check: func(ctx context.Context, run twendcheck.Run) twendcheck.Finding {
			result := d.delivery.CheckEnd(ctx, run.Upstream.Address)
			return twendcheck.Finding{Incarnation: run.Upstream.Key(), Result: result, Answered: result == turmericwall.EndRefuted}
		},
	})
}

// listedEngine returns an engine of the VM list; ok is false if it isn't listed.
func (d *Daemon) listedEngine(name string) (engine turmericwall.Upstream, ok bool) {
	for _, vm := range d.fleet.All() {
		if vm.Name == name {
			return turmericwall.Upstream{ID: vm.Name, Address: vm.Address}, true
		}
	}
	return engine, false
}

// newQuarantine returns the quarantine of this daemon's requests, which knows the ends of engines that this daemon noticed.
func (d *Daemon) newQuarantine(incarnation string) *twquarantine.Quarantine {
	self := turmericwall.Member{Incarnation: incarnation}
	return twquarantine.New(twquarantine.Config{
		Self: func() turmericwall.Member { return self }, OnChange: func() {}, Recorder: d.recorder, Now: d.clock.Now,
		Leader: func() (turmericwall.Member, bool, bool) { return self, true, true },
	})
}

// attemptHolder breaks the cyclic dependency between leader and delivery: the leader asks the delivery which attempts
// it still wants, but is constructed before it.
type attemptHolder struct{ d *Daemon }

func (h attemptHolder) FilterWanted(attempts []string) []string {
	return h.d.delivery.FilterWanted(attempts)
}

func (d *Daemon) buildClaims(table turmericwall.Table, incarnation string, registry *twattempt.Registry) {
	d.claims = twclaim.New(twclaim.Config{
		Incarnation: incarnation, Table: table, Writer: d.committer, Peers: d.exchange, Registry: registry,
		Clock: d.clock, Recorder: d.recorder,
	})
}

func (d *Daemon) buildListeners(security transportSecurity, registry *twattempt.Registry) {
	d.edge = twedge.New(twedge.Config{
		Documents: d.documents, Peers: d.exchange, Deliverer: d.delivery,
		Forwarder: twforward.New(twforward.Config{Fleet: d.fleet, Clock: d.clock, Recorder: d.recorder}),
		Claims:    d.claims, Ledger: d.ledger, Limiter: twlimiter.New(), MaxBodyBytes: d.settings.MaxBodyBytes,
		TLS: security.callers, Clock: d.clock, Recorder: d.recorder, Registry: d.registry,
	})
	d.peers = twserver.New(twserver.Config{
		Credentials: security.peerServer, Stats: d.dialer.StatsHandler(), Clock: d.clock, Exchange: d.exchange,
		Fleet: d.fleet, Documents: d.documents, Leader: d.leader, Attempts: registry, Holder: d.delivery,
	})
	d.operations = twoperations.New(twoperations.Config{
		Status: d.status, Drain: d.requestDrain, Trace: d.trace, Registry: d.registry,
	})
}

// ledServices returns the engine services that this daemon leads; none while no document is known.
func (d *Daemon) ledServices() []string {
	document, ok := d.documents.Current()
	if !ok {
		return nil
	}
	var led []string
	for _, s := range document.Services() {
		if s.Type == turmericwall.ServiceEngines && d.router.LeaderOf(s.Name) == d.exchange.Self() {
			led = append(led, s.Name)
		}
	}
	return led
}

func (d *Daemon) links() []turmericwall.Link {
	document, ok := d.documents.Current()
	if !ok {
		return nil
	}
	return document.Links()
}
