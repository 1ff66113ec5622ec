package twenginestand

import "strings"

// textGenerator generates an answer in which each token depends on all bytes before it. An answer that is resumed
// from the prompt and the tokens already delivered therefore continues exactly as the first one would have.
type textGenerator struct{ hash uint64 }

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

var vocabulary = strings.Fields("rum cane barrel label stand buyer table slot order notes oak vanilla spice nap meal nappy song walk " +
	"garden lunch parent pickup cup note fair north south office list morning evening visit")

func newTextGenerator(prompt string) *textGenerator {
	t := &textGenerator{hash: fnvOffset}
	t.update(prompt)
	return t
}

func (t *textGenerator) update(s string) {
	for i := range len(s) {
		t.hash = (t.hash ^ uint64(s[i])) * fnvPrime
	}
}

// nextWord returns the next token, a space and a word.
func (t *textGenerator) nextWord() string {
	word := " " + vocabulary[(t.hash>>32)%uint64(len(vocabulary))]
	t.update(word)
	return word
}

// Answer returns the complete answer of the given number of tokens that every engine generates for the prompt.
func Answer(prompt string, tokens int) string {
	t := newTextGenerator(prompt)
	var all strings.Builder
	for range tokens {
		all.WriteString(t.nextWord())
	}
	return all.String()
}
