// Package twhttp speaks JSON over HTTP with the platform's service.
package twhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
)

// Limits of one call to the platform.
const (
	callTimeout  = 2 * time.Second
	maxBodyBytes = 64 << 20
	idleConns    = 32
)

// Client calls the platform's service. Its methods may be used by several goroutines.
type Client struct {
	address  string
	http     *http.Client
	bytesIn  metrics.Counter
	messages metrics.Counter
}

// Config says where the platform's service is.
type Config struct {
	// Address is the base URL, such as http://10.0.0.9:7000.
	Address string
	// Registry counts what the platform costs; nil counts nothing that anybody sees.
	Registry metrics.Registry
}

// New returns a client.
func New(config Config) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: callTimeout}
	if config.Registry == nil {
		config.Registry = metrics.NewRegistry()
	}
	return &Client{
		address:  strings.TrimSuffix(config.Address, "/"),
		http:     &http.Client{Transport: transport},
		bytesIn:  metrics.GetOrRegisterCounter("control.platform.bytesIn", config.Registry),
		messages: metrics.GetOrRegisterCounter("control.platform.messages", config.Registry),
	}
}

// Reply is one answer of the platform.
type Reply struct {
	status int
	body   []byte
}

// Status returns the HTTP status.
func (r Reply) Status() int { return r.status }

// Body returns the answer's bytes.
func (r Reply) Body() []byte { return r.body }

// Decode reads the answer's JSON into target.
func (r Reply) Decode(target any) error {
	if err := json.Unmarshal(r.body, target); err != nil {
		return fmt.Errorf("decode the platform's answer, check its version: %w", err)
	}
	return nil
}

// Get reads a path.
func (c *Client) Get(ctx context.Context, path string) (Reply, error) {
	return c.Do(ctx, http.MethodGet, path, nil, nil)
}

// Post sends a value as JSON.
func (c *Client) Post(ctx context.Context, path string, value any) (Reply, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Reply{}, fmt.Errorf("encode the call of %s: %w", path, err)
	}
	return c.Do(ctx, http.MethodPost, path, http.Header{"Content-Type": {"application/json"}}, body)
}

// Do sends one call within its timeout. Any failure to get an answer is a problem of kind
// KindStoreUnavailable: the call may have taken effect.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, fmt.Errorf("build the call of %s, check the platform's address: %w", path, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, unavailable(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return Reply{}, unavailable(err)
	}
	c.bytesIn.Inc(int64(len(content)))
	c.messages.Inc(1)
	if response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests {
		return Reply{}, unavailable(fmt.Errorf("status %d", response.StatusCode))
	}
	return Reply{status: response.StatusCode, body: content}, nil
}

func unavailable(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindStoreUnavailable,
		"the platform's service gave no answer", "try again later; if it lasts, check the platform").WithCause(cause)
}
