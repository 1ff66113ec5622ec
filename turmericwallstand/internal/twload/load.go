// Package twload sends the requests of a mix of work to daemons in an open loop, checks every answer and summarizes the
// results. The comparison of placement policies measures with it.
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

// Load sends requests at their arrival times, whether or not earlier ones have been answered.
type Load struct {
	config Config
	client *http.Client
	caller *twcaller.Caller

	mu      sync.Mutex
	results []Result
	cancels []context.CancelFunc
}

// Config sets the requests of a load and the daemons that receive them.
type Config struct {
	Example twexample.Example
	// Callers are the addresses, as IP:port, at which the daemons serve callers; they are used in turn.
	Callers  []string
	Requests []twmix.Request
	// FetchFor is the limit of the wait for deferred answers after all requests have ended.
	FetchFor time.Duration
	// RetryRefused sends a refused request once more, at the retry time that the refusal states.
	RetryRefused bool
}

// Result is the outcome of one request.
type Result struct {
	Request twmix.Request
	Daemon  int
	// Status is the HTTP status; 0 means no answer.
	Status int
	// Complete is set when the answer arrived to its end, Correct when it is also the expected one.
	Complete bool
	Correct  bool
	// FirstToken is the time from sending the request to its first token; for a plain request, to the end of its
	// answer.
	FirstToken time.Duration
	// Gap is the mean time between tokens.
	Gap time.Duration
	// RetryAfter is the wait that a refusal states; 0 if it states none.
	RetryAfter time.Duration
	// Retried is the outcome of the retry of a refused request; nil if it was not retried.
	Retried *Result
	// Cancelled is set when the caller disconnected before the end.
	Cancelled bool
	location  string
	// Ended is when the request ended, or its deferred answer was fetched, counted from the start of the run.
	Ended time.Duration
}

const (
	maxIdleConns   = 512
	requestTimeout = 60 * time.Second
	fetchInterval  = 250 * time.Millisecond
)

// New returns a load that is ready to run.
func New(config Config) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	client := &http.Client{Transport: transport, Timeout: requestTimeout}
	return &Load{config: config, client: client, caller: twcaller.New(client, config.Example.Key())}
}

// Run sends all requests, waits for their answers, fetches the deferred ones and returns the results. If ctx ends, the
// requests that have not arrived by then are not sent.
func (l *Load) Run(ctx context.Context) []Result {
	defer l.client.CloseIdleConnections()
	start := time.Now()
	done := make(chan struct{})
	sent := 0
	for i, r := range l.config.Requests {
		if !sleepUntil(ctx, start.Add(r.After)) {
			break
		}
		sent++
		go func() {
			l.runRequest(ctx, start, i, r)
			done <- struct{}{}
		}()
	}
	for range sent {
		<-done
	}
	l.fetchDeferred(ctx, start)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// CancelEveryNth disconnects the caller of every nth request sent so far; for those that have ended this has no effect.
func (l *Load) CancelEveryNth(nth int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, cancel := range l.cancels {
		if i%nth == 0 {
			cancel()
		}
	}
}

// runRequest sends a request, retries it once if it is refused and refused requests are retried, and records the
// result.
func (l *Load) runRequest(ctx context.Context, start time.Time, number int, r twmix.Request) {
	result := l.send(ctx, number, r)
	if l.config.RetryRefused && result.RetryAfter > 0 && sleepUntil(ctx, time.Now().Add(result.RetryAfter)) {
		again := l.send(ctx, number+1, r)
		result.Retried = &again
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

// fetchDeferred polls for the deferred answers until all of them are complete or FetchFor has elapsed.
func (l *Load) fetchDeferred(ctx context.Context, start time.Time) {
	deadline := time.Now().Add(l.config.FetchFor)
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		open := 0
		for i := range l.results {
			r := &l.results[i]
			if r.location == "" || r.Complete {
				continue
			}
			l.fetch(ctx, start, r)
			if !r.Complete {
				open++
			}
		}
		if open == 0 || time.Now().After(deadline) || !sleepUntil(ctx, time.Now().Add(fetchInterval)) {
			return
		}
	}
}

func (l *Load) address(daemon int, path string) string {
	return fmt.Sprintf("http://%s%s", l.config.Callers[daemon], path)
}

// sleepUntil waits until the time and reports whether it was reached before ctx ended.
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
