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

func document(accounts int) *turmericwall.Document {
	var tree turmericwall.DocumentTree
	for i := range accounts {
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
		tree.Accounts = append(tree.Accounts, turmericwall.Account{Name: fmt.Sprintf("a-%d", i), KeySHA256: hex.EncodeToString(sum[:])})
	}
	return turmericwall.NewDocument(1, "", nil, tree)
}

func TestFindsTheAccountOfAKey(t *testing.T) {
	g := NewWithT(t)
	k, d := twkeyring.New(), document(5)
	account, ok := k.Find(d, "Bearer key-3")
	g.Expect(ok).To(BeTrue())
	g.Expect(account.Name).To(Equal("a-3"))
	for _, header := range []string{"", "key-3", "Bearer key-9", "Bearer ", "bearer key-3", "Basic key-3"} {
		_, ok = k.Find(d, header)
		g.Expect(ok).To(BeFalse(), header)
	}
}

// A new revision takes an account away. Its key is refused with the next call.
func TestFollowsTheDocument(t *testing.T) {
	g := NewWithT(t)
	k := twkeyring.New()
	_, ok := k.Find(document(5), "Bearer key-4")
	g.Expect(ok).To(BeTrue())
	_, ok = k.Find(document(4), "Bearer key-4")
	g.Expect(ok).To(BeFalse())
}

func BenchmarkFind(b *testing.B) {
	for _, accounts := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			k, d := twkeyring.New(), document(accounts)
			b.ReportAllocs()
			for b.Loop() {
				k.Find(d, "Bearer key-7")
			}
		})
	}
}
