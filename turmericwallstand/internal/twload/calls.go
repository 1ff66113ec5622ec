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

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

type refusal struct {
	RetryAfterMillis int64 `json:"retryAfterMillis"`
}

// sendUrgent streams an answer and checks every byte of it.
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
	result.Right = text == twenginestand.Answer(r.Prompt, r.MaxTokens)
	return result
}

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
			r.Whole = true
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

// fetch asks once for a deferred answer.
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
	r.Whole, r.Ended = true, time.Since(start)
	r.Right = c.Choices[0].Text == twenginestand.Answer(r.Request.Prompt, r.Request.MaxTokens)
}

func (l *Load) sendPlain(ctx context.Context, daemon, number int) Result {
	path := map[string]string{"arriola": "/bookings", "sonnenmatt": "/medication"}[l.config.Example.Name()]
	header := http.Header{"Idempotency-Key": {fmt.Sprintf("load-%d", number)}}
	start := time.Now()
	response, err := l.caller.Call(ctx, http.MethodPost, l.address(daemon, "/services/"+l.config.Example.PlainService()+path), header, number)
	if err != nil {
		return Result{}
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	whole := err == nil && response.StatusCode == http.StatusOK
	return Result{Status: response.StatusCode, Whole: whole, Right: whole, FirstToken: time.Since(start)}
}

func retryAfter(body io.Reader) time.Duration {
	var r refusal
	if json.NewDecoder(body).Decode(&r) != nil {
		return 0
	}
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}
