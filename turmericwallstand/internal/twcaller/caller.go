// Package twcaller sends calls as a caller of the router does, with JSON bodies and a bearer key. The demonstration,
// load runs, measurements and tests call daemons through it.
package twcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Caller sends calls with an account's key. It is safe for concurrent use.
type Caller struct {
	client *http.Client
	key    string
}

// Completion is the body of a completion request.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// New returns a caller that uses the client; with an empty key it sends no Authorization header.
func New(client *http.Client, key string) *Caller { return &Caller{client: client, key: key} }

// Call sends one call with the body encoded as JSON, and returns the answer whatever its status is. The caller of Call
// closes the answer's body.
func (c *Caller) Call(ctx context.Context, method, address string, header http.Header, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode the body of the call of %s: %w", address, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("build the call of %s: %w", address, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	return c.client.Do(request)
}

// ReadJSON gets the URL and decodes the JSON answer into target, whatever its status is.
func (c *Caller) ReadJSON(ctx context.Context, address string, target any) error {
	response, err := c.Call(ctx, http.MethodGet, address, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(target)
}
