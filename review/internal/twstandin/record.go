// Package twstandin has the stand-ins of the review's scripts: the platform's store, engines, callers, and the daemons as
// processes.
package twstandin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a script: what was sent, answered and run, and which rules were broken.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken int
}

// NewRecord creates the file of the record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Note writes a line.
func (r *Record) Note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// Break writes a line on a broken rule.
func (r *Record) Break(rule, format string, values ...any) {
	r.Note("BROKEN "+rule+": "+format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// Broken returns how often a rule was broken.
func (r *Record) Broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
