// Package twbudget bounds memory that several users share, each within a bound of its own.
package twbudget

import "sync"

// Config configures a Budget.
type Config struct {
	// Bytes is the bound.
	Bytes int64
	// Parent is the budget of which this one is a part; nil if there is none.
	Parent *Budget
}

// Budget is memory of which users take parts. It is safe for concurrent use. A nil budget has no bound and counts nothing.
type Budget struct {
	config  Config
	mu      sync.Mutex
	held    int64
	refused int64
	closed  bool
}

// New returns a budget of which nothing is taken.
func New(config Config) *Budget { return &Budget{config: config} }

// Take takes memory, unless less is left here or in the parent.
func (b *Budget) Take(bytes int64) bool {
	if b == nil || bytes <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.held+bytes > b.config.Bytes || !b.config.Parent.Take(bytes) {
		b.refused++
		return false
	}
	b.held += bytes
	return true
}

// Release returns memory that was taken. After Close it does nothing.
func (b *Budget) Release(bytes int64) {
	if b == nil || bytes <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.held -= bytes
	b.config.Parent.Release(bytes)
}

// Close returns all memory that is taken, and lets none be taken afterwards.
func (b *Budget) Close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.config.Parent.Release(b.held)
	b.held = 0
}

// Bytes returns the bound; 0 if there is none.
func (b *Budget) Bytes() int64 {
	if b == nil {
		return 0
	}
	return b.config.Bytes
}

// Held returns the memory that is taken.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Refused returns how often memory was not given.
func (b *Budget) Refused() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}
