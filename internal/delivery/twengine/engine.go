// Package twengine is the HTTP client of the model engines. Deliveries use it for prefill and decode; the canceller and
// the leader use it to free memory and to read the engines' load and cache events.
package twengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twbody"
	"github.com/turmericwall/turmericwall/internal/operations/twresponse"
)

// Limits of the calls to engines.
const (
	// prefillTimeout exceeds the queueing and the computation of the longest prompt.
	prefillTimeout        = 30 * time.Second
	controlTimeout        = time.Second
	maxReplyBytes         = 8 << 20
	maxIdleConnsPerEngine = 64
	idleConnTimeout       = 10 * time.Second
	// maxHeadBytes bounds the head of a reply, which has some hundred bytes.
	maxHeadBytes = 16 << 10
)

// Engines creates the clients of engines and shares their connections. It implements turmericwall.Engines.
type Engines struct {
	// pooled reuses connections; fresh opens one for each call.
	pooled   *http.Client
	fresh    *http.Client
	bodies   *twbody.Reader
	bytesIn  metrics.Counter
	messages metrics.Counter
}

// Config holds the registry in which control traffic is counted.
type Config struct {
	Registry metrics.Registry
}

// New returns the client factory for all engines.
func New(config Config) *Engines {
	pooled := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEngine, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes}
	fresh := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Engines{
		pooled:   &http.Client{Transport: twresponse.New(pooled)},
		fresh:    &http.Client{Transport: twresponse.New(fresh)},
		bodies:   twbody.New(twbody.Config{MaxBytes: maxReplyBytes}),
		bytesIn:  metrics.GetOrRegisterCounter("control.engines.bytesIn", config.Registry),
		messages: metrics.GetOrRegisterCounter("control.engines.messages", config.Registry),
	}
}

// Engine returns the client of the engine at the address (host:port).
func (c *Engines) Engine(address string) turmericwall.Engine {
	return &engine{address: address, clients: c}
}

type engine struct {
	address string
	clients *Engines
}

type completionRequest struct {
	Model         string          `json:"model"`
	Prompt        string          `json:"prompt"`
	MaxTokens     int             `json:"max_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions *streamOptions  `json:"stream_options,omitempty"`
	Priority      int             `json:"priority"`
	Transfer      *transferParams `json:"kv_transfer_params,omitempty"`
}

type streamOptions struct {
	IncludeUsage    bool `json:"include_usage"`
	ContinuousUsage bool `json:"continuous_usage_stats"`
}

// transferParams is the engines' published format for naming an export.
type transferParams struct {
	RemoteDecode  bool `json:"do_remote_decode"`
	RemotePrefill bool `json:"do_remote_prefill"`
	turmericwall.Export
}

type prefillReply struct {
	Transfer transferParams `json:"kv_transfer_params"`
}

// Prefill computes and exports the prompt's KV cache. The error is a *turmericwall.EngineError unless the call could
// not be built.
func (e *engine) Prefill(ctx context.Context, call turmericwall.EngineCall) (turmericwall.Export, error) {
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	body := completionRequest{
		Model: call.Model, Prompt: call.Prompt, MaxTokens: 1, Priority: call.Priority,
		Transfer: &transferParams{RemoteDecode: true},
	}
	response, err := e.sendCompletion(ctx, call.Attempt, body)
	if err != nil {
		return turmericwall.Export{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var reply prefillReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return turmericwall.Export{}, e.callError(turmericwall.EngineUnreachable, err)
	}
	return reply.Transfer.Export, nil
}

// Decode imports the export and passes each chunk of the answer to sink. Errors of sink are returned without an
// engine's reason.
func (e *engine) Decode(
	ctx context.Context, call turmericwall.EngineCall, export turmericwall.Export, sink func(turmericwall.Chunk) error,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newProgressWatchdog(cancel)
	defer watchdog.stop()
	body := completionRequest{
		Model: call.Model, Prompt: call.Prompt, MaxTokens: call.MaxTokens, Priority: call.Priority, Stream: true,
		StreamOptions: &streamOptions{IncludeUsage: true, ContinuousUsage: true},
		Transfer:      &transferParams{RemotePrefill: true, Export: export},
	}
	response, err := e.sendCompletion(ctx, call.Attempt, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := readChunks(response.Body, watchdog, sink); err != nil {
		if isSinkError(err) {
			return err
		}
		return e.callError(turmericwall.EngineUnreachable, err)
	}
	return nil
}

// Cancel frees what the engine holds for the attempt; an unknown attempt is no error.
func (e *engine) Cancel(ctx context.Context, attempt string) error {
	response, err := e.sendControl(ctx, e.clients.fresh, http.MethodDelete, "/v1/requests?id="+url.QueryEscape(attempt))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Report returns the engine's last load report, on a new connection when fresh is set.
func (e *engine) Report(ctx context.Context, fresh bool) (turmericwall.Report, error) {
	client := e.clients.pooled
	if fresh {
		client = e.clients.fresh
	}
	var report turmericwall.Report
	return report, e.readJSON(ctx, client, "/load", &report)
}

// Events returns the cache events after the sequence number.
func (e *engine) Events(ctx context.Context, after uint64) (turmericwall.CacheEvents, error) {
	var events turmericwall.CacheEvents
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	return events, e.readJSON(ctx, e.clients.pooled, path, &events)
}

// sendCompletion sends a completion call. The body can't be rewound, so that the transport never resends the call: the
// engine might then hold memory for it twice.
func (e *engine) sendCompletion(ctx context.Context, attempt string, body completionRequest) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode the call of engine %s: %w", e.address, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url("/v1/completions"),
		io.NopCloser(bytes.NewReader(encoded)))
	if err != nil {
		return nil, fmt.Errorf("build the call of engine %s: %w", e.address, err)
	}
	request.ContentLength = int64(len(encoded))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", attempt)
	response, err := e.clients.pooled.Do(request)
	if err != nil {
		return nil, e.callError(turmericwall.EngineUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, e.callError(reasonOf(response.StatusCode), fmt.Errorf("status %d", response.StatusCode))
	}
	return response, nil
}

func (e *engine) readJSON(ctx context.Context, client *http.Client, path string, target any) error {
	response, err := e.sendControl(ctx, client, http.MethodGet, path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(target); err != nil {
		return e.callError(turmericwall.EngineUnreachable, err)
	}
	return nil
}

// sendControl sends a control call and reads the whole answer within controlTimeout.
func (e *engine) sendControl(ctx context.Context, client *http.Client, method, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, e.url(path), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("build the call of engine %s: %w", e.address, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, e.callError(turmericwall.EngineUnreachable, err)
	}
	content, release, err := e.clients.bodies.Read(response.Body, response.ContentLength)
	release()
	_ = response.Body.Close()
	if err != nil {
		return nil, e.callError(turmericwall.EngineUnreachable, err)
	}
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusNotFound {
		return nil, e.callError(reasonOf(response.StatusCode), fmt.Errorf("status %d", response.StatusCode))
	}
	e.clients.bytesIn.Inc(int64(len(content)))
	e.clients.messages.Inc(1)
	response.Body = io.NopCloser(bytes.NewReader(content))
	return response, nil
}

func (e *engine) url(path string) string { return "http://" + e.address + path }

func (e *engine) callError(reason turmericwall.EngineReason, cause error) error {
	return turmericwall.NewEngineError(e.address, reason, cause)
}

func reasonOf(status int) turmericwall.EngineReason {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return turmericwall.EngineFull
	case http.StatusGone:
		return turmericwall.EngineExportGone
	case http.StatusFailedDependency:
		return turmericwall.EngineTransferFailed
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return turmericwall.EngineUnreachable
	default:
		return turmericwall.EngineRefused
	}
}

func isSinkError(err error) bool {
	var s *sinkError
	return errors.As(err, &s)
}
