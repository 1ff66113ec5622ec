// Package twobject is the HTTP client of the platform's object store. The ledger stores the prompts in it that are too
// long for a row.
package twobject

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
)

// Store implements turmericwall.ObjectStore over HTTP.
type Store struct {
	client *twhttp.Client
}

// New returns a Store that sends its requests through the client.
func New(client *twhttp.Client) *Store { return &Store{client: client} }

// Put stores the object unless the name exists. An existing object with the same bytes is no error, because a lost
// answer leaves one behind; one with other bytes gives a *turmericwall.ConflictError.
func (s *Store) Put(ctx context.Context, name string, content []byte) error {
	header := http.Header{"If-None-Match": {"*"}}
	reply, err := s.client.Do(ctx, http.MethodPut, objectPath(name), header, content)
	if err != nil {
		return fmt.Errorf("store object %q: %w", name, err)
	}
	if reply.Status() != http.StatusPreconditionFailed {
		return nil
	}
	stored, ok, err := s.Get(ctx, name)
	if err != nil {
		return err
	}
	if !ok || !bytes.Equal(stored, content) {
		return turmericwall.NewConflictError(name)
	}
	return nil
}

// Get returns the object's bytes, and false when there is no such object.
func (s *Store) Get(ctx context.Context, name string) ([]byte, bool, error) {
	reply, err := s.client.Get(ctx, objectPath(name))
	if err != nil {
		return nil, false, fmt.Errorf("read object %q: %w", name, err)
	}
	if reply.Status() == http.StatusNotFound {
		return nil, false, nil
	}
	return reply.Body(), true, nil
}

func objectPath(name string) string { return "/objects/" + url.PathEscape(name) }
