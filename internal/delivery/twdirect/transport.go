// Package twdirect exchanges requests with upstreams on this daemon's own connections, and records which network paths
// are lost.
package twdirect

import (
	"context"
	"errors"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twpath"
)

const (
	// silenceSpan is how long an upstream may be silent during an exchange before its path is checked. Plain calls and
	// reservations take a tenth of it.
	silenceSpan = 200 * time.Millisecond
	// probeRoundInterval is the interval at which lost paths are probed, if they are due.
	probeRoundInterval = 100 * time.Millisecond
	// maxConcurrentProbes bounds the connections that are tried at a time.
	maxConcurrentProbes = 32
)

// Config configures a Transport.
type Config struct {
	Connections turmericwall.UpstreamConnections
	Paths       *twpath.Paths
	Recorder    turmericwall.Recorder
	// OwnDelay returns by how much this daemon may delay the answers that it waits for; it may be nil.
	OwnDelay func() time.Duration
}

// Transport exchanges requests on the direct paths.
type Transport struct {
	config Config
	// checks has the upstreams to which a connection is to be tried.
	checks chan turmericwall.Upstream
}

// New returns a transport. Paths are checked and probed only while Run runs.
func New(config Config) *Transport {
	return &Transport{config: config, checks: make(chan turmericwall.Upstream, maxConcurrentProbes)}
}

// Exchange sends a request on the direct path, whatever is known about it. The error is a SendError.
func (t *Transport) Exchange(
	ctx context.Context, to turmericwall.Upstream, request turmericwall.UpstreamRequest,
) (*turmericwall.Answer, error) {
	startedAt := time.Now()
	silence := time.AfterFunc(silenceSpan, func() { t.checkIfSilent(to) })
	defer silence.Stop()
	answer, err := t.config.Connections.Exchange(ctx, to, request)
	if err == nil {
		t.recordReached(startedAt, to)
		answer.Body = &body{ReadCloser: answer.Body, transport: t, from: to}
		return answer, nil
	}
	var sent *turmericwall.SendError
	if errors.As(err, &sent) {
		if sent.ConnectFailed {
			t.recordLoss(to, err)
		}
		sent.PathLost = sent.Sent && t.config.Paths.IsLost(time.Now(), to.Key())
	}
	return nil, err
}

// HasConnections reports whether this daemon has connections to the upstream that are open, whatever became of its path.
func (t *Transport) HasConnections(to turmericwall.Upstream) bool {
	return t.config.Connections.States(to, "", time.Time{}).Open > 0
}

// Run checks and probes paths until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	tick := time.NewTicker(probeRoundInterval)
	defer tick.Stop()
	ended := make(chan struct{}, maxConcurrentProbes)
	open := 0
	probe := func(to turmericwall.Upstream) {
		open++
		go func() {
			t.probe(ctx, to)
			ended <- struct{}{}
		}()
	}
	defer func() {
		for ; open > 0; open-- {
			<-ended
		}
	}()
	for {
		// Without a free place only the end of a probe is waited for.
		checks := t.checks
		if open == maxConcurrentProbes {
			checks = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			open--
		case to := <-checks:
			probe(to)
		case now := <-tick.C:
			for _, to := range t.config.Paths.DueProbes(now, maxConcurrentProbes-open) {
				probe(to)
			}
		}
	}
}

// checkIfSilent requests a check of the path, if nothing was received from the upstream for silenceSpan and more than this daemon
// delays it.
func (t *Transport) checkIfSilent(to turmericwall.Upstream) {
	now := time.Now()
	if now.Sub(t.config.Connections.LastReceivedAt(to)) < silenceSpan+t.ownDelay() || !t.config.Paths.StartCheck(now, to) {
		return
	}
	select {
	case t.checks <- to:
	default:
	}
}

// ownDelay returns by how much this daemon may delay the answers that it waits for.
func (t *Transport) ownDelay() time.Duration {
	if t.config.OwnDelay == nil {
		return 0
	}
	return t.config.OwnDelay()
}

// probe tries to connect to the upstream and records whether that succeeded.
func (t *Transport) probe(ctx context.Context, to turmericwall.Upstream) {
	startedAt := time.Now()
	err := t.config.Connections.Connect(ctx, to)
	var sent *turmericwall.SendError
	switch {
	case err == nil:
		t.recordReached(startedAt, to)
	case errors.As(err, &sent) && sent.ConnectFailed:
		t.recordLoss(to, err)
	}
}

func (t *Transport) recordReached(startedAt time.Time, to turmericwall.Upstream) {
	if t.config.Paths.RecordReached(startedAt, to) {
		t.config.Recorder.Record(turmericwall.EventPathRegained).Str("upstream", to.ID).Send()
	}
}

// recordLoss records a lost path and closes its idle connections, on which a request would be lost.
func (t *Transport) recordLoss(to turmericwall.Upstream, cause error) {
	now := time.Now()
	isNew := t.config.Paths.RecordLoss(now, to)
	var sent *turmericwall.SendError
	if errors.As(cause, &sent) {
		t.config.Paths.RecordRefused(sent.RefusedAt, to.Key())
	}
	if !isNew {
		return
	}
	t.config.Connections.CloseIdle(to)
	t.config.Recorder.Record(turmericwall.EventPathLost).Str("upstream", to.ID).
		Int("lost", int64(t.config.Paths.Lost(now, ""))).Err(cause).Send()
}
