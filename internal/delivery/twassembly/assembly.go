// Package twassembly puts one answer together from the chunks of its attempts.
package twassembly

import (
	"strings"

	"github.com/turmericwall/turmericwall"
)

// maxHeld bounds the chunks that wait for an earlier one.
const maxHeld = 256

// Assembly takes each token of an answer once and in order.
//
// Chunks arrive late, doubled, swapped, from an attempt given up, or not at all. A chunk counts only
// with the current attempt's name and the index that comes next; one that is ahead is held until the
// chunk before it is there. The answer is whole only when the chunk with a finish reason has its turn.
type Assembly struct {
	attempt string
	// base is the number of tokens that earlier attempts delivered; the attempt's own indexes start after it.
	base      int
	delivered int
	held      map[int]turmericwall.Chunk
	text      strings.Builder
	finish    string
}

// New returns an assembly without tokens.
func New() *Assembly { return &Assembly{held: make(map[int]turmericwall.Chunk)} }

// Begin makes the attempt the only one whose chunks count; it continues after the delivered tokens.
func (a *Assembly) Begin(attempt string) {
	a.attempt = attempt
	a.base = a.delivered
	clear(a.held)
}

// Take returns the texts that became deliverable, in order.
func (a *Assembly) Take(c turmericwall.Chunk) []string {
	index := a.base + c.Index
	if c.Attempt != a.attempt || a.Whole() || index <= a.delivered || len(a.held) >= maxHeld {
		return nil
	}
	a.held[index] = c
	var texts []string
	for {
		next, ok := a.held[a.delivered+1]
		if !ok || a.Whole() {
			return texts
		}
		delete(a.held, a.delivered+1)
		a.delivered++
		a.text.WriteString(next.Text)
		a.finish = next.Finish
		texts = append(texts, next.Text)
	}
}

// Whole tells whether the finish reason had its turn.
func (a *Assembly) Whole() bool { return a.finish != "" }

// Delivered counts the tokens taken.
func (a *Assembly) Delivered() int { return a.delivered }

// Text is the answer so far.
func (a *Assembly) Text() string { return a.text.String() }

// Finish is the finish reason; empty while the answer is not whole.
func (a *Assembly) Finish() string { return a.finish }
