package twclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// partitions spread the claims over the daemons that clear them away.
const partitions = 64

// state is what a claim's row says.
type state string

const (
	stateRunning state = "running"
	stateSealed  state = "sealed"
	stateUnknown state = "unknown"
	stateDone    state = "done"
)

// record is the row of one claim.
type record struct {
	BodyHash string    `json:"bodyHash"`
	Attempt  string    `json:"attempt"`
	Owner    string    `json:"owner"`
	State    state     `json:"state"`
	At       time.Time `json:"at"`
	Answer   *Answer   `json:"answer,omitempty"`
}

// Answer is the recorded answer of a call.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Replayed is set on an answer that comes from the record.
	Replayed bool `json:"-"`
}

// Call names one non-idempotent call.
type Call struct {
	Account string
	Service string
	Key     string
	// BodyHash tells two calls under one key apart.
	BodyHash string
	// Repeatable calls may run again when their owner is gone; their answer is still recorded once.
	Repeatable bool
}

// HashOf returns the hash of all that makes a call the same call.
func HashOf(method, path, query string, body []byte) string {
	digest := sha256.New()
	for _, part := range []string{method, path, query} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

func (c Call) rowKey() string {
	digest := sha256.New()
	for _, part := range []string{c.Account, c.Service, c.Key} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	sum := digest.Sum(nil)
	return fmt.Sprintf("%s%s", partitionPrefix(int(sum[0])%partitions), hex.EncodeToString(sum))
}

func partitionPrefix(partition int) string { return fmt.Sprintf("claims/%02d/", partition) }

func partitionPrefixes() []string {
	prefixes := make([]string, 0, partitions)
	for p := range partitions {
		prefixes = append(prefixes, partitionPrefix(p))
	}
	return prefixes
}

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("decode a claim, restore its row from the platform's backup: %w", err)
	}
	return r, nil
}
