// Package twstrictjson decodes JSON with comments and trailing commas, and rejects unknown fields. Settings and
// documents are read with it, so that a misspelt field stops a daemon or an upload instead of being ignored.
package twstrictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"

	"github.com/tailscale/hujson"

	"github.com/turmericwall/turmericwall"
)

// Decoder decodes one source, such as a file.
type Decoder struct {
	name string
	kind turmericwall.Kind
}

// New returns a decoder for the source of that name; its errors have the kind and start with the name.
func New(name string, kind turmericwall.Kind) *Decoder { return &Decoder{name: name, kind: kind} }

// Decode reads the source into target. It fails with a problem that names the source, the line and the remedy.
func (d *Decoder) Decode(source []byte, target any) error {
	plain, err := hujson.Standardize(bytes.Clone(source))
	if err != nil {
		return d.newProblem(err.Error(), "correct the JSON at the named line")
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return d.newProblem(fmt.Sprintf("line %d: %v", lineNumber(plain, errorOffset(decoder, plain, err)), err),
			"use a field and type that the configuration page lists")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return d.newProblem(fmt.Sprintf("line %d: text after the end", lineNumber(plain, decoder.InputOffset())),
			"keep one object in the file")
	}
	return nil
}

func (d *Decoder) newProblem(detail, remedy string) error {
	return turmericwall.NewProblem(d.kind, d.name+": "+detail, remedy)
}

var unknownFieldPattern = regexp.MustCompile(`unknown field ("[^"]*")`)

// errorOffset returns the offset of a decoding error, in bytes. The library reports an unknown field only after it has
// read the whole object, so that its offset is found by searching for the field's name.
func errorOffset(decoder *json.Decoder, source []byte, err error) int64 {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Offset
	}
	if match := unknownFieldPattern.FindStringSubmatch(err.Error()); match != nil {
		key := regexp.MustCompile(regexp.QuoteMeta(match[1]) + `\s*:`)
		if span := key.FindIndex(source); span != nil {
			return int64(span[0])
		}
	}
	return decoder.InputOffset()
}

// lineNumber returns the line of an offset in bytes; the first line is 1.
func lineNumber(source []byte, offset int64) int {
	end := min(int(offset), len(source))
	return 1 + bytes.Count(source[:end], []byte("\n"))
}
