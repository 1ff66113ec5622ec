// Package twkeyindex finds whose key a caller presents, without keeping any key.
package twkeyindex

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const scheme = "Bearer "

// Index holds the digests of keys. It is immutable.
//
// A key is looked up by its digest: how long that takes depends on bytes that a caller can't choose, so it tells nothing
// about keys.
type Index struct {
	owners map[[sha256.Size]byte]int
}

// New returns an index of keys by their owners' positions. Digests are SHA-256 in hexadecimal digits; one that can't be
// decoded matches no key.
func New(digests [][]string) *Index {
	ix := &Index{owners: make(map[[sha256.Size]byte]int)}
	for owner, list := range digests {
		for _, text := range list {
			sum, err := hex.DecodeString(text)
			if err == nil && len(sum) == sha256.Size {
				ix.owners[[sha256.Size]byte(sum)] = owner
			}
		}
	}
	return ix
}

// Digest is the form in which a key is kept.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the key of the only Authorization header; ok is false for none, several or another scheme.
func Bearer(headers []string) (key string, ok bool) {
	if len(headers) != 1 {
		return "", false
	}
	key, ok = strings.CutPrefix(headers[0], scheme)
	return key, ok && key != ""
}

// Owner returns the position of the key's owner.
func (ix *Index) Owner(key string) (owner int, ok bool) {
	owner, ok = ix.owners[sha256.Sum256([]byte(key))]
	return owner, ok
}
