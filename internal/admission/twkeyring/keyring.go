// Package twkeyring finds the account of a bearer key.
package twkeyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/turmericwall/turmericwall"
)

const scheme = "Bearer "

// Keyring holds the keys' digests of the document in force, decoded once for each revision.
type Keyring struct {
	digests atomic.Pointer[digests]
}

type digests struct {
	document *turmericwall.Document
	sums     [][]byte
}

// New returns an empty keyring.
func New() *Keyring { return &Keyring{} }

// Find returns the account whose key the Authorization header holds. It compares with every account in
// constant time, so that the time it takes tells nothing about keys.
func (k *Keyring) Find(document *turmericwall.Document, header string) (turmericwall.Account, bool) {
	key, ok := strings.CutPrefix(header, scheme)
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i, digest := range k.of(document).sums {
		if subtle.ConstantTimeCompare(sum[:], digest) == 1 {
			found = i
		}
	}
	if !ok || found < 0 {
		return turmericwall.Account{}, false
	}
	return document.Accounts()[found], true
}

func (k *Keyring) of(document *turmericwall.Document) *digests {
	d := k.digests.Load()
	if d != nil && d.document == document {
		return d
	}
	d = &digests{document: document}
	for _, a := range document.Accounts() {
		digest, err := hex.DecodeString(a.KeySHA256)
		if err != nil {
			digest = nil
		}
		d.sums = append(d.sums, digest)
	}
	k.digests.Store(d)
	return d
}
