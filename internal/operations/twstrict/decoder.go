// Package twstrict decodes JSON with comments and refuses what it does not know.
package twstrict

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

// Decoder decodes one source.
type Decoder struct {
	name string
	kind turmericwall.Kind
}

// New returns a decoder whose errors have the kind and name the source.
func New(name string, kind turmericwall.Kind) *Decoder { return &Decoder{name: name, kind: kind} }

// Decode reads the source into target. Its error names file, line and remedy.
func (d *Decoder) Decode(source []byte, target any) error {
	plain, err := hujson.Standardize(bytes.Clone(source))
	if err != nil {
		return d.problem(err.Error(), "correct the JSON at the named line")
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return d.problem(fmt.Sprintf("line %d: %v", line(plain, offset(decoder, plain, err)), err), "use a field and type that the configuration page lists")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return d.problem(fmt.Sprintf("line %d: text after the end", line(plain, decoder.InputOffset())), "keep one object in the file")
	}
	return nil
}

func (d *Decoder) problem(detail, remedy string) error {
	return turmericwall.NewProblem(d.kind, d.name+": "+detail, remedy)
}

var unknownField = regexp.MustCompile(`unknown field ("[^"]*")`)

// offset finds the place of the error. The library reads a whole object before it speaks of an unknown
// field, so the place of that is looked up by the field's name.
func offset(decoder *json.Decoder, source []byte, err error) int64 {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Offset
	}
	if found := unknownField.FindStringSubmatch(err.Error()); found != nil {
		key := regexp.MustCompile(regexp.QuoteMeta(found[1]) + `\s*:`)
		if place := key.FindIndex(source); place != nil {
			return int64(place[0])
		}
	}
	return decoder.InputOffset()
}

func line(source []byte, offset int64) int {
	end := min(int(offset), len(source))
	return 1 + bytes.Count(source[:end], []byte("\n"))
}
