// Package twfingerprint identifies a caller's request over all of its tries, which have different ids.
package twfingerprint

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"
	"strconv"

	"github.com/turmericwall/turmericwall"
)

// sumBytes is the length of the hash that is kept: too long for a second request with the same fingerprint to be found.
const sumBytes = 12

// Fingerprint is the same for two calls of a client account that ask for the same, and differs for all others.
type Fingerprint string

// Of returns the fingerprint of a call. What differs between the tries of one caller (id, deadline, the last event that it
// has) is no part of it.
func Of(call turmericwall.RoutedCall) Fingerprint {
	sum := sha256.New()
	for _, text := range []string{
		call.Account, call.Method, call.Host, call.Target, call.Work.Subject,
		strconv.Itoa(call.Work.PromptTokens), strconv.Itoa(call.Work.MaxTokens),
	} {
		writeText(sum, text)
	}
	for _, part := range call.PromptParts {
		writeText(sum, part)
	}
	_, _ = sum.Write(call.Body)
	return encode(sum)
}

// OfStream returns the fingerprint of the stream that the call with the id began, for a call that begins it or takes it up. What the
// call asks for may differ between these.
func OfStream(call turmericwall.RoutedCall, id string) Fingerprint {
	sum := sha256.New()
	for _, text := range []string{"stream", call.Account, call.Host, call.Target, id} {
		writeText(sum, text)
	}
	return encode(sum)
}

func encode(sum hash.Hash) Fingerprint {
	return Fingerprint(base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:sumBytes]))
}

// writeText adds a text with its length, so that the border between two texts counts too.
func writeText(sum hash.Hash, text string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = sum.Write(length[:])
	_, _ = io.WriteString(sum, text)
}
