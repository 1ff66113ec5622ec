package twpeerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twbody"
	"github.com/turmericwall/turmericwall/internal/operations/twconnend"
	"github.com/turmericwall/turmericwall/internal/operations/twmeter"
	"github.com/turmericwall/turmericwall/internal/operations/twresponse"
	"github.com/turmericwall/turmericwall/internal/operations/twsocket"
)

const (
	// dialTimeout is the time limit for connecting: some round trips between data centres.
	dialTimeout = 300 * time.Millisecond
	// callTimeout is the time limit of calls that the peer answers without waiting.
	callTimeout = 800 * time.Millisecond
	// maxMessageBytes limits a message: the state of the largest deployment is under 2 MB.
	maxMessageBytes = 4 << 20
	// idleTimeout is how long a connection without calls is kept open: less than the peer keeps it, so that no request is
	// sent while the peer closes it.
	idleTimeout = 15 * time.Second
	// maxHeadBytes bounds the head of an answer, which has some hundred bytes. The head of an upstream's answer that comes
	// through a peer is in the body.
	maxHeadBytes = 16 << 10
)

// errStatus is returned when a peer answers with another status than 200.
var errStatus = errors.New("the peer did not accept the call")

// Client calls other daemons; it implements turmericwall.PeerClient and is safe for concurrent use.
type Client struct {
	http   *http.Client
	bodies *twbody.Reader
}

// Liveness returns the rule for connections between daemons, on both sides. A request to an upstream that a peer sends
// ends when this daemon is gone.
func Liveness() twsocket.Liveness {
	return twsocket.New(twsocket.Config{ProbeSeconds: 1, DeadMillis: 2000})
}

// NewClient returns a client without open connections, whose bytes the meter counts; it may be nil.
func NewClient(meter *twmeter.Meter) *Client {
	liveness := Liveness()
	dialer := &net.Dialer{Timeout: dialTimeout, Control: liveness.Control, KeepAliveConfig: liveness.KeepAlive()}
	transport := &http.Transport{
		DialContext: twconnend.Dial(meter.Dial(dialer.DialContext)), DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{
		bodies: twbody.New(twbody.Config{MaxBytes: maxMessageBytes}), http: &http.Client{Transport: twresponse.New(transport)},
	}
}

// Heartbeat sends the leader's heartbeat and returns the daemon's reply. Its time limit is that of ctx.
func (c *Client) Heartbeat(
	ctx context.Context, address string, heartbeat turmericwall.Heartbeat,
) (turmericwall.HeartbeatReply, error) {
	var reply turmericwall.HeartbeatReply
	return reply, c.call(ctx, address, pathHeartbeat, heartbeat, &reply)
}

// FetchState requests routes and upstreams from a daemon.
func (c *Client) FetchState(
	ctx context.Context, address string, request turmericwall.StateRequest,
) (turmericwall.SharedState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wireState
	if err := c.call(ctx, address, pathState, request, &reply); err != nil {
		return turmericwall.SharedState{}, err
	}
	if err := unpack("plan", reply.PackedPlan, &reply.Plan); err != nil {
		return turmericwall.SharedState{}, err
	}
	if err := unpack("upstreams", reply.PackedUpstreams, &reply.Upstreams); err != nil {
		return turmericwall.SharedState{}, err
	}
	return reply.SharedState, nil
}

// Place requests a placement from the leader and waits for its decision. A refusal is returned as a
// turmericwall.Problem, a failed call as another error.
func (c *Client) Place(
	ctx context.Context, address string, request turmericwall.PlaceRequest,
) (turmericwall.Placement, error) {
	var reply wirePlaceReply
	if err := c.call(ctx, address, pathPlace, encodePlaceRequest(time.Now(), request), &reply); err != nil {
		return turmericwall.Placement{}, err
	}
	now := time.Now()
	if reply.OverLimit {
		return turmericwall.Placement{}, turmericwall.
			NewProblem(turmericwall.KindOverLimit, reply.Reason, "come back at the time given").
			WithRetryAt(now.Add(time.Duration(reply.RetryMillis) * time.Millisecond))
	}
	if reply.Refused {
		return turmericwall.Placement{}, turmericwall.NewRefusalProblem(turmericwall.Refusal{
			Attempt: request.ID, Reason: reply.Reason, Permanent: reply.Never, VersionGone: reply.VersionGone,
			Quarantined: reply.Quarantined, Cause: reply.Cause,
			RetryAt: now.Add(time.Duration(reply.RetryMillis) * time.Millisecond),
		})
	}
	return turmericwall.Placement{
		ID: request.ID, Decode: reply.Decode, Prefill: reply.Prefill, ReserveTokens: reply.ReserveTokens,
		Reason: reply.Reason, Late: reply.Late, Version: reply.Version,
		PrefillEndsAt: now.Add(time.Duration(reply.ReadMillis) * time.Millisecond),
	}, nil
}

// SendUpdates reports to the leader what happened to placed calls.
func (c *Client) SendUpdates(ctx context.Context, address string, updates []turmericwall.PlacementUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, address, pathFinish, updates, nil)
}

// ReportPlacedCalls reports this daemon's calls under way to a new leader.
func (c *Client) ReportPlacedCalls(ctx context.Context, address string, placedCalls []turmericwall.PlacedCall) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	list := make([]wirePlacedCall, 0, len(placedCalls))
	for _, r := range placedCalls {
		list = append(list, wirePlacedCall{
			Request: encodePlaceRequest(now, r.Request), Engine: r.Engine, AgeMillis: r.AgeMillis,
			PaceTokens: r.PaceTokens, PaceMillis: r.PaceMillis, PaceAgeMillis: r.PaceAgeMillis,
		})
	}
	return c.call(ctx, address, pathRuns, list, nil)
}

// ReportStreams sends records of streams to the leader or a standby. Its time limit is that of ctx.
func (c *Client) ReportStreams(ctx context.Context, address string, records []turmericwall.StreamRecord) error {
	return c.call(ctx, address, pathStreams, records, nil)
}

// ExchangeEvidence sends evidence on engines that ended to a daemon and returns that daemon's. Its time limit is that of
// ctx.
func (c *Client) ExchangeEvidence(
	ctx context.Context, address string, evidence turmericwall.Evidence,
) (turmericwall.Evidence, error) {
	var reply turmericwall.Evidence
	return reply, c.call(ctx, address, pathEvidence, evidence, &reply)
}

// Admit requests sends to an upstream that states a rate from the rate coordinator. Its time limit is that of ctx.
func (c *Client) Admit(
	ctx context.Context, address string, request turmericwall.AdmitRequest,
) (turmericwall.AdmitReply, error) {
	var reply turmericwall.AdmitReply
	return reply, c.call(ctx, address, pathAdmit, request, &reply)
}

// Charge requests from the leader that a call is charged to a quota. Its time limit is that of ctx.
func (c *Client) Charge(
	ctx context.Context, address string, request turmericwall.ChargeRequest,
) (turmericwall.ChargeReply, error) {
	var reply turmericwall.ChargeReply
	return reply, c.call(ctx, address, pathCharge, request, &reply)
}

// call posts a message as JSON and decodes the answer into reply unless that is nil.
func (c *Client) call(ctx context.Context, address, path string, message, reply any) error {
	body, err := json.Marshal(message)
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
	replyBody, release, err := c.bodies.Read(response.Body, response.ContentLength)
	defer release()
	if err != nil {
		return fmt.Errorf("read the peer's answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d for %s", errStatus, response.StatusCode, path)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(replyBody, reply); err != nil {
		return fmt.Errorf("decode the peer's answer: %w", err)
	}
	return nil
}
