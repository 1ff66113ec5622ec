package twkeyindex_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/admission/twkeyindex"
)

// Guards against a key that finds no owner or another one, and against a digest that is accepted in place of its key.
func TestOwnerFindsTheOwnerOfAKey(t *testing.T) {
	g := NewWithT(t)
	ix := twkeyindex.New([][]string{
		{twkeyindex.Digest("a1"), twkeyindex.Digest("a2")}, nil, {twkeyindex.Digest("c1"), "not hexadecimal", "00"},
	})
	for key, want := range map[string]int{"a1": 0, "a2": 0, "c1": 2} {
		owner, ok := ix.Owner(key)
		g.Expect(ok).To(BeTrue(), key)
		g.Expect(owner).To(Equal(want), key)
	}
	for _, key := range []string{"", "A1", "a1 ", "not hexadecimal", "00", twkeyindex.Digest("a1")} {
		_, ok := ix.Owner(key)
		g.Expect(ok).To(BeFalse(), key)
	}
}

// Guards against a key that is read from several headers, a malformed one or another scheme.
func TestParseBearerAcceptsOnlyOneWellFormedHeader(t *testing.T) {
	g := NewWithT(t)
	key, ok := twkeyindex.ParseBearer([]string{"Bearer k"})
	g.Expect(ok).To(BeTrue())
	g.Expect(key).To(Equal("k"))
	for _, headers := range [][]string{nil, {""}, {"Bearer"}, {"Bearer "}, {"k"}, {"Basic k"}, {"Bearer k", "Bearer k"}} {
		_, ok := twkeyindex.ParseBearer(headers)
		g.Expect(ok).To(BeFalse(), "%q", headers)
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, keys := range []int{10, 5000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			digests := make([][]string, keys)
			for i := range digests {
				digests[i] = []string{twkeyindex.Digest(fmt.Sprintf("key-%d", i))}
			}
			ix := twkeyindex.New(digests)
			b.ReportAllocs()
			for b.Loop() {
				ix.Owner("key-7")
			}
		})
	}
}
