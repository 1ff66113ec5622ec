package twstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is a request of a caller.
type Call struct {
	ID, Method, Host, Path string
	// Deadline is how long the caller waits.
	Deadline time.Duration
	Body     string
	// PromptTokens and OutputTokens are set for a request to a model.
	PromptTokens, OutputTokens int
	// MaxGap is the pause after which the caller abandons a stream.
	MaxGap time.Duration
}

// Answer is what the caller got.
type Answer struct {
	Status    int
	Signature string
	Body      string
	// Complete is set if the answer has ended in order.
	Complete bool
	Err      error
}

// Caller sends requests.
type Caller struct{ client *http.Client }

// NewCaller returns a caller that opens a connection for each request.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Send sends a request to a daemon and reads the answer.
func (c *Caller) Send(front string, call Call) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), call.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+front+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = call.Host
	request.Header.Set("X-Request-Id", call.ID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	if call.PromptTokens > 0 {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", call.PromptTokens, call.OutputTokens))
		request.Header.Set("X-Length-Hint", strconv.Itoa(call.OutputTokens))
		request.Header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a2:200,%s:%d", call.ID, call.PromptTokens-200))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	abandon := time.AfterFunc(max(call.MaxGap, time.Minute), cancel)
	if call.MaxGap > 0 {
		abandon.Reset(call.MaxGap)
	}
	defer abandon.Stop()
	var body []byte
	buffer := make([]byte, 4<<10)
	for err == nil {
		var n int
		n, err = response.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if call.MaxGap > 0 {
			abandon.Reset(call.MaxGap)
		}
	}
	if err == io.EOF {
		err = nil
	}
	return Answer{
		Status: response.StatusCode, Signature: response.Header.Get("X-Server-Signature"), Body: string(body), Complete: err == nil, Err: err,
	}
}
