// Package twforward sends calls to the upstreams of plain services. It chooses a live upstream, sends the call at most
// once, and returns the upstream's response. The edge uses it for all calls of plain services; calls that are not
// repeatable are claimed by twclaim first.
package twforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twbackoff"
	"github.com/turmericwall/turmericwall/internal/operations/twconnend"
	"github.com/turmericwall/turmericwall/internal/operations/twhead"
	"github.com/turmericwall/turmericwall/internal/operations/twresponse"
)

const (
	dialTimeout = time.Second
	// ejectionTime is how long an upstream that failed is not chosen.
	ejectionTime = 2 * time.Second
	// maxDials bounds the upstreams that are tried for one call.
	maxDials = 3
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

// Forwarder implements turmericwall.Forwarder.
type Forwarder struct {
	fleet    turmericwall.Fleet
	clock    clockwork.Clock
	recorder turmericwall.Recorder

	mu      sync.Mutex
	next    int
	ejected map[string]time.Time
}

// Config holds the dependencies of a Forwarder.
type Config struct {
	Fleet    turmericwall.Fleet
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
}

// New returns a Forwarder without ejected upstreams.
func New(config Config) *Forwarder {
	return &Forwarder{
		fleet:    config.Fleet,
		clock:    config.Clock,
		recorder: config.Recorder,
		ejected:  make(map[string]time.Time),
	}
}

// Forward connects to an upstream, calls beforeSend, and sends the call once. It returns a *turmericwall.Problem of
// kind KindNoUpstream when no connection was made and nothing was sent, the error of beforeSend when that fails, and
// KindOutcomeUnknown when the call was sent and no response was received.
//
// Each call has a connection of its own. Go's transport resends a call by itself when a reused connection breaks and
// the call carries an Idempotency-Key: a booking would be made twice. It never does so on a connection that was not
// reused. A new connection also keeps the call off connections that no longer respond.
func (f *Forwarder) Forward(
	ctx context.Context, call turmericwall.ServiceCall, beforeSend func() error,
) (*http.Response, error) {
	connection, vm, err := f.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := beforeSend(); err != nil {
		_ = connection.Close()
		return nil, err
	}
	response, err := f.send(ctx, call, vm, connection)
	if err != nil {
		f.eject(vm.Name, f.clock.Now().Add(ejectionTime))
		return nil, turmericwall.NewProblem(turmericwall.KindOutcomeUnknown,
			"the service gave no whole answer",
			"ask the service before sending the call under another key").
			WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		f.eject(vm.Name, twbackoff.ParseRetryAfter(f.clock.Now(), response.Header))
	}
	return response, nil
}

// connect dials up to maxDials upstreams until one accepts a connection. It sends nothing.
func (f *Forwarder) connect(ctx context.Context, call turmericwall.ServiceCall) (net.Conn, turmericwall.VM, error) {
	var lastErr error
	for range maxDials {
		vm, ok := f.chooseUpstream(call.Service)
		if !ok {
			break
		}
		dialer := net.Dialer{Timeout: dialTimeout}
		connection, err := dialer.DialContext(ctx, "tcp", vm.Address)
		if err == nil {
			return twconnend.New(connection), vm, nil
		}
		lastErr = err
		f.eject(vm.Name, f.clock.Now().Add(ejectionTime))
	}
	return nil, turmericwall.VM{}, turmericwall.NewProblem(turmericwall.KindNoUpstream,
		fmt.Sprintf("no upstream of service %q accepts a connection", call.Service),
		"come back later").WithRetryAt(f.clock.Now().Add(ejectionTime)).WithCause(lastErr)
}

func (f *Forwarder) send(
	ctx context.Context, call turmericwall.ServiceCall, vm turmericwall.VM, connection net.Conn,
) (*http.Response, error) {
	followed := &followedConn{
		Conn: connection, head: twhead.New(twhead.Config{MaxBytes: twhead.MaxBytes, MaxLines: twhead.MaxLines}),
	}
	if err := followed.head.Begin(nil); err != nil {
		_ = connection.Close()
		return nil, err
	}
	transport := &http.Transport{
		DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: dialOnce(followed),
	}
	target := "http://" + vm.Address + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		_ = connection.Close()
		return nil, fmt.Errorf("build the call: %w", err)
	}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	request.Header = call.Header.Clone()
	response, err := twresponse.New(transport).RoundTrip(request)
	if err == nil && followed.head.IsMisframed() {
		_ = response.Body.Close()
		return nil, errMisframed
	}
	return response, err
}

// followedConn is the connection of one call, whose answer's head is followed.
type followedConn struct {
	net.Conn
	head *twhead.Head
}

// Read reads from the connection. It fails once the head exceeds its limits.
func (c *followedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if limitErr := c.head.Scan(b[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

var (
	errConnectionUsed = errors.New("the call's only connection was used")
	errMisframed      = errors.New("malformed response: chunks in a version that has none")
)

// dialOnce returns a dial function that returns the connection to the first dial and fails any other, so that the
// transport can't send the call a second time.
func dialOnce(connection net.Conn) func(context.Context, string, string) (net.Conn, error) {
	var once sync.Once
	return func(context.Context, string, string) (net.Conn, error) {
		var unused net.Conn
		once.Do(func() { unused = connection })
		if unused == nil {
			return nil, errConnectionUsed
		}
		return unused, nil
	}
}

// chooseUpstream returns the next of the available upstreams, in round-robin order, and logs the choice.
func (f *Forwarder) chooseUpstream(service string) (turmericwall.VM, bool) {
	available := f.availableUpstreams(service)
	if len(available) == 0 {
		return turmericwall.VM{}, false
	}
	f.mu.Lock()
	f.next++
	vm := available[f.next%len(available)]
	f.mu.Unlock()
	f.recorder.Record(turmericwall.EventServiceRouted).Str("service", service).Str("upstream", vm.Name).
		Int("considered", int64(len(available))).Str("reason", "next in turn").Send()
	return vm, true
}

// availableUpstreams returns the live upstreams that are not ejected, or the ejected ones when there is no other.
func (f *Forwarder) availableUpstreams(service string) []turmericwall.VM {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var available, ejected []turmericwall.VM
	for _, vm := range f.fleet.Upstreams(service) {
		if vm.State != turmericwall.VMLive {
			continue
		}
		if until, ok := f.ejected[vm.Name]; ok && now.Before(until) {
			ejected = append(ejected, vm)
			continue
		}
		available = append(available, vm)
	}
	if len(available) == 0 {
		return ejected
	}
	return available
}

// eject keeps the upstream from being chosen until the given time, unless the service has no other.
func (f *Forwarder) eject(name string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.After(f.ejected[name]) {
		f.ejected[name] = until
	}
}
