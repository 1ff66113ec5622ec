// Package twblocks hashes a prompt's blocks, as the engines' cache events name them.
package twblocks

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of one block of prompt text, about 64 tokens.
	BlockBytes = 256
	// BytesPerToken is the mean length of a token; the router has no tokenizer of the models.
	BytesPerToken = 4
	// MaxBlocks bounds what a placement message carries: about 8,000 tokens of prefix.
	MaxBlocks = 128
)

// Tokens estimates the tokens of a text, at least one.
func Tokens(text string) int { return max(1, len(text)/BytesPerToken) }

// Hashes returns the chained hash of each whole block: equal hashes mean equal prefixes.
func Hashes(prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	var chain [8]byte
	for i := range count {
		digest := xxhash.New()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		sum := digest.Sum64()
		binary.LittleEndian.PutUint64(chain[:], sum)
		hashes = append(hashes, sum)
	}
	return hashes
}
