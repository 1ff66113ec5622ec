// Package twload sends a mix of work to daemons in an open loop and measures what comes back.
package twload

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcaller"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twmix"
)

// Load sends requests at their times, whether or not earlier ones were answered.
type Load struct {
	config Config
	client *http.Client
	caller *twcaller.Caller

	mu      sync.Mutex
	results []Result
	cancels []context.CancelFunc
}

// Config says what is sent where.
type Config struct {
	Example twexample.Example
	// Callers are the daemons' callers' addresses, used in turn.
	Callers  []string
	Requests []twmix.Request
	// FetchFor bounds the wait for deferred answers after the last arrival.
	FetchFor time.Duration
	// ComeBack sends a refused request once more, at the time the refusal gave.
	ComeBack bool
}

// Result is what one request got.
type Result struct {
	Request twmix.Request
	Daemon  int
	// Status is the HTTP status; 0 means no answer.
	Status     int
	Whole      bool
	Right      bool
	FirstToken time.Duration
	// Gap is the mean time between tokens.
	Gap        time.Duration
	RetryAfter time.Duration
	// CameBack tells how a refused request fared at the time it was told.
	CameBack  *Result
	Cancelled bool
	location  string
	// Ended is when the answer was whole, counted from the start.
	Ended time.Duration
}

const (
	maxConns    = 512
	callTimeout = 60 * time.Second
	fetchEvery  = 250 * time.Millisecond
)

// New returns a load.
func New(config Config) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConns}
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	return &Load{config: config, client: client, caller: twcaller.New(client, config.Example.Key())}
}

// Run sends everything and returns all results once they are in.
func (l *Load) Run(ctx context.Context) []Result {
	defer l.client.CloseIdleConnections()
	start := time.Now()
	ends := make(chan struct{})
	sent := 0
	for i, r := range l.config.Requests {
		if !sleepUntil(ctx, start.Add(r.After)) {
			break
		}
		sent++
		go func() {
			l.one(ctx, start, i, r)
			ends <- struct{}{}
		}()
	}
	for range sent {
		<-ends
	}
	l.fetchAll(ctx, start)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// CancelSome makes the callers of every nth request under way leave.
func (l *Load) CancelSome(nth int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, cancel := range l.cancels {
		if i%nth == 0 {
			cancel()
		}
	}
}

func (l *Load) one(ctx context.Context, start time.Time, number int, r twmix.Request) {
	result := l.send(ctx, number, r)
	if l.config.ComeBack && result.RetryAfter > 0 && sleepUntil(ctx, time.Now().Add(result.RetryAfter)) {
		again := l.send(ctx, number+1, r)
		result.CameBack = &again
	}
	result.Ended = time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

func (l *Load) send(ctx context.Context, number int, r twmix.Request) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.cancels = append(l.cancels, cancel)
	l.mu.Unlock()
	daemon := number % len(l.config.Callers)
	var result Result
	switch {
	case r.Plain:
		result = l.sendPlain(ctx, daemon, number)
	case r.Deferrable:
		result = l.sendDeferrable(ctx, daemon, number, r)
	default:
		result = l.sendUrgent(ctx, daemon, r)
	}
	result.Request, result.Daemon = r, daemon
	result.Cancelled = ctx.Err() != nil
	return result
}

// fetchAll waits for the deferred answers.
func (l *Load) fetchAll(ctx context.Context, start time.Time) {
	deadline := time.Now().Add(l.config.FetchFor)
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		open := 0
		for i := range l.results {
			r := &l.results[i]
			if r.location == "" || r.Whole {
				continue
			}
			l.fetch(ctx, start, r)
			if !r.Whole {
				open++
			}
		}
		if open == 0 || time.Now().After(deadline) || !sleepUntil(ctx, time.Now().Add(fetchEvery)) {
			return
		}
	}
}

func (l *Load) address(daemon int, path string) string {
	return fmt.Sprintf("http://%s%s", l.config.Callers[daemon], path)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
