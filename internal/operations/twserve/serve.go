// Package twserve runs HTTP servers for as long as their context lives.
package twserve

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Until answers on the listener until ctx ends; open connections are then closed. A server that was shut
// down gracefully before waits for the end of ctx.
func Until(ctx context.Context, server *http.Server, listener net.Listener) error {
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
	case <-ctx.Done():
		_ = server.Close()
		<-ended
	}
	return nil
}
