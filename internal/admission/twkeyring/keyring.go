// Package twkeyring finds the account of a bearer key in the document in force.
package twkeyring

import (
	"sync/atomic"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twkeyindex"
)

// Keyring holds an index of the document's keys, made once for each revision.
type Keyring struct {
	indexed atomic.Pointer[indexed]
}

type indexed struct {
	document *turmericwall.Document
	keys     *twkeyindex.Index
}

// New returns an empty keyring.
func New() *Keyring { return &Keyring{} }

// Find returns the account whose key the Authorization header holds.
func (k *Keyring) Find(document *turmericwall.Document, header string) (turmericwall.Account, bool) {
	key, ok := twkeyindex.ParseBearer([]string{header})
	if !ok {
		return turmericwall.Account{}, false
	}
	owner, ok := k.of(document).Owner(key)
	if !ok {
		return turmericwall.Account{}, false
	}
	return document.Accounts()[owner], true
}

func (k *Keyring) of(document *turmericwall.Document) *twkeyindex.Index {
	if known := k.indexed.Load(); known != nil && known.document == document {
		return known.keys
	}
	digests := make([][]string, 0, len(document.Accounts()))
	for _, a := range document.Accounts() {
		digests = append(digests, []string{a.KeySHA256})
	}
	made := &indexed{document: document, keys: twkeyindex.New(digests)}
	k.indexed.Store(made)
	return made.keys
}
