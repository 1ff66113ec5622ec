package twparser_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twparser"
)

const valid = `{
	"services": [
		{"name": "llm", "type": "engines", "models": ["m"]},
		{"name": "desk", "type": "plain", "calls": [{"method": "POST", "path": "/bookings"}]}
	],
	"work": [
		{"name": "counter", "urgent": true, "firstTokenMillis": 1200, "tokenGapMillis": 54, "worth": 5},
		{"name": "dossier", "worth": 1}
	],
	"accounts": [
		{"name": "a", "keySha256": "0000000000000000000000000000000000000000000000000000000000000000",
			"work": ["counter"], "requestsPerSecond": 10, "burst": 20}
	],
	"links": [{"from": "x", "to": "y", "megabytesPerSecond": 100}]
}`

func TestParseKeepsRevisionServicesAndSource(t *testing.T) {
	g := NewWithT(t)
	d, err := twparser.New("f").Parse(3, []byte(valid))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Revision()).To(Equal(int64(3)))
	service, ok := d.ServiceOfModel("m")
	g.Expect(ok).To(BeTrue())
	g.Expect(service.Name).To(Equal("llm"))
	g.Expect(d.Source()).To(Equal([]byte(valid)))
}

// Guards against an invalid document that is accepted, and against an error that does not name the field. Each
// document is invalid in one way.
func TestParseRejectsInvalidFieldByName(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"unknown field", `"type": "engines"`, `"kind": "engines"`, "line 3"},
		{"service twice", `"name": "desk"`, `"name": "llm"`, "services[1].name"},
		{"no model", `"models": ["m"]`, `"models": []`, "services[0].models"},
		{"wrong type", `"plain"`, `"simple"`, "services[1].type"},
		{"model twice", `"models": ["m"]`, `"models": ["m", "m"]`, "services[0].models"},
		{"path", `"/bookings"`, `"bookings"`, "services[1].calls[0]"},
		{"GET not repeatable", `"POST"`, `"GET"`, "services[1].calls[0]"},
		{"timeout", `"calls"`, `"timeoutMillis": 9999999999, "calls"`, "services[1].timeoutMillis"},
		{"no worth", `"worth": 5`, `"worth": 0`, "work[0].worth"},
		{"no target", `"firstTokenMillis": 1200, `, ``, "work[0]"},
		{"target of non-urgent work", `"dossier", "worth"`, `"dossier", "tokenGapMillis": 5, "worth"`, "work[1]"},
		{"unknown work", `["counter"]`, `["desk"]`, "accounts[0].work"},
		{"key in the clear", `"keySha256": "0000`, `"keySha256": "my secret`, "accounts[0].keySha256"},
		{"no rate", `"requestsPerSecond": 10`, `"requestsPerSecond": 0`, "accounts[0]"},
		{"link", `"megabytesPerSecond": 100`, `"megabytesPerSecond": -1`, "links[0]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			source := strings.Replace(valid, c.old, c.replacement, 1)
			g.Expect(source).NotTo(Equal(valid))
			_, err := twparser.New("doc.jsonc").Parse(1, []byte(source))
			g.Expect(turmericwall.IsKind(err, turmericwall.KindInvalidDocument)).To(BeTrue())
			g.Expect(err.Error()).To(And(ContainSubstring("doc.jsonc"), ContainSubstring(c.want)))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, source []byte) {
		_, err := twparser.New("f").Parse(1, source)
		if err != nil && !turmericwall.IsKind(err, turmericwall.KindInvalidDocument) {
			t.Fatalf("Parse returned an error that is not of kind KindInvalidDocument: %v", err)
		}
	})
}
