// Package twlogwriter writes log lines asynchronously, so that a slow or blocked output never delays requests. Lines
// beyond the queue's length or the permitted rate are dropped and counted. Warnings have a rate and a part of the queue
// of their own.
package twlogwriter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLines bounds the lines that wait for the output; with about 300 bytes a line that is 300 KB.
	queueLines = 1024
	// reservedLines is the part of the queue that only warnings use.
	reservedLines = 256
	// maxLinesPerSecond bounds the volume of the log; a daemon writes about 60 lines a second at peak load.
	maxLinesPerSecond = 400
	// maxWarningsPerSecond is the bound for warnings, on top.
	maxWarningsPerSecond = 200
)

// Writer queues lines for its output, and drops and counts those that exceed its limits.
type Writer struct {
	lines            chan []byte
	events, warnings rate
	dropped          atomic.Int64
}

// rate counts lines by the second.
type rate struct{ second, lines atomic.Int64 }

// admits counts a line and reports whether it is within the limit.
func (r *rate) admits(now time.Time, limit int64) bool {
	second := now.Unix()
	if r.second.Swap(second) != second {
		r.lines.Store(0)
	}
	return r.lines.Add(1) <= limit
}

// New returns a writer with an empty queue; Run writes the queued lines.
func New() *Writer { return &Writer{lines: make(chan []byte, queueLines)} }

// Write queues a copy of one line, or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel is Write for a line of the level.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	now := time.Now()
	admitted := false
	if level >= zerolog.WarnLevel {
		admitted = w.warnings.admits(now, maxWarningsPerSecond)
	} else {
		admitted = len(w.lines) < queueLines-reservedLines && w.events.admits(now, maxLinesPerSecond)
	}
	if !admitted {
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
