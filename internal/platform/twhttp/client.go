// Package twhttp sends requests to the platform's service and reads its JSON replies. The clients of the table service,
// of the object store and of the VM list are built on it.
package twhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twbody"
	"github.com/turmericwall/turmericwall/internal/operations/twresponse"
)

// Limits of one call to the platform.
const (
	callTimeout = 2 * time.Second
	// maxBodyBytes is the largest number of bytes that are read from a reply's body.
	maxBodyBytes = 64 << 20
	maxIdleConns = 32
	// maxHeadBytes bounds the head of a reply, which has some hundred bytes.
	maxHeadBytes = 16 << 10
)

// Client sends requests to the platform's service. Its methods may be called by several goroutines.
type Client struct {
	address  string
	http     *http.Client
	bodies   *twbody.Reader
	bytesIn  metrics.Counter
	messages metrics.Counter
}

// Config holds the address of the platform's service and the registry of its metrics.
type Config struct {
	// Address is the base URL, such as http://10.0.0.9:7000.
	Address string
	// Registry counts the replies and bytes received from the platform; nil discards the counts.
	Registry metrics.Registry
}

// New returns a Client for the address of the config.
func New(config Config) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: callTimeout, MaxResponseHeaderBytes: maxHeadBytes}
	if config.Registry == nil {
		config.Registry = metrics.NewRegistry()
	}
	return &Client{
		address:  strings.TrimSuffix(config.Address, "/"),
		http:     &http.Client{Transport: twresponse.New(transport)},
		bodies:   twbody.New(twbody.Config{MaxBytes: maxBodyBytes}),
		bytesIn:  metrics.GetOrRegisterCounter("control.platform.bytesIn", config.Registry),
		messages: metrics.GetOrRegisterCounter("control.platform.messages", config.Registry),
	}
}

// Reply is the platform's reply to one request.
type Reply struct {
	status int
	body   []byte
}

// Status returns the HTTP status code.
func (r Reply) Status() int { return r.status }

// Body returns the bytes of the reply's body.
func (r Reply) Body() []byte { return r.body }

// Decode decodes the JSON body into target.
func (r Reply) Decode(target any) error {
	if err := json.Unmarshal(r.body, target); err != nil {
		return fmt.Errorf("decode the platform's answer, check its version: %w", err)
	}
	return nil
}

// Get sends a GET request for the path.
func (c *Client) Get(ctx context.Context, path string) (Reply, error) {
	return c.Do(ctx, http.MethodGet, path, nil, nil)
}

// Post sends a POST request with the value as JSON.
func (c *Client) Post(ctx context.Context, path string, value any) (Reply, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Reply{}, fmt.Errorf("encode the call of %s: %w", path, err)
	}
	return c.Do(ctx, http.MethodPost, path, http.Header{"Content-Type": {"application/json"}}, body)
}

// Do sends one request and waits up to callTimeout for the reply. A request without a reply, or with the status 429 or
// one from 500 up, gives a *turmericwall.Problem of kind KindStoreUnavailable: the request may have taken effect. The
// caller handles all other statuses.
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
	content, release, err := c.bodies.Read(response.Body, response.ContentLength)
	defer release()
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
		"the platform's service gave no answer", "try again later; if it lasts, check the platform").
		WithCause(cause)
}
