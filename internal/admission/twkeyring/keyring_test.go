package twkeyring_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twkeyring"
)

// newDocument returns a document with the given number of accounts, of which number i has the key "key-i".
func newDocument(accounts int) *turmericwall.Document {
	var tree turmericwall.DocumentTree
	for i := range accounts {
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
		tree.Accounts = append(tree.Accounts, turmericwall.Account{
			Name: fmt.Sprintf("a-%d", i), KeySHA256: hex.EncodeToString(sum[:]),
		})
	}
	return turmericwall.NewDocument(1, "", nil, tree)
}

// Guards against a key that finds no account or another one, and against a malformed header that finds one.
func TestFindReturnsTheAccountOfAKey(t *testing.T) {
	g := NewWithT(t)
	k, d := twkeyring.New(), newDocument(5)
	account, ok := k.FindAccount(d, "Bearer key-3")
	g.Expect(ok).To(BeTrue())
	g.Expect(account.Name).To(Equal("a-3"))
	for _, header := range []string{"", "key-3", "Bearer key-9", "Bearer ", "bearer key-3", "Basic key-3"} {
		_, ok = k.FindAccount(d, header)
		g.Expect(ok).To(BeFalse(), header)
	}
}

// Guards against a cached index that still finds an account which the next revision of the document removed.
func TestFindUsesTheCurrentDocument(t *testing.T) {
	g := NewWithT(t)
	k := twkeyring.New()
	_, ok := k.FindAccount(newDocument(5), "Bearer key-4")
	g.Expect(ok).To(BeTrue())
	_, ok = k.FindAccount(newDocument(4), "Bearer key-4")
	g.Expect(ok).To(BeFalse())
}

func BenchmarkFind(b *testing.B) {
	for _, accounts := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			k, d := twkeyring.New(), newDocument(accounts)
			b.ReportAllocs()
			for b.Loop() {
				k.FindAccount(d, "Bearer key-7")
			}
		})
	}
}
