package twdirect

import (
	"errors"
	"io"
	"time"

	"github.com/turmericwall/turmericwall"
)

// body marks the error of an answer that is broken off because the path was lost.
type body struct {
	io.ReadCloser
	transport *Transport
	from      turmericwall.Upstream
}

// Read reads the body. An error other than io.EOF after the path was lost is a SendError.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) || !b.transport.config.Paths.IsLost(time.Now(), b.from.Key()) {
		return n, err
	}
	return n, &turmericwall.SendError{Sent: true, PathLost: true, Err: err}
}
