// Package twserve runs an HTTP server until a context ends. The listeners for callers and operators are served with it.
package twserve

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// ServeUntilDone serves the listener until ctx ends, and then closes the server and its open connections. If the server
// was shut down gracefully before, ServeUntilDone still waits for the end of ctx. It returns an error only if serving
// fails.
func ServeUntilDone(ctx context.Context, server *http.Server, listener net.Listener) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done()
	case <-ctx.Done():
		_ = server.Close()
		<-serveErr
	}
	return nil
}
