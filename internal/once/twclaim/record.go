package twclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// partitions is the number of key prefixes of claim rows; a daemon that deletes expired claims lists one prefix at
// a time.
const partitions = 64

// state is the state of a call as recorded in its claim's row.
type state string

const (
	stateRunning state = "running"
	stateSealed  state = "sealed"
	stateUnknown state = "unknown"
	stateDone    state = "done"
)

// record is the stored value of a claim's row.
type record struct {
	BodyHash string    `json:"bodyHash"`
	Attempt  string    `json:"attempt"`
	Owner    string    `json:"owner"`
	State    state     `json:"state"`
	At       time.Time `json:"at"`
	Answer   *Answer   `json:"answer,omitempty"`
}

// Answer is the answer to a call. It is stored in the claim's row and replayed to a caller that retries.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Replayed is set when the answer was read from the claim's row instead of received from the upstream.
	Replayed bool `json:"-"`
}

// Call identifies one non-idempotent call.
type Call struct {
	Account string
	Service string
	// Key is the caller's Idempotency-Key.
	Key string
	// BodyHash is the hash of the call, by which a retry differs from another call under the same key; see HashCall.
	BodyHash string
	// Repeatable calls may run again after their owner has terminated; only one answer is recorded.
	Repeatable bool
}

// HashCall returns the hash of the parts of a call that a retry must repeat unchanged.
func HashCall(method, path, query string, body []byte) string {
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
