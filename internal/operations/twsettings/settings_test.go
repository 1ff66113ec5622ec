package twsettings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twsettings"
)

const valid = `{
	// An entry VM.
	"name": "entry-1",
	"environment": "trial",
	"region": "guate-central",
	"zone": "zona-norte",
	"callers": "127.0.0.1:8080",
	"peers": "127.0.0.1:8081",
	"operations": "127.0.0.1:8082",
	"platform": "http://127.0.0.1:7000",
	"plainText": true,
}`

func TestParseSetsDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := twsettings.Parse("f", []byte(valid))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.DrainMillis).To(Equal(int64(60_000)))
	g.Expect(s.Policy).To(Equal("leader"))
}

// Each settings file is invalid in one way. A daemon must not start with it, and the error must name the file and the
// line or field.
func TestParseRejectsInvalidSettingsNamingLineOrField(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, wantText string }{
		{"unknown field", `"name":`, `"nmae": "x", "name":`, "line 3"},
		{"wrong type", `"entry-1"`, `7`, "line 3"},
		{"missing zone", `"zone": "zona-norte",`, ``, "field zone"},
		{"host name", `127.0.0.1:8080`, `localhost:8080`, "field callers"},
		{"no port", `127.0.0.1:8081`, `127.0.0.1`, "field peers"},
		{"platform without scheme", `http://127.0.0.1:7000`, `7000`, "field platform"},
		{"neither TLS nor plain text", `"plainText": true,`, ``, "field tls"},
		{"partial TLS", `"plainText": true,`, `"tls": {"certificate": "c"},`, "field tls"},
		{"TLS and plain text", `"plainText": true,`, `"plainText": true, "tls": {"certificate": "c", "key": "k", "peerAuthority": "p"},`, "field plainText"},
		{"negative drain", `"plainText": true,`, `"plainText": true, "drainMillis": -1,`, "field drainMillis"},
		{"notice as long as the drain", `"plainText": true,`, `"plainText": true, "drainMillis": 10, "noticeMillis": 10,`, "field noticeMillis"},
		{"unknown policy", `"plainText": true,`, `"plainText": true, "policy": "best",`, "field policy"},
		{"text after the end", `"plainText": true,` + "\n}", `"plainText": true,` + "\n}{}", "line 12"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			source := strings.Replace(valid, c.old, c.replacement, 1)
			g.Expect(source).NotTo(Equal(valid))
			_, err := twsettings.Parse("file.jsonc", []byte(source))
			g.Expect(turmericwall.IsKind(err, turmericwall.KindInvalidSettings)).To(BeTrue())
			g.Expect(err.Error()).To(And(ContainSubstring("file.jsonc"), ContainSubstring(c.wantText)))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"name": 1e999}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		_, err := twsettings.Parse("f", source)
		if err != nil && !turmericwall.IsKind(err, turmericwall.KindInvalidSettings) {
			t.Fatalf("an error of another kind than invalidSettings: %v", err)
		}
	})
}
