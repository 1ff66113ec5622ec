package twrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/turmericwall/turmericwall/internal/delivery/twunread"
)

// unreadError is the error of an answer that its upstream cut off because it stayed unread, as its caller reads slowly. The
// upstream has neither ended nor failed.
type unreadError struct {
	err error
	// isAlive is set once the upstream was found alive.
	isAlive bool
}

// Error states the cause.
func (e *unreadError) Error() string {
	return fmt.Sprintf("the upstream cut off an answer that its caller didn't read: %v", e.err)
}

// Unwrap returns the error of the read.
func (e *unreadError) Unwrap() error { return e.err }

// isUnread reports whether the upstream cut an answer off because it stayed unread.
func isUnread(cause error) bool {
	var unread *unreadError
	return errors.As(cause, &unread)
}

// mayGoOn reports whether a stream may go on elsewhere after the error of its run, as far as the error says. An upstream of
// which nobody knows whether it has ended isn't counted as an end if the answer was unread, so that the next run could be
// one too many.
func mayGoOn(cause error) bool {
	var unread *unreadError
	return !errors.As(cause, &unread) || unread.isAlive
}

// pacedBody is a body whose reads are followed. The error of one that may have been cut off because it was unread is an
// unreadError.
type pacedBody struct {
	io.ReadCloser
	ctx    context.Context
	pauses *twunread.Pauses
}

func newPacedBody(ctx context.Context, body io.ReadCloser) *pacedBody {
	return &pacedBody{ReadCloser: body, ctx: ctx, pauses: twunread.New(time.Now())}
}

// Read reads the body.
func (b *pacedBody) Read(p []byte) (int, error) {
	b.pauses.BeginRead(time.Now())
	n, err := b.ReadCloser.Read(p)
	b.pauses.EndRead(time.Now())
	if err != nil && err != io.EOF {
		err = b.mark(err)
	}
	return n, err
}

// mark returns the error as an unreadError if the body may have been cut off, and not by this daemon.
func (b *pacedBody) mark(err error) error {
	if !b.pauses.MayBeCut() || b.ctx.Err() != nil || errors.Is(err, net.ErrClosed) || isUnread(err) {
		return err
	}
	return &unreadError{err: err}
}
