package twpeerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// dialLimit ends an attempt to connect: some round trips between zones.
	dialLimit = 300 * time.Millisecond
	// callLimit ends a call that is answered at once.
	callLimit = 800 * time.Millisecond
	// maxMessage bounds a message, in bytes: the state of the largest deployment is under 2 MB.
	maxMessage = 4 << 20
	// idleSpan is how long a connection without calls is kept.
	idleSpan = 20 * time.Second
)

// errStatus tells that a peer declined a call.
var errStatus = errors.New("the peer declined the call")

// Client calls other daemons.
type Client struct{ http *http.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialLimit, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: idleSpan,
	}}}
}

// Heartbeat tells a daemon that this one is the leader.
func (c *Client) Heartbeat(ctx context.Context, address string, heartbeat turmericwall.Heartbeat) (turmericwall.HeartbeatReply, error) {
	var got turmericwall.HeartbeatReply
	return got, c.call(ctx, address, pathHeartbeat, heartbeat, &got)
}

// State asks a daemon for routes and upstreams.
func (c *Client) State(ctx context.Context, address string, ask turmericwall.StateAsk) (turmericwall.SharedState, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var got wireState
	if err := c.call(ctx, address, pathState, ask, &got); err != nil {
		return turmericwall.SharedState{}, err
	}
	if err := unpack("plan", got.PackedPlan, &got.Plan); err != nil {
		return turmericwall.SharedState{}, err
	}
	if err := unpack("upstreams", got.PackedUpstreams, &got.Upstreams); err != nil {
		return turmericwall.SharedState{}, err
	}
	return got.SharedState, nil
}

// Place asks the leader for a place and waits for its decision.
func (c *Client) Place(ctx context.Context, address string, ask turmericwall.PlaceAsk) (turmericwall.Placement, error) {
	var got wirePlaced
	if err := c.call(ctx, address, pathPlace, toWire(time.Now(), ask), &got); err != nil {
		return turmericwall.Placement{}, err
	}
	now := time.Now()
	if got.OverLimit {
		return turmericwall.Placement{}, turmericwall.NewProblem(turmericwall.KindOverLimit, got.Reason, "come back at the time given").
			WithRetryAt(now.Add(time.Duration(got.RetryMillis) * time.Millisecond))
	}
	if got.Refused {
		return turmericwall.Placement{}, turmericwall.Refused(turmericwall.Refusal{
			Attempt: ask.ID, Reason: got.Reason, Never: got.Never,
			RetryAt: now.Add(time.Duration(got.RetryMillis) * time.Millisecond),
		})
	}
	return turmericwall.Placement{
		ID: ask.ID, Decode: got.Decode, Prefill: got.Prefill, ReserveTokens: got.ReserveTokens, Reason: got.Reason, Late: got.Late,
		ReadDeadline: now.Add(time.Duration(got.ReadMillis) * time.Millisecond),
	}, nil
}

// Finish tells the leader what happened to placed calls.
func (c *Client) Finish(ctx context.Context, address string, ends []turmericwall.PlacementEnd) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return c.call(ctx, address, pathFinish, ends, nil)
}

// Runs tells a new leader of the calls under way.
func (c *Client) Runs(ctx context.Context, address string, runs []turmericwall.PlacedRun) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	now := time.Now()
	list := make([]wireRun, 0, len(runs))
	for _, r := range runs {
		list = append(list, wireRun{Ask: toWire(now, r.Ask), Engine: r.Engine, AgeMillis: r.AgeMillis})
	}
	return c.call(ctx, address, pathRuns, list, nil)
}

// Admit asks the daemon that counts for all for sends to an upstream.
func (c *Client) Admit(ctx context.Context, address string, ask turmericwall.AdmitAsk) (turmericwall.AdmitReply, error) {
	var got turmericwall.AdmitReply
	return got, c.call(ctx, address, pathAdmit, ask, &got)
}

func (c *Client) call(ctx context.Context, address, path string, ask, got any) error {
	body, err := json.Marshal(ask)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("call the peer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	if err != nil {
		return fmt.Errorf("read the peer's answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d to %s", errStatus, response.StatusCode, path)
	}
	if got == nil {
		return nil
	}
	if err := json.Unmarshal(answer, got); err != nil {
		return fmt.Errorf("decode the peer's answer: %w", err)
	}
	return nil
}
