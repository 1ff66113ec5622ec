// Package twforward sends calls to the upstreams of plain services.
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
)

const (
	dialTimeout = time.Second
	ejectedFor  = 2 * time.Second
	maxDials    = 3
)

// Forwarder implements turmericwall.Forwarder.
type Forwarder struct {
	fleet    turmericwall.Fleet
	clock    clockwork.Clock
	recorder turmericwall.Recorder

	mu      sync.Mutex
	turn    int
	ejected map[string]time.Time
}

// Config names what the forwarder chooses from.
type Config struct {
	Fleet    turmericwall.Fleet
	Clock    clockwork.Clock
	Recorder turmericwall.Recorder
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	return &Forwarder{
		fleet:    config.Fleet,
		clock:    config.Clock,
		recorder: config.Recorder,
		ejected:  make(map[string]time.Time),
	}
}

// Forward connects to an upstream, asks beforeSend, and sends the call once.
//
// Each call has a connection of its own. Go's transport sends a call again by itself when a reused
// connection broke and the call carries an Idempotency-Key: a booking would be made twice. It never
// does so on a connection that was not reused. It also keeps calls off connections that went silent.
func (f *Forwarder) Forward(ctx context.Context, call turmericwall.ServiceCall, beforeSend func() error) (*http.Response, error) {
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
		f.eject(vm.Name, f.clock.Now().Add(ejectedFor))
		return nil, turmericwall.NewProblem(turmericwall.KindOutcomeUnknown, "the service gave no whole answer",
			"ask the service before sending the call under another key").WithOutcome(turmericwall.OutcomeUnknown).WithCause(err)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		f.eject(vm.Name, twbackoff.RetryAt(f.clock.Now(), response.Header))
	}
	return response, nil
}

// connect tries upstreams until one accepts a connection; nothing has been sent then.
func (f *Forwarder) connect(ctx context.Context, call turmericwall.ServiceCall) (net.Conn, turmericwall.VM, error) {
	var last error
	for range maxDials {
		vm, ok := f.choose(call.Service)
		if !ok {
			break
		}
		dialer := net.Dialer{Timeout: dialTimeout}
		connection, err := dialer.DialContext(ctx, "tcp", vm.Address)
		if err == nil {
			return connection, vm, nil
		}
		last = err
		f.eject(vm.Name, f.clock.Now().Add(ejectedFor))
	}
	return nil, turmericwall.VM{}, turmericwall.NewProblem(turmericwall.KindNoUpstream,
		fmt.Sprintf("no upstream of service %q accepts a connection", call.Service),
		"come back later").WithRetryAt(f.clock.Now().Add(ejectedFor)).WithCause(last)
}

func (f *Forwarder) send(ctx context.Context, call turmericwall.ServiceCall, vm turmericwall.VM, connection net.Conn) (*http.Response, error) {
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       useOnce(connection),
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
	return transport.RoundTrip(request)
}

var errUsed = errors.New("the call's only connection was used")

// useOnce gives the connection to the first dial and fails any other: whatever the transport does, the
// call goes out once.
func useOnce(connection net.Conn) func(context.Context, string, string) (net.Conn, error) {
	var once sync.Once
	return func(context.Context, string, string) (net.Conn, error) {
		var given net.Conn
		once.Do(func() { given = connection })
		if given == nil {
			return nil, errUsed
		}
		return given, nil
	}
}

// choose takes the live upstreams in turn, and logs the choice.
func (f *Forwarder) choose(service string) (turmericwall.VM, bool) {
	live := f.live(service)
	if len(live) == 0 {
		return turmericwall.VM{}, false
	}
	f.mu.Lock()
	f.turn++
	vm := live[f.turn%len(live)]
	f.mu.Unlock()
	f.recorder.Record(turmericwall.EventServiceRouted).Str("service", service).Str("upstream", vm.Name).
		Int("considered", int64(len(live))).Str("reason", "next in turn").Send()
	return vm, true
}

func (f *Forwarder) live(service string) []turmericwall.VM {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var live, ejected []turmericwall.VM
	for _, vm := range f.fleet.Upstreams(service) {
		if vm.State != turmericwall.VMLive {
			continue
		}
		if until, ok := f.ejected[vm.Name]; ok && now.Before(until) {
			ejected = append(ejected, vm)
			continue
		}
		live = append(live, vm)
	}
	if len(live) == 0 {
		return ejected
	}
	return live
}

// eject leaves an upstream alone until a time, unless no other one is left.
func (f *Forwarder) eject(name string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.After(f.ejected[name]) {
		f.ejected[name] = until
	}
}
