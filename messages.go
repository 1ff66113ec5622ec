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
	// Token is that of the transaction that wrote this version.
	Token string `json:"token"`
}

// Write is a conditional write of one row.
type Write struct {
	Key string `json:"key"`
	// IfVersion is the version that the row must have; 0 means that the row must not exist.
	IfVersion int64  `json:"ifVersion"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
}

// Transaction is a list of writes that take effect together.
type Transaction struct {
	// Token identifies the transaction. If the answer to the commit is lost, the rows' tokens show whether it took
	// effect.
	Token  string  `json:"token"`
	Writes []Write `json:"writes"`
}

// VMState states whether a VM accepts new calls.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Zone is the data centre.
	Zone string `json:"zone"`
	// Address is host:port.
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// Role is the part of model calls that an engine serves.
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
	// Priority orders the engine's queue; lower numbers go first.
	Priority int
}

// Export identifies the result of a prefill that a decode engine can import.
type Export struct {
	Engine  string `json:"remote_engine_id"`
	Address string `json:"remote_address"`
	ID      string `json:"remote_block_ids"`
	// ComputedTokens is the number of prompt tokens that were not in the engine's cache.
	ComputedTokens int `json:"computed_tokens"`
}

// Chunk is one part of a streamed answer.
type Chunk struct {
	Attempt string
	// Index is the position of the chunk's token in the answer, from 1.
	Index int
	Text  string
	// Finish is the reason why the answer ended; empty except in the last chunk.
	Finish string
}

// Report is an engine's load at one time.
type Report struct {
	Engine   string   `json:"engine"`
	Role     Role     `json:"role"`
	Models   []string `json:"models"`
	Draining bool     `json:"draining"`
	// AgeMillis is the age of the report in milliseconds by the engine's clock.
	AgeMillis int64 `json:"ageMillis"`
	// Attempts are the attempts that the engine holds memory for.
	Attempts []string `json:"attempts"`
	Slots    int      `json:"slots"`
	// Pieces is the engine's memory and PiecesUsed its used part, in units of 4,096 tokens.
	Pieces     int `json:"pieces"`
	PiecesUsed int `json:"piecesUsed"`
	// QueuedTokens are the prompt tokens that wait for prefill, UrgentTokens those of urgent work, which go first.
	QueuedTokens int `json:"queuedTokens"`
	UrgentTokens int `json:"urgentTokens"`
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `json:"prefillRate"`
	// The time between two tokens of an answer is StepMillis plus StepPerSlotMillis for each busy slot.
	StepMillis        float64 `json:"stepMillis"`
	StepPerSlotMillis float64 `json:"stepPerSlotMillis"`
}

// CacheEvents is a list of consecutive prefix-cache events of one engine.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent reports that a block was added to an engine's prefix cache or removed from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// BlockHash is the chained hash of the block.
	BlockHash uint64 `json:"block"`
	Removed   bool   `json:"removed,omitempty"`
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
	// FirstTokenDeadline is the target time of the first token; zero for deferrable work.
	FirstTokenDeadline time.Time
	// Ends are the ends of engines under the request that other daemons noticed.
	Ends []UpstreamEnd
}

// Usage is the number of tokens of one request.
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
	// Repeatable is set if the call may be sent to a second upstream after it may have run at the first.
	Repeatable bool
	Deadline   time.Time
}

// AttemptState states how far an attempt of a non-idempotent call got.
type AttemptState string

// The states of an attempt.
const (
	// AttemptSealed was not sent and never will be.
	AttemptSealed AttemptState = "sealed"
	// AttemptRunning may have been sent.
	AttemptRunning AttemptState = "running"
	// AttemptDone has a recorded answer.
	AttemptDone AttemptState = "done"
	// AttemptUnknown means that the owner does not know the attempt or can't be reached.
	AttemptUnknown AttemptState = "unknown"
)
