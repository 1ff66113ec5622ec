// Package twentry is a deferrable request as the platform's table keeps it.
package twentry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Partitions spread the open entries over the daemons.
const Partitions = 64

// State is how far a deferrable request got.
type State string

// The states of a deferrable request.
const (
	StateOpen      State = "open"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Entry is a deferrable request with its answer. It is written twice: when it is accepted and when it ends.
type Entry struct {
	ID       string `json:"id"`
	Account  string `json:"account"`
	Work     string `json:"work"`
	Model    string `json:"model"`
	Chat     bool   `json:"chat,omitempty"`
	BodyHash string `json:"bodyHash"`
	// Prompt is the text itself, or PromptObject names the object that holds it.
	Prompt       string             `json:"prompt,omitempty"`
	PromptObject string             `json:"promptObject,omitempty"`
	MaxTokens    int                `json:"maxTokens"`
	At           time.Time          `json:"at"`
	State        State              `json:"state"`
	Text         string             `json:"text,omitempty"`
	Fault        string             `json:"fault,omitempty"`
	Usage        turmericwall.Usage `json:"usage,omitzero"`
}

// Lease is the small row that stands for an open entry. Its version is the fencing number: only who
// wrote it last can end the entry.
type Lease struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Owner is the incarnation that works on the entry; empty when none does.
	Owner string `json:"owner,omitempty"`
}

// NewID names an entry; the same account and key always give the same entry.
func NewID(account, key string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(account)) + ":" + account + key))
	return hex.EncodeToString(sum[:16])
}

// Partition returns the entry's partition, and false for what is no entry's name.
func Partition(id string) (int, bool) {
	raw, err := hex.DecodeString(id)
	if err != nil || len(raw) != 16 {
		return 0, false
	}
	return int(raw[0]) % Partitions, true
}

// EntryKey is the key of the entry's row.
func EntryKey(id string) string {
	p, _ := Partition(id)
	return EntryPrefix(p) + id
}

// LeaseKey is the key of the lease's row.
func LeaseKey(id string) string {
	p, _ := Partition(id)
	return LeasePrefix(p) + id
}

// EntryPrefix starts the keys of the partition's entries.
func EntryPrefix(partition int) string { return fmt.Sprintf("ledger/entries/%02d/", partition) }

// LeasePrefix starts the keys of the partition's leases.
func LeasePrefix(partition int) string { return fmt.Sprintf("ledger/leases/%02d/", partition) }
