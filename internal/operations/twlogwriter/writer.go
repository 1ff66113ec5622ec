// Package twlogwriter writes log lines asynchronously, so that a slow or blocked output never delays requests. Lines
// beyond the queue's length or the permitted rate are dropped and counted.
package twlogwriter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for the output; with about 300 bytes a line that is 300 KB.
	queueLines = 1024
	// maxLinesPerSecond bounds the volume of the log; a daemon writes about 30 lines a second at peak load.
	maxLinesPerSecond = 400
)

// Writer queues lines for its output, and drops and counts those that exceed its limits.
type Writer struct {
	lines           chan []byte
	currentSecond   atomic.Int64
	writtenInSecond atomic.Int64
	dropped         atomic.Int64
}

// New returns a writer with an empty queue; Run writes the queued lines.
func New() *Writer { return &Writer{lines: make(chan []byte, queueLines)} }

// Write queues a copy of one line, or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if w.currentSecond.Swap(now) != now {
		w.writtenInSecond.Store(0)
	}
	if w.writtenInSecond.Add(1) > maxLinesPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx ends, and then those that are left. When the queue is empty again after lines were
// dropped, it writes a line with their number. It fails when the output does.
func (w *Writer) Run(ctx context.Context, out io.Writer) error {
	reportedDropped := int64(0)
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				return fmt.Errorf("write the log: %w", err)
			}
		case <-ctx.Done():
			return w.flush(out)
		}
		if dropped := w.dropped.Load(); dropped > reportedDropped && len(w.lines) == 0 {
			reportedDropped = dropped
			fmt.Fprintf(out, `{"level":"warn","message":"Log lines dropped","dropped":%d}`+"\n", dropped)
		}
	}
}

// flush writes the lines that are still queued.
func (w *Writer) flush(out io.Writer) error {
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				return fmt.Errorf("write the log: %w", err)
			}
		default:
			return nil
		}
	}
}
