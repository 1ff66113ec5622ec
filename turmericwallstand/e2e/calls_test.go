package e2e_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reply is the answer that a caller received; complete is set when it arrived to its end.
type reply struct {
	err      error
	status   int
	header   http.Header
	body     string
	text     string
	complete bool
	problem  problem
}

type problem struct {
	Kind             string `json:"kind"`
	Outcome          string `json:"outcome"`
	Remedy           string `json:"remedy"`
	RetryAfterMillis int64  `json:"retryAfterMillis"`
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

type answer struct {
	Choices []struct {
		Text   string `json:"text"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

const callTimeout = 40 * time.Second

// call sends one call. A failed call does not fail the test but is returned, because many tests expect failures.
func (s *site) call(ctx context.Context, d *daemon, method, path string, header http.Header, body any) reply {
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, bytes.NewReader(encoded))
	Expect(err).NotTo(HaveOccurred())
	for name, values := range header {
		request.Header[name] = values
	}
	if request.Header.Get("Authorization") == "" {
		request.Header.Set("Authorization", "Bearer "+s.example.Key())
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{status: response.StatusCode, header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(response.Body)
		return r
	}
	content, err := io.ReadAll(response.Body)
	r.body, r.err = string(content), err
	_ = json.Unmarshal(content, &r.problem)
	var a answer
	if json.Unmarshal(content, &a) == nil && len(a.Choices) > 0 {
		r.text, r.complete = a.Choices[0].Text, a.Choices[0].Finish != ""
	}
	return r
}

// readStream reads the stream to its end, collects its text, and takes over a problem that it ends with.
func (r *reply) readStream(stream io.Reader) {
	scanner := bufio.NewScanner(stream)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.complete = true
			continue
		}
		var a answer
		_ = json.Unmarshal([]byte(data), &a)
		_ = json.Unmarshal([]byte(data), &r.problem)
		if len(a.Choices) > 0 {
			r.text += a.Choices[0].Text
		}
	}
	r.err = scanner.Err()
}

// stream requests a streamed completion.
func (s *site) stream(ctx context.Context, d *daemon, prompt string, tokens int) reply {
	return s.call(ctx, d, http.MethodPost, "/v1/completions", nil, completion{Model: s.example.Model(), Prompt: prompt, MaxTokens: tokens, Stream: true})
}

// submit submits a deferrable completion.
func (s *site) submit(ctx context.Context, d *daemon, key, prompt string, tokens int) reply {
	header := http.Header{"Prefer": {"respond-async"}, "X-Work": {"dossier"}, "Idempotency-Key": {key}}
	return s.call(ctx, d, http.MethodPost, "/v1/completions", header, completion{Model: s.example.Model(), Prompt: prompt, MaxTokens: tokens})
}

// fetch requests a deferred answer once.
func (s *site) fetch(ctx context.Context, d *daemon, location string) reply {
	return s.call(ctx, d, http.MethodGet, location, nil, nil)
}

// book makes a booking, which must not be repeated.
func (s *site) book(ctx context.Context, d *daemon, key, table string) reply {
	return s.call(ctx, d, http.MethodPost, "/services/agenda-desk/bookings", http.Header{"Idempotency-Key": {key}}, map[string]string{"table": table})
}

type executedCall struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Body string `json:"body"`
}

// executedCalls returns the calls with the key that all plain services executed.
func (s *site) executedCalls(key string) []executedCall {
	GinkgoHelper()
	var found []executedCall
	for _, p := range s.services {
		var all []executedCall
		getJSON("http://"+p.address+"/control/acts", &all)
		for _, a := range all {
			if a.Key == key {
				found = append(found, a)
			}
		}
	}
	return found
}

type engineStats struct {
	PrefillTokens  int      `json:"prefillTokens"`
	ExportsEvicted int      `json:"exportsEvicted"`
	Received       int      `json:"asked"`
	Started        int      `json:"started"`
	Held           []string `json:"held"`
	PiecesUsed     int      `json:"piecesUsed"`
}

func (p *process) stats() engineStats {
	var stats engineStats
	getJSON("http://"+p.address+"/control/stats", &stats)
	return stats
}

// heldAttempts returns the attempts for which any engine holds memory.
func (s *site) heldAttempts() []string {
	var heldAttempts []string
	for _, p := range append(append([]*process{}, s.prefill...), s.decode...) {
		heldAttempts = append(heldAttempts, p.stats().Held...)
	}
	return heldAttempts
}
