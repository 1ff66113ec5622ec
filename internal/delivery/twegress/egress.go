// Package twegress sends requests to upstreams for peers that have no network path to them.
package twegress

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twpath"
)

// maxOpen bounds the exchanges that are open for peers, by the memory that their buffers take on a small VM.
const maxOpen = 128

// Config configures an Egress.
type Config struct {
	// Direct sends on the daemon's own connections; a detour would lead back.
	Direct turmericwall.UpstreamTransport
	Paths  *twpath.Paths
	// Find returns the upstream with the key as this daemon knows it, and whether it accepts calls.
	Find func(key turmericwall.UpstreamKey) (upstream turmericwall.Upstream, acceptsCalls, ok bool)
	// HasConnections reports whether this daemon has connections to the upstream that are open, on which an order may be answered.
	HasConnections func(to turmericwall.Upstream) bool
	// Upstreams returns the number of upstreams of a service.
	Upstreams func(service string) int
	// BackoffUntil returns the end of the back-off that the upstream asked this daemon for; zero if there is none.
	BackoffUntil func(key turmericwall.UpstreamKey) time.Time
	// IsStopping reports whether this daemon drains.
	IsStopping func() bool
	// OnAnswer is called with each answer of an upstream.
	OnAnswer func(from turmericwall.Upstream, answer *turmericwall.Answer)
}

// Egress sends requests for peers, each on the direct path or not at all.
type Egress struct {
	config Config
	open   atomic.Int64
}

// New returns an egress.
func New(config Config) *Egress { return &Egress{config: config} }

// Open returns the number of exchanges in progress.
func (e *Egress) Open() int64 { return e.open.Load() }

// Exchange sends a peer's request. The error is an EgressRefusal if nothing was sent, and a SendError otherwise.
func (e *Egress) Exchange(
	ctx context.Context, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	if e.open.Add(1) > maxOpen {
		e.open.Add(-1)
		return nil, e.refusal(turmericwall.EgressBusy, to.Service)
	}
	answer, err := e.exchange(ctx, to, request)
	if err != nil {
		e.open.Add(-1)
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, egress: e}
	return answer, nil
}

func (e *Egress) exchange(
	ctx context.Context, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	if reason := e.check(to, request); reason != "" {
		return nil, e.refusal(reason, to.Service)
	}
	if !e.config.Paths.Use(time.Now(), to) && !(request.IsOrder && e.config.HasConnections(to)) {
		return nil, e.refusal(turmericwall.EgressUnreachable, to.Service)
	}
	startedAt := time.Now()
	answer, err := e.config.Direct.Exchange(ctx, to, request)
	if err == nil {
		e.config.OnAnswer(to, answer)
		return answer, nil
	}
	var sent *turmericwall.SendError
	switch {
	case !errors.As(err, &sent) || sent.Sent:
		return nil, err
	case sent.ConnectFailed:
		if request.IsOrder {
			e.config.Paths.RecordForPeer(startedAt, to.Key())
		}
		return nil, e.refusal(turmericwall.EgressUnreachable, to.Service)
	}
	return nil, e.refusal(turmericwall.EgressBusy, to.Service)
}

// check returns the reason why the request must not be sent; empty if there is none. Requests that belong to no call
// release what a call left at an upstream, and are sent to one that is leaving too.
func (e *Egress) check(to turmericwall.Upstream, request turmericwall.UpstreamRequest) turmericwall.EgressReason {
	known, acceptsCalls, ok := e.config.Find(to.Key())
	switch {
	case e.config.IsStopping():
		return turmericwall.EgressStopping
	case !ok || known.Address != to.Address:
		return turmericwall.EgressUnknownUpstream
	case request.CallID != "" && !acceptsCalls:
		return turmericwall.EgressUpstreamLeaving
	case !e.config.BackoffUntil(to.Key()).IsZero():
		return turmericwall.EgressBackOff
	}
	return ""
}

// refusal returns the refusal of a request to an upstream of the service.
func (e *Egress) refusal(reason turmericwall.EgressReason, service string) error {
	lost := e.config.Paths.Lost(time.Now(), service)
	return &turmericwall.EgressRefusal{
		Reason: reason, LostShare: float64(lost) / float64(max(e.config.Upstreams(service), 1)),
	}
}

// body is the body of an answer that is returned to a peer.
type body struct {
	io.ReadCloser
	egress *Egress
	closed bool
}

// Close ends the exchange.
func (b *body) Close() error {
	if !b.closed {
		b.closed = true
		b.egress.open.Add(-1)
	}
	return b.ReadCloser.Close()
}
