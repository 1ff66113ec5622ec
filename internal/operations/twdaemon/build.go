package twdaemon

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twlimiter"
	"github.com/turmericwall/turmericwall/internal/delivery/twcanceller"
	"github.com/turmericwall/turmericwall/internal/delivery/twdelivery"
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
	"github.com/turmericwall/turmericwall/internal/platform/twgroup"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
	"github.com/turmericwall/turmericwall/internal/platform/twobject"
	"github.com/turmericwall/turmericwall/internal/platform/twtable"
	"github.com/turmericwall/turmericwall/internal/platform/twvmlist"
)

// security is the TLS set-up of the daemon's listeners and peer calls.
type security struct {
	callers    *tls.Config
	peerServer credentials.TransportCredentials
	peerClient credentials.TransportCredentials
}

// build makes the slices, each from those it works with.
func (d *Daemon) build(config Config, incarnation string) error {
	s := config.Settings
	secured, err := d.secure()
	if err != nil {
		return err
	}
	d.recorder = tweventlog.New(tweventlog.Config{Output: config.Output, Daemon: s.Name, Level: s.LogLevel, Trace: d.trace})
	client := twhttp.New(twhttp.Config{Address: s.Platform, Registry: d.registry})
	table := twtable.New(client)
	d.buildMembership(client, table, incarnation, secured)
	d.committer = twgroup.New(twgroup.Config{
		Table: table, Registry: d.registry, Recorder: d.recorder, Daemons: func() int { return len(d.exchange.Leaders()) },
	})
	registry := twattempt.New(incarnation)
	d.buildDelivery(incarnation)
	d.buildClaims(table, incarnation, registry)
	d.ledger = twledger.New(twledger.Config{
		Incarnation: incarnation, Table: table, Writer: d.committer, Objects: twobject.New(client), Peers: d.exchange,
		Documents: d.holder, Deliverer: d.delivery, Clock: d.clock, Recorder: d.recorder,
	})
	d.buildListeners(secured, registry)
	return nil
}

func (d *Daemon) secure() (security, error) {
	if d.settings.PlainText {
		plain := insecure.NewCredentials()
		return security{peerServer: plain, peerClient: plain}, nil
	}
	source, err := twcertificate.New(d.settings.TLS)
	if err != nil {
		return security{}, err
	}
	return security{
		callers:    source.Server(),
		peerServer: credentials.NewTLS(source.PeerServer()),
		peerClient: credentials.NewTLS(source.PeerClient()),
	}, nil
}

func (d *Daemon) buildMembership(client *twhttp.Client, table turmericwall.Table, incarnation string, secured security) {
	d.fleet = twfleet.New(twfleet.Config{Lister: twvmlist.New(client), Clock: d.clock, Recorder: d.recorder})
	d.holder = twrevision.New(twrevision.Config{
		Publisher: twpublisher.New(twpublisher.Config{Table: table, Environment: d.settings.Environment}),
		Clock:     d.clock, Recorder: d.recorder,
	})
	d.dialer = twdialer.New(twdialer.Config{Credentials: secured.peerClient, Registry: d.registry})
	d.exchange = twexchange.New(twexchange.Config{
		Incarnation: incarnation, Address: d.PeersAddress(), Zone: d.settings.Zone, Seeds: d.settings.Seeds,
		Dialer: d.dialer, Fleet: d.fleet, Holder: d.holder, Clock: d.clock, Recorder: d.recorder,
	})
}

func (d *Daemon) buildDelivery(incarnation string) {
	engines := twengine.New(twengine.Config{Registry: d.registry})
	d.canceller = twcanceller.New(twcanceller.Config{Engines: engines, Clock: d.clock, Recorder: d.recorder})
	d.leader = twleader.New(twleader.Config{
		NewPolicy: func() turmericwall.Policy { return twpolicy.New(d.settings.Policy) },
		Duties:    d.duties,
		Links:     d.links,
		Engines:   engines, Fleet: d.fleet, Peers: d.exchange, Holder: holder{d}, Canceller: d.canceller,
		Clock: d.clock, Recorder: d.recorder, Registry: d.registry,
	})
	d.router = twrouter.New(twrouter.Config{
		Peers: d.exchange, Local: d.leader, Alone: d.settings.Policy != twpolicy.Leader, Clock: d.clock, Recorder: d.recorder,
	})
	d.delivery = twdelivery.New(twdelivery.Config{
		Incarnation: incarnation, Placer: d.router, Engines: engines, Canceller: d.canceller,
		Clock: d.clock, Recorder: d.recorder, Registry: d.registry,
	})
}

// holder breaks the circle between leader and delivery: the leader asks what the delivery still wants.
type holder struct{ d *Daemon }

func (h holder) Wanted(attempts []string) []string { return h.d.delivery.Wanted(attempts) }

func (d *Daemon) buildClaims(table turmericwall.Table, incarnation string, registry *twattempt.Registry) {
	d.claims = twclaim.New(twclaim.Config{
		Incarnation: incarnation, Table: table, Writer: d.committer, Peers: d.exchange, Registry: registry,
		Clock: d.clock, Recorder: d.recorder,
	})
}

func (d *Daemon) buildListeners(secured security, registry *twattempt.Registry) {
	d.edge = twedge.New(twedge.Config{
		Documents: d.holder, Peers: d.exchange, Deliverer: d.delivery,
		Forwarder: twforward.New(twforward.Config{Fleet: d.fleet, Clock: d.clock, Recorder: d.recorder}),
		Claims:    d.claims, Ledger: d.ledger, Limiter: twlimiter.New(), MaxBodyBytes: d.settings.MaxBodyBytes,
		TLS: secured.callers, Clock: d.clock, Recorder: d.recorder, Registry: d.registry,
	})
	d.peers = twserver.New(twserver.Config{
		Credentials: secured.peerServer, Stats: d.dialer.StatsHandler(), Clock: d.clock, Exchange: d.exchange, Fleet: d.fleet,
		Documents: d.holder, Leader: d.leader, Attempts: registry, Holder: d.delivery,
	})
	d.operations = twoperations.New(twoperations.Config{
		Status: d.status, Drain: d.requestDrain, Trace: d.trace, Registry: d.registry,
	})
}

// duties returns the engine services that this daemon keeps.
func (d *Daemon) duties() []string {
	document, ok := d.holder.Current()
	if !ok {
		return nil
	}
	var kept []string
	for _, s := range document.Services() {
		if s.Type == turmericwall.ServiceEngines && d.router.LeaderOf(s.Name) == d.exchange.Self() {
			kept = append(kept, s.Name)
		}
	}
	return kept
}

func (d *Daemon) links() []turmericwall.Link {
	document, ok := d.holder.Current()
	if !ok {
		return nil
	}
	return document.Links()
}
