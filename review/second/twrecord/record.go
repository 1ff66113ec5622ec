// Package twrecord writes what a case has sent, seen and run, with the time since its start.
package twrecord

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of one case. It is safe for concurrent use.
type Record struct {
	startedAt time.Time
	mu        sync.Mutex
	file      *os.File
}

// Create begins a record in the file.
func Create(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{startedAt: time.Now(), file: file}, nil
}

// Add adds one line.
func (r *Record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// Say adds one line and prints it.
func (r *Record) Say(format string, arguments ...any) {
	r.Add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Close ends the record.
func (r *Record) Close() error { return r.file.Close() }
