// Package twblockhash computes the chained hashes of a prompt's blocks, by which engines name the blocks in their cache
// events. Calls carry the hashes to placement, which compares them with the cached blocks of each engine.
package twblockhash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of one block of prompt text in bytes, about 64 tokens.
	BlockBytes = 256
	// BytesPerToken is the mean length of a token in bytes; the router has no tokenizer for the models.
	BytesPerToken = 4
	// MaxBlocks limits the hashes in a placement message to about 8,000 tokens of prefix.
	MaxBlocks = 128
)

// EstimateTokens estimates the number of tokens of a text; it is at least one.
func EstimateTokens(text string) int { return max(1, len(text)/BytesPerToken) }

// Hashes returns the chained hash of each complete block, up to MaxBlocks. Each hash covers all blocks before its own,
// so equal hashes mean equal prefixes. The rest of the prompt is ignored.
func Hashes(prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	var previous [8]byte
	for i := range count {
		hash := xxhash.New()
		_, _ = hash.Write(previous[:])
		_, _ = hash.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		sum := hash.Sum64()
		binary.LittleEndian.PutUint64(previous[:], sum)
		hashes = append(hashes, sum)
	}
	return hashes
}
