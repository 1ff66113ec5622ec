// Package twobject is the client of the platform's object store.
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

// New returns a store that calls through the client.
func New(client *twhttp.Client) *Store { return &Store{client: client} }

// Put stores the object if the name is free. A name that holds the same bytes is what a lost answer
// leaves behind, and is no error.
func (s *Store) Put(ctx context.Context, name string, content []byte) error {
	header := http.Header{"If-None-Match": {"*"}}
	reply, err := s.client.Do(ctx, http.MethodPut, path(name), header, content)
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

// Get reads the object.
func (s *Store) Get(ctx context.Context, name string) ([]byte, bool, error) {
	reply, err := s.client.Get(ctx, path(name))
	if err != nil {
		return nil, false, fmt.Errorf("read object %q: %w", name, err)
	}
	if reply.Status() == http.StatusNotFound {
		return nil, false, nil
	}
	return reply.Body(), true, nil
}

func path(name string) string { return "/objects/" + url.PathEscape(name) }
