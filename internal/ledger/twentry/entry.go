// Package twentry defines the rows in which the platform's table stores a deferrable request: the entry with the
// request and its answer, and the lease by which one daemon at a time processes it. The edge creates entries; twledger
// stores and processes them.
package twentry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Partitions is the number of partitions by which open entries are distributed over the daemons.
const Partitions = 64

// State is the state of a deferrable request.
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
	// Prompt is the text of the prompt; a longer one is stored in the object that PromptObject names.
	Prompt       string `json:"prompt,omitempty"`
	PromptObject string `json:"promptObject,omitempty"`
	MaxTokens    int    `json:"maxTokens"`
	// At is when the request was submitted.
	At    time.Time `json:"at"`
	State State     `json:"state"`
	// Text is the complete answer of a request that is done.
	Text string `json:"text,omitempty"`
	// Fault is the error of a request that failed.
	Fault string             `json:"fault,omitempty"`
	Usage turmericwall.Usage `json:"usage,omitzero"`
}

// Lease is the row of an open entry that names the daemon processing it. The row's version is the fencing token: only
// the daemon that wrote it last can end the entry.
type Lease struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Owner is the incarnation that processes the entry; empty when none does.
	Owner string `json:"owner,omitempty"`
	// Ends are the ends of engines under the request, so that they count at all daemons that process it.
	Ends []turmericwall.UpstreamEnd `json:"ends,omitempty"`
}

// DeriveID derives the ID of an entry from its account and idempotency key; the same pair always gives the same ID.
func DeriveID(account, key string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(account)) + ":" + account + key))
	return hex.EncodeToString(sum[:16])
}

// PartitionOf returns the partition of the entry, and false when id is not a valid entry ID.
func PartitionOf(id string) (int, bool) {
	raw, err := hex.DecodeString(id)
	if err != nil || len(raw) != 16 {
		return 0, false
	}
	return int(raw[0]) % Partitions, true
}

// EntryKey returns the key of the entry's row.
func EntryKey(id string) string {
	p, _ := PartitionOf(id)
	return EntryPrefix(p) + id
}

// LeaseKey returns the key of the lease's row.
func LeaseKey(id string) string {
	p, _ := PartitionOf(id)
	return LeasePrefix(p) + id
}

// EntryPrefix returns the key prefix of the partition's entries.
func EntryPrefix(partition int) string { return fmt.Sprintf("ledger/entries/%02d/", partition) }

// LeasePrefix returns the key prefix of the partition's leases.
func LeasePrefix(partition int) string { return fmt.Sprintf("ledger/leases/%02d/", partition) }
