// Package twassembly assembles one answer from the chunks of its attempts. Deliveries pass it every chunk and send the
// caller only the tokens that it returns.
package twassembly

import (
	"strings"

	"github.com/turmericwall/turmericwall"
)

// maxHeldChunks bounds the chunks that are held until an earlier one arrives.
const maxHeldChunks = 256

// Assembly returns each token of an answer once and in order.
//
// Chunks may arrive late, twice, out of order, from an abandoned attempt, or not at all. A chunk is used only if it has
// the current attempt's name and the next index; one that is ahead is held until the chunk before it arrives. The
// answer is complete only when the chunk with a finish reason is reached in order.
type Assembly struct {
	attempt string
	// baseTokens is the number of tokens that earlier attempts delivered; the attempt's own indexes start after it.
	baseTokens      int
	deliveredTokens int
	held            map[int]turmericwall.Chunk
	text            strings.Builder
	finishReason    string
}

// New returns an assembly without tokens.
func New() *Assembly { return &Assembly{held: make(map[int]turmericwall.Chunk)} }

// BeginAttempt makes the attempt the only one whose chunks are used; it continues after the delivered tokens.
func (a *Assembly) BeginAttempt(attempt string) {
	a.attempt = attempt
	a.baseTokens = a.deliveredTokens
	clear(a.held)
}

// Add adds a chunk and returns the texts that can now be delivered, in order.
func (a *Assembly) Add(c turmericwall.Chunk) []string {
	index := a.baseTokens + c.Index
	if c.Attempt != a.attempt || a.Complete() || index <= a.deliveredTokens || len(a.held) >= maxHeldChunks {
		return nil
	}
	a.held[index] = c
	var texts []string
	for {
		next, ok := a.held[a.deliveredTokens+1]
		if !ok || a.Complete() {
			return texts
		}
		delete(a.held, a.deliveredTokens+1)
		a.deliveredTokens++
		a.text.WriteString(next.Text)
		a.finishReason = next.Finish
		texts = append(texts, next.Text)
	}
}

// Complete reports whether the chunk with the finish reason was reached in order.
func (a *Assembly) Complete() bool { return a.finishReason != "" }

// DeliveredTokens returns the number of tokens returned by Add.
func (a *Assembly) DeliveredTokens() int { return a.deliveredTokens }

// Text returns the answer so far.
func (a *Assembly) Text() string { return a.text.String() }

// FinishReason returns the finish reason; empty while the answer is not complete.
func (a *Assembly) FinishReason() string { return a.finishReason }
