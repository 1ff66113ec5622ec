package turmericwall

import (
	"net/http"
	"time"
)

// Row is a versioned row of the table service.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	// Token identifies the transaction that wrote this version.
	Token string `json:"token"`
}

// Write is a conditional write of one row.
type Write struct {
	Key string `json:"key"`
	// IfVersion is the version that the row must have; 0 means that it must not exist.
	IfVersion int64  `json:"ifVersion"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
}

// Transaction is a list of writes that take effect together.
type Transaction struct {
	// Token identifies the transaction, so that a lost answer can be settled by reading the rows back.
	Token  string  `json:"token"`
	Writes []Write `json:"writes"`
}

// VMState tells whether a VM takes new work.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Region  string  `json:"region"`
	Zone    string  `json:"zone"`
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// Role is what an engine is set up to do.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// EngineCall is one attempt's call to an engine.
type EngineCall struct {
	Attempt   string
	Model     string
	Prompt    string
	MaxTokens int
	// Priority orders the engine's queue; a lower number goes first.
	Priority int
}

// Export names a prefill's result that a decode engine can import.
type Export struct {
	Engine  string `json:"remote_engine_id"`
	Address string `json:"remote_address"`
	ID      string `json:"remote_block_ids"`
	// ComputedTokens counts the prompt tokens that were not in the engine's cache.
	ComputedTokens int `json:"computed_tokens"`
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	Attempt string
	// Index counts the answer's tokens, from 1.
	Index  int
	Text   string
	Finish string
}

// Report is an engine's load at one moment.
type Report struct {
	Engine   string   `json:"engine"`
	Role     Role     `json:"role"`
	Models   []string `json:"models"`
	Draining bool     `json:"draining"`
	// AgeMillis is how old the report is, in milliseconds by the engine's own clock.
	AgeMillis int64 `json:"ageMillis"`
	// Attempts lists what the engine holds memory for.
	Attempts   []string `json:"attempts"`
	Slots      int      `json:"slots"`
	Pieces     int      `json:"pieces"`
	PiecesUsed int      `json:"piecesUsed"`
	// QueuedTokens waits for prefill; UrgentTokens is the part of it that goes first.
	QueuedTokens int `json:"queuedTokens"`
	UrgentTokens int `json:"urgentTokens"`
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64 `json:"prefillRate"`
	// StepMillis and StepPerSlotMillis give the time between tokens: base plus a share for each busy slot.
	StepMillis        float64 `json:"stepMillis"`
	StepPerSlotMillis float64 `json:"stepPerSlotMillis"`
}

// CacheEvents is a run of an engine's prefix-cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent tells that a block entered or left an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Removed  bool   `json:"removed,omitempty"`
}

// Request is one accepted request for a completion.
type Request struct {
	ID        string
	Account   string
	Work      Work
	Model     string
	Service   string
	Prompt    string
	MaxTokens int
	// FirstTokenDeadline is when the first token is due; zero for deferrable work.
	FirstTokenDeadline time.Time
}

// Usage counts one request's tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Service string
	Method  string
	Path    string
	Query   string
	Header  http.Header
	Body    []byte
	// Repeatable calls may be sent to a second upstream.
	Repeatable bool
	Deadline   time.Time
}

// AttemptState tells how far an attempt of a non-idempotent call got.
type AttemptState string

// The states of an attempt.
const (
	// AttemptSealed was not sent and never will be.
	AttemptSealed AttemptState = "sealed"
	// AttemptRunning may have been sent.
	AttemptRunning AttemptState = "running"
	// AttemptDone has its answer recorded.
	AttemptDone AttemptState = "done"
	// AttemptUnknown is what an owner says that doesn't know the attempt, or that can't be asked.
	AttemptUnknown AttemptState = "unknown"
)
