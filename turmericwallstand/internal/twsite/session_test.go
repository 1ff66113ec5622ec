package twsite_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twsite"
)

// step is one call of a session. In the file, lines that start with // are comments.
type step struct {
	Daemon int               `json:"daemon"`
	Method string            `json:"method"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	Body   json.RawMessage   `json:"body"`
	// Until is the status until which the call is repeated; 0 calls once.
	Until int `json:"until"`
}

// Each folder of testdata holds the calls of a session with a complete site, and a golden file with the answers and
// with what engines and plain services executed. The test fails if any of these changes.
func TestSessions(t *testing.T) {
	for _, example := range []twexample.Example{twexample.Arriola(), twexample.Sonnenmatt()} {
		t.Run(example.Name(), func(t *testing.T) {
			site, err := twsite.New(t.Context(), twsite.Config{
				Example: example, Daemons: 2, Prefill: 1, Decode: 2, Services: 1, Policy: "leader", Log: io.Discard,
				Engine: twenginestand.Config{StepMillis: 1, StepPerSlotMillis: 0.1},
			})
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			defer func() { NewWithT(t).Expect(site.Close()).To(Succeed()) }()
			folder := filepath.Join("testdata", example.Name())
			var transcript bytes.Buffer
			for _, s := range readSteps(t, filepath.Join(folder, "calls.jsonl")) {
				replayStep(t, &transcript, site, example, s)
			}
			writeSideEffects(&transcript, site)
			goldie.New(t, goldie.WithFixtureDir(folder), goldie.WithNameSuffix(".golden")).Assert(t, "transcript", transcript.Bytes())
		})
	}
}

func readSteps(t *testing.T, path string) []step {
	t.Helper()
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var all []step
	for line := range strings.SplitSeq(string(source), "\n") {
		if line == "" || strings.HasPrefix(line, "//") {
			continue
		}
		var s step
		if err := json.Unmarshal([]byte(line), &s); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		all = append(all, s)
	}
	return all
}

func replayStep(t *testing.T, transcript io.Writer, site *twsite.Site, example twexample.Example, s step) {
	g := NewWithT(t)
	var response *http.Response
	var body []byte
	g.Eventually(func() bool {
		request, err := http.NewRequest(s.Method, "http://"+site.CallerAddresses()[s.Daemon]+s.Path,
			bytes.NewReader(s.Body))
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+example.Key())
		request.Header.Set("X-Request-Id", "session")
		for name, value := range s.Header {
			request.Header.Set(name, value)
		}
		response, err = http.DefaultClient.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		body, err = io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Body.Close()).To(Succeed())
		return s.Until == 0 || response.StatusCode == s.Until
	}).WithTimeout(20 * time.Second).Should(BeTrue())
	_, _ = fmt.Fprintf(transcript, "caller to daemon %d: %s %s %v %s\n", s.Daemon, s.Method, s.Path, s.Header, s.Body)
	_, _ = fmt.Fprintf(transcript, "daemon %d to caller: %d", s.Daemon, response.StatusCode)
	for _, name := range []string{"Content-Type", "Location", "Idempotent-Replayed", "X-Request-Id"} {
		if value := response.Header.Get(name); value != "" {
			_, _ = fmt.Fprintf(transcript, " %s=%s", name, value)
		}
	}
	_, _ = fmt.Fprintf(transcript, "\n%s\n\n", maskTimes(body))
}

var timeFields = regexp.MustCompile(`"(created|retryAfterMillis)":\d+`)

// maskTimes sets the fields that differ from run to run, which are times, to 0.
func maskTimes(body []byte) []byte {
	return bytes.TrimSpace(timeFields.ReplaceAll(body, []byte(`"$1":0`)))
}

// writeSideEffects writes what the engines and the plain services executed.
func writeSideEffects(transcript io.Writer, site *twsite.Site) {
	started, decoded := int64(0), int64(0)
	for _, e := range site.Engines() {
		started += e.Stats().Started
		decoded += e.Stats().DecodedTokens
	}
	_, _ = fmt.Fprintf(transcript, "engines: %d attempts started, %d tokens decoded\n", started, decoded)
	for _, s := range site.Services() {
		for _, a := range s.ExecutedCalls() {
			_, _ = fmt.Fprintf(transcript, "plain service: %s %s key %q account %q body %s\n", a.Method, a.Path, a.Key, a.Account, a.Body)
		}
	}
}
