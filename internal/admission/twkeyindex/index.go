// Package twkeyindex finds the owner of the key that a caller presents in its Authorization header. It holds only
// digests of keys, never the keys. The route plan's table and the keyring of the document look up the keys of calls in
// it.
package twkeyindex

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const scheme = "Bearer "

// Index maps the digests of keys to their owners. It is immutable.
//
// Keys are looked up by digest, so the duration of a lookup depends on bytes that a caller cannot choose and reveals
// nothing about valid keys.
type Index struct {
	owners map[[sha256.Size]byte]int
}

// New returns an index of the owners' keys; an owner is known by its position in digests. A digest is the hexadecimal
// form of a key's SHA-256; one that cannot be decoded matches no key.
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

// Digest returns the form in which a key is stored: its SHA-256 in hexadecimal digits.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ParseBearer returns the key in the values of a call's Authorization headers. ok is false unless there is exactly one
// value, with the scheme Bearer and a key that is not empty.
func ParseBearer(headers []string) (key string, ok bool) {
	if len(headers) != 1 {
		return "", false
	}
	key, ok = strings.CutPrefix(headers[0], scheme)
	return key, ok && key != ""
}

// Owner returns the position of the key's owner; ok is false if no owner has the key.
func (ix *Index) Owner(key string) (owner int, ok bool) {
	owner, ok = ix.owners[sha256.Sum256([]byte(key))]
	return owner, ok
}
