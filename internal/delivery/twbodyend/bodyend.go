// Package twbodyend decides whether the end of an answer's body is that of a complete answer.
package twbodyend

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/turmericwall/turmericwall"
)

// The errors of bodies that were broken off although their connection ended in order.
var (
	ErrInsideEvent = errors.New("the stream ended inside an event")
	ErrNoEvent     = errors.New("the stream ended without an event")
	ErrStopped     = errors.New("the run was stopped in order to be moved")
)

const contentTypeEvents = "text/event-stream"

// Body is what is known of a body that has ended.
type Body struct {
	Framing turmericwall.Framing
	// Streaming is set if the call's route is a streaming one.
	Streaming bool
	// ContentType is that of the answer; empty if it states none.
	ContentType string
	// Resumed is set if the call asked for the events after one that its caller has.
	Resumed bool
	// EmptyBefore is set if the run before this one resumed the stream too and ended in order without an event.
	EmptyBefore bool
	// ReadErr is the error of the last read; io.EOF if the framing or an orderly close ended the body.
	ReadErr error
	// Events is the number of complete events, and Rest what came after the last one.
	Events int
	Rest   []byte
	// Stopped is set if the run was stopped in order to be moved, and MaybeStopped if it may have been.
	Stopped, MaybeStopped bool
}

// IsEventStream reports whether the body consists of events.
func (b Body) IsEventStream() bool {
	mediaType, _, _ := strings.Cut(b.ContentType, ";")
	mediaType = strings.ToLower(strings.TrimSpace(mediaType))
	return b.Streaming && (mediaType == "" || mediaType == contentTypeEvents)
}

// Check returns nil if the body is complete, and otherwise why it is not.
func (b Body) Check() error {
	framed := b.Framing == turmericwall.FramingLength || b.Framing == turmericwall.FramingChunks
	switch {
	case b.ReadErr != io.EOF:
		return b.ReadErr
	case b.Stopped, b.MaybeStopped && !framed:
		return ErrStopped
	case !b.IsEventStream():
		return nil
	case len(bytes.Trim(b.Rest, "\r\n")) > 0:
		return ErrInsideEvent
	case b.Events == 0 && !(b.Resumed && (framed || b.EmptyBefore)):
		return ErrNoEvent
	}
	return nil
}
