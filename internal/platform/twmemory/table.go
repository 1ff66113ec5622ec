// Package twmemory implements the platform's table service in memory, for the simulated platform and for tests.
package twmemory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/turmericwall/turmericwall"
)

// Table implements turmericwall.Table with the conditions, versions and tokens of the platform's table service.
type Table struct {
	mu   sync.Mutex
	rows map[string]turmericwall.Row
}

// New returns an empty Table.
func New() *Table { return &Table{rows: make(map[string]turmericwall.Row)} }

// Get returns the row, and false when there is none.
func (t *Table) Get(_ context.Context, key string) (turmericwall.Row, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok, nil
}

// List returns at most limit rows whose key starts with prefix and sorts after the key after, in the order of their
// keys.
func (t *Table) List(_ context.Context, prefix, after string, limit int) ([]turmericwall.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []turmericwall.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Commit applies all writes, or none and returns a *turmericwall.ConflictError that names the first row whose condition
// fails.
func (t *Table) Commit(_ context.Context, transaction turmericwall.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range transaction.Writes {
		if t.rows[w.Key].Version != w.IfVersion {
			return turmericwall.NewConflictError(w.Key)
		}
	}
	for _, w := range transaction.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = turmericwall.Row{Key: w.Key, Version: w.IfVersion + 1, Value: w.Value, Token: transaction.Token}
	}
	return nil
}
