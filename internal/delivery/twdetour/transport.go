// Package twdetour exchanges requests with upstreams through peers where this daemon's own network path is lost.
package twdetour

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twpath"
)

const (
	// maxPeers is how many peers are asked to send one request, each after one that did not send it.
	maxPeers = 3
	// maxOrderPeers is how many peers are asked to send one order, also after some that can't connect, and orderSpan for how long: an
	// engine may be out of reach for some daemons only.
	maxOrderPeers = 8
	orderSpan     = 300 * time.Millisecond
	// orderInterval is the least time between two orders to an upstream through a peer that couldn't connect to it.
	orderInterval = 100 * time.Millisecond
	// maxFailingShare is the largest share of a service's upstreams that may fail at a time. A daemon that lacks the paths
	// to more of them has lost paths itself.
	maxFailingShare = 0.34
	// refusedSpan and unreachableSpan are how long a peer is left out that refused a request, or could not be reached, or, of orders to one
	// upstream, didn't answer one.
	refusedSpan     = time.Second
	unreachableSpan = 2 * time.Second
	// unreachableRetryDelay is the pause before a peer that could not be reached is asked again while there is no other one: a daemon that
	// starts again listens within a second.
	unreachableRetryDelay = 300 * time.Millisecond
	// refreshInterval is the interval at which the list of peers is fetched while detours are made.
	refreshInterval = 2 * time.Second
	// fetchTimeout bounds one fetch of the list.
	fetchTimeout = 500 * time.Millisecond
)

var (
	errPathLost = errors.New("no network path to the upstream, and no peer that has one; retry later")
	errAtFault  = errors.New("peers can't connect either")
)

// Config configures a Transport.
type Config struct {
	// Direct sends on the daemon's own connections.
	Direct turmericwall.UpstreamTransport
	Paths  *twpath.Paths
	Peers  turmericwall.EgressClient
	// KnownPeers returns the addresses of the peers that the daemon knows at any time.
	KnownPeers func() []string
	// FetchPeers requests the addresses of peers that have paths to upstreams.
	FetchPeers func(ctx context.Context) ([]string, error)
	// HasConnections reports whether this daemon has connections to the upstream that are open, on which an order may be answered.
	HasConnections func(to turmericwall.Upstream) bool
	// Count counts an event for the metrics.
	Count func(name string)
}

// Transport exchanges requests on the direct path, or through a peer if that is lost.
type Transport struct {
	config Config
	peers  *peers
	// refresh requests a fetch of the list of peers.
	refresh chan struct{}
}

// New returns a transport. The list of peers is fetched only while Run runs.
func New(config Config) *Transport {
	return &Transport{config: config, peers: newPeers(), refresh: make(chan struct{}, 1)}
}

// Run fetches the list of peers when detours are made, until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	var fetchedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.refresh:
		}
		if time.Since(fetchedAt) < refreshInterval {
			continue
		}
		fetchedAt = time.Now()
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		list, err := t.config.FetchPeers(fetchCtx)
		cancel()
		if err != nil {
			t.config.Count("detour_peers_not_fetched")
			continue
		}
		t.peers.setFetched(list)
	}
}

// Exchange sends a request on the direct path, or through a peer if that path is lost. The error is a SendError.
func (t *Transport) Exchange(
	ctx context.Context, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	cause := error(errPathLost)
	if t.config.Paths.Use(time.Now(), to) || (request.IsOrder && t.config.HasConnections(to)) {
		answer, err := t.config.Direct.Exchange(ctx, to, request)
		if !connectFailed(err) || ctx.Err() != nil {
			return answer, err
		}
		cause = err
	}
	return t.detour(ctx, to, request, cause)
}

// PathLost reports whether the path to the upstream is lost, so that failures there say nothing about the upstream.
func (t *Transport) PathLost(to turmericwall.UpstreamKey) bool {
	return t.config.Paths.IsLost(time.Now(), to)
}

// detour sends a request through a peer, because of the cause. It asks another one only if nothing was sent.
func (t *Transport) detour(
	ctx context.Context, to turmericwall.Upstream, request turmericwall.UpstreamRequest, cause error,
) (*turmericwall.Answer, error) {
	if !request.IsOrder && t.config.Paths.IsAtFault(time.Now(), to.Key()) {
		return nil, t.atFaultError(to)
	}
	t.requestRefresh()
	last := cause
	asked := newAskedPeers(request.IsOrder)
	if request.IsOrder {
		t.peers.addLeftOutOfOrders(asked.addresses, time.Now(), to.Key())
	}
	for asked.mayAsk(time.Now()) {
		peer, ok := t.peers.pick(time.Now(), t.config.KnownPeers(), asked.addresses)
		if !ok {
			break
		}
		asked.add(peer)
		answer, err := t.exchangeThrough(ctx, peer, to, request)
		if err == nil {
			return answer, nil
		}
		if !t.mayAskNext(ctx, peer, to, err, asked) {
			return nil, t.sendError(to, err)
		}
		last = err
	}
	t.config.Count("detours_failed")
	if request.IsOrder && t.config.Paths.IsAtFault(time.Now(), to.Key()) {
		return nil, t.atFaultError(to)
	}
	lost := len(asked.addresses) > 0 || t.config.Paths.IsCutOff(time.Now(), to.Service)
	return nil, &turmericwall.SendError{
		ConnectFailed: true, PathLost: lost, RefusedAt: t.config.Paths.RefusedAt(to.Key()),
		Err: fmt.Errorf("connect to %s: %w", to.ID, last),
	}
}

// atFaultError returns the error of a request to an upstream to which peers can't connect either.
func (t *Transport) atFaultError(to turmericwall.Upstream) error {
	return &turmericwall.SendError{
		ConnectFailed: true, RefusedAt: t.config.Paths.RefusedAt(to.Key()),
		Err: fmt.Errorf("connect to %s: %w", to.ID, errAtFault),
	}
}

// askedPeers are the peers that were asked to send one request, and those that need not be asked.
type askedPeers struct {
	addresses map[string]bool
	isOrder   bool
	// n is how many were asked, and unreachable how many of them can't connect to the upstream.
	n, unreachable int
	// until is when no other one is asked any more; zero if that isn't bounded.
	until time.Time
}

func newAskedPeers(isOrder bool) *askedPeers {
	a := &askedPeers{addresses: make(map[string]bool, maxPeers), isOrder: isOrder}
	if isOrder {
		a.until = time.Now().Add(orderSpan)
	}
	return a
}

// mayAsk reports whether one more peer may be asked.
func (a *askedPeers) mayAsk(now time.Time) bool {
	if a.isOrder {
		return a.n < maxOrderPeers && now.Before(a.until)
	}
	return a.n < maxPeers
}

func (a *askedPeers) add(peer string) {
	a.addresses[peer] = true
	a.n++
}

// exchangeThrough has one peer send the request. The detour is open until the end of the answer's body.
func (t *Transport) exchangeThrough(
	ctx context.Context, peer string, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	answer, err := t.config.Peers.Exchange(ctx, peer, to, request)
	if err != nil {
		t.peers.release(peer)
		return nil, err
	}
	t.config.Count("detours")
	t.peers.takeBack(peer)
	answer.Peer = peer
	answer.Body = &body{ReadCloser: answer.Body, onEnd: func() { t.peers.release(peer) }}
	return answer, nil
}

// mayAskNext reports whether another peer may send the request after the error of one.
func (t *Transport) mayAskNext(
	ctx context.Context, peer string, to turmericwall.Upstream, err error, asked *askedPeers,
) bool {
	var refusal *turmericwall.EgressRefusal
	if errors.As(err, &refusal) {
		t.config.Count("detours_refused_" + string(refusal.Reason))
		return t.mayAskAfterRefusal(peer, to, refusal, asked)
	}
	var sent *turmericwall.SendError
	if ctx.Err() != nil || (errors.As(err, &sent) && sent.Sent) {
		if asked.isOrder && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// It may stand still itself, or wait for the upstream: other requests may go through it.
			t.peers.leaveOutOfOrders(time.Now(), peer, to.Key(), unreachableSpan)
		}
		return false
	}
	t.peers.leaveOutUnreachable(time.Now(), peer)
	return true
}

// mayAskAfterRefusal is mayAskNext after a peer has stated that it sent nothing.
//
// A peer that lacks a large share of the paths itself says nothing about the upstream, unless all peers say the same.
func (t *Transport) mayAskAfterRefusal(
	peer string, to turmericwall.Upstream, refusal *turmericwall.EgressRefusal, asked *askedPeers,
) bool {
	switch refusal.Reason {
	case turmericwall.EgressUpstreamLeaving:
		return false
	case turmericwall.EgressUnknownUpstream, turmericwall.EgressBackOff:
		return true
	case turmericwall.EgressUnreachable:
		asked.unreachable++
		if refusal.LostShare <= maxFailingShare || asked.unreachable == maxPeers {
			t.config.Paths.RecordAtFault(time.Now(), to.Key())
			if !asked.isOrder {
				return false
			}
		}
	}
	if asked.isOrder && refusal.Reason != turmericwall.EgressStopping {
		t.peers.leaveOutOfOrders(time.Now(), peer, to.Key(), orderInterval)
		return true
	}
	t.peers.leaveOutRefusing(time.Now(), peer)
	return true
}

// sendError returns the error of a request that no other peer may send.
func (t *Transport) sendError(to turmericwall.Upstream, err error) error {
	var sent *turmericwall.SendError
	if errors.As(err, &sent) {
		return err
	}
	var refusal *turmericwall.EgressRefusal
	unreachable := errors.As(err, &refusal) && refusal.Reason == turmericwall.EgressUnreachable
	failed := &turmericwall.SendError{ConnectFailed: unreachable, Err: fmt.Errorf("connect to %s: %w", to.ID, err)}
	if unreachable {
		failed.RefusedAt = t.config.Paths.RefusedAt(to.Key())
	}
	return failed
}

func (t *Transport) requestRefresh() {
	select {
	case t.refresh <- struct{}{}:
	default:
	}
}

// connectFailed reports whether no connection could be established.
func connectFailed(err error) bool {
	var sent *turmericwall.SendError
	return errors.As(err, &sent) && sent.ConnectFailed
}
