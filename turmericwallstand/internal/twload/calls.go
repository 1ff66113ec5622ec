package twload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcaller"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twmix"
)

// chunk is a part of a streamed answer, or an answer that is sent at once.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// refusal is the part of a problem body that states the retry time.
type refusal struct {
	RetryAfterMillis int64 `json:"retryAfterMillis"`
}

// sendUrgent requests a streamed answer, measures its tokens and checks every byte.
func (l *Load) sendUrgent(ctx context.Context, daemon int, r twmix.Request) Result {
	start := time.Now()
	response, err := l.caller.Call(ctx, http.MethodPost, l.address(daemon, "/v1/completions"), http.Header{"X-Work": {r.Work}},
		twcaller.Completion{Model: l.config.Example.Model(), Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true})
	if err != nil {
		return Result{}
	}
	defer func() { _ = response.Body.Close() }()
	result := Result{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		result.RetryAfter = retryAfter(response.Body)
		return result
	}
	text := result.readStream(response.Body, start)
	result.Correct = text == twenginestand.Answer(r.Prompt, r.MaxTokens)
	return result
}

// readStream reads the stream to its end, records the times of its tokens and returns the text.
func (r *Result) readStream(stream io.Reader, start time.Time) string {
	var text strings.Builder
	var first, last time.Time
	tokens := 0
	scanner := bufio.NewScanner(stream)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.Complete = true
			continue
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 || c.Choices[0].Text == "" {
			continue
		}
		last = time.Now()
		if tokens == 0 {
			first = last
		}
		tokens++
		text.WriteString(c.Choices[0].Text)
	}
	if tokens > 0 {
		r.FirstToken = first.Sub(start)
		r.Gap = last.Sub(first) / time.Duration(max(1, tokens-1))
	}
	return text.String()
}

// sendDeferrable submits a deferrable request, whose answer fetchDeferred fetches later.
func (l *Load) sendDeferrable(ctx context.Context, daemon, number int, r twmix.Request) Result {
	header := http.Header{"X-Work": {r.Work}, "Prefer": {"respond-async"}, "Idempotency-Key": {fmt.Sprintf("load-%d", number)}}
	response, err := l.caller.Call(ctx, http.MethodPost, l.address(daemon, "/v1/completions"), header,
		twcaller.Completion{Model: l.config.Example.Model(), Prompt: r.Prompt, MaxTokens: r.MaxTokens})
	if err != nil {
		return Result{}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusAccepted {
		return Result{Status: response.StatusCode, RetryAfter: retryAfter(response.Body)}
	}
	return Result{Status: response.StatusCode, location: response.Header.Get("Location")}
}

// fetch requests a deferred answer once, and checks it if it is there.
func (l *Load) fetch(ctx context.Context, start time.Time, r *Result) {
	response, err := l.caller.Call(ctx, http.MethodGet, l.address(r.Daemon, r.location), nil, nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return
	}
	var c chunk
	if json.NewDecoder(response.Body).Decode(&c) != nil || len(c.Choices) == 0 {
		return
	}
	r.Complete, r.Ended = true, time.Since(start)
	r.Correct = c.Choices[0].Text == twenginestand.Answer(r.Request.Prompt, r.Request.MaxTokens)
}

// sendPlain calls the plain service of the deployment. Any answer with status 200 counts as correct.
func (l *Load) sendPlain(ctx context.Context, daemon, number int) Result {
	path := map[string]string{"arriola": "/bookings", "sonnenmatt": "/medication"}[l.config.Example.Name()]
	header := http.Header{"Idempotency-Key": {fmt.Sprintf("load-%d", number)}}
	start := time.Now()
	response, err := l.caller.Call(ctx, http.MethodPost,
		l.address(daemon, "/services/"+l.config.Example.PlainService()+path), header, number)
	if err != nil {
		return Result{}
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	complete := err == nil && response.StatusCode == http.StatusOK
	return Result{Status: response.StatusCode, Complete: complete, Correct: complete, FirstToken: time.Since(start)}
}

// retryAfter returns the wait that the problem in the body states, or 0.
func retryAfter(body io.Reader) time.Duration {
	var r refusal
	if json.NewDecoder(body).Decode(&r) != nil {
		return 0
	}
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}
