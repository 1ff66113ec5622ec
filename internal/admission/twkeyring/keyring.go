// Package twkeyring finds the account of a bearer key in the configuration document in force. The edge calls it for
// each request before the account's limit is checked.
package twkeyring

import (
	"sync/atomic"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twkeyindex"
)

// Keyring caches the index of the keys of one document, so that it is built once for each revision.
type Keyring struct {
	current atomic.Pointer[documentIndex]
}

type documentIndex struct {
	document *turmericwall.Document
	keys     *twkeyindex.Index
}

// New returns an empty keyring.
func New() *Keyring { return &Keyring{} }

// FindAccount returns the document's account whose key the value of an Authorization header contains; it reports false
// if the header is malformed or no account has the key.
func (k *Keyring) FindAccount(document *turmericwall.Document, header string) (turmericwall.Account, bool) {
	key, ok := twkeyindex.ParseBearer([]string{header})
	if !ok {
		return turmericwall.Account{}, false
	}
	owner, ok := k.indexOf(document).Owner(key)
	if !ok {
		return turmericwall.Account{}, false
	}
	return document.Accounts()[owner], true
}

// indexOf returns the index of the document's keys and builds it if another document was indexed last.
func (k *Keyring) indexOf(document *turmericwall.Document) *twkeyindex.Index {
	if cached := k.current.Load(); cached != nil && cached.document == document {
		return cached.keys
	}
	digests := make([][]string, 0, len(document.Accounts()))
	for _, a := range document.Accounts() {
		digests = append(digests, []string{a.KeySHA256})
	}
	built := &documentIndex{document: document, keys: twkeyindex.New(digests)}
	k.current.Store(built)
	return built.keys
}
