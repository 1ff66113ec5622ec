// Package twcaller makes calls as a caller of the router would.
package twcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Caller sends JSON with an account's key.
type Caller struct {
	client *http.Client
	key    string
}

// Completion is the body of a completion.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// New returns a caller; an empty key sends none.
func New(client *http.Client, key string) *Caller { return &Caller{client: client, key: key} }

// Call sends one call; the answer's body is the caller's to close.
func (c *Caller) Call(ctx context.Context, method, address string, header http.Header, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode the call of %s: %w", address, err)
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

// Read gets an address and decodes its JSON.
func (c *Caller) Read(ctx context.Context, address string, target any) error {
	response, err := c.Call(ctx, http.MethodGet, address, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(target)
}
