package twenginestand

import "strings"

// text generates an answer that depends on all bytes so far, so that an answer resumed from the prompt
// and the tokens already delivered goes on exactly as the first one would have.
type text struct{ hash uint64 }

// The 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

var words = strings.Fields("rum cane barrel label stand buyer table slot order notes oak vanilla spice nap meal nappy song walk " +
	"garden lunch parent pickup cup note fair north south office list morning evening visit")

func newText(prompt string) *text {
	t := &text{hash: fnvOffset}
	t.feed(prompt)
	return t
}

func (t *text) feed(s string) {
	for i := range len(s) {
		t.hash = (t.hash ^ uint64(s[i])) * fnvPrime
	}
}

func (t *text) next() string {
	word := " " + words[(t.hash>>32)%uint64(len(words))]
	t.feed(word)
	return word
}

// Answer is the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	t := newText(prompt)
	var all strings.Builder
	for range tokens {
		all.WriteString(t.next())
	}
	return all.String()
}
