// Package tweventbuffer groups the events of a stream on their way to the caller. The relay writes each stream through
// it.
//
// A lost packet delays its events by a retransmission timeout, which is longer than an event may take to the caller. A
// stream of seventy events in as many packets loses one in every tenth stream at a loss rate of 0.15%; with three
// events in each packet, in every thirtieth.
package tweventbuffer

import (
	"net/http"
	"sync"
	"time"
)

// maxHeldBytes bounds what is held back: many events. An engine may write more than a slow caller reads.
const maxHeldBytes = 16 << 10

// Config holds the settings of a Buffer.
type Config struct {
	Writer http.ResponseWriter
	// MaxHold is the longest time for which an event is held back; 0 means that none is.
	MaxHold time.Duration
}

// Buffer writes the events of one stream to its caller. It must be closed before the caller's request ends.
type Buffer struct {
	config Config
	mu     sync.Mutex
	held   []byte
	timer  *time.Timer
	closed bool
	// writtenAt is when the last events were passed to Write.
	writtenAt time.Time
	err       error
}

// New returns a buffer that holds nothing.
func New(config Config) *Buffer { return &Buffer{config: config} }

// Write writes the events, or holds them back for MaxHold at most. The first events are written at once, and so are
// events after a pause, which are delayed already, and more than maxHeldBytes. An error of an earlier write is returned too.
func (b *Buffer) Write(events []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	paused := now.Sub(b.writtenAt) > b.config.MaxHold
	b.writtenAt = now
	if b.config.MaxHold <= 0 || paused || len(b.held)+len(events) > maxHeldBytes {
		b.writeNow(events)
		return b.err
	}
	b.held = append(b.held, events...)
	if b.timer == nil {
		b.timer = time.AfterFunc(b.config.MaxHold, b.flushHeld)
	}
	return b.err
}

// Close writes the events that are held back, and the bytes after them. The buffer writes nothing afterwards.
func (b *Buffer) Close(rest []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeNow(rest)
	b.closed = true
	return b.err
}

func (b *Buffer) flushHeld() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.flush()
	}
}

// writeNow writes the held events and these; the lock is held. Large ones aren't copied for it.
func (b *Buffer) writeNow(events []byte) {
	if len(b.held)+len(events) > maxHeldBytes {
		b.flush()
		if b.err == nil {
			_, b.err = b.config.Writer.Write(events)
			b.flushWriter()
		}
		return
	}
	b.held = append(b.held, events...)
	b.flush()
}

// flush writes the held events; the lock is held.
func (b *Buffer) flush() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if b.err != nil || len(b.held) == 0 {
		return
	}
	_, b.err = b.config.Writer.Write(b.held)
	b.held = b.held[:0]
	b.flushWriter()
}

func (b *Buffer) flushWriter() {
	if f, ok := b.config.Writer.(http.Flusher); ok {
		f.Flush()
	}
}
