package twenginestand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twblockhash"
)

type completionRequest struct {
	Model     string         `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Priority  int            `json:"priority"`
	Transfer  transferParams `json:"kv_transfer_params"`
}

type transferParams struct {
	RemoteDecode  bool `json:"do_remote_decode"`
	RemotePrefill bool `json:"do_remote_prefill"`
	turmericwall.Export
}

type prefillResponse struct {
	ID       string         `json:"id"`
	Transfer transferParams `json:"kv_transfer_params"`
}

// handleCompletion handles a prefill that exports its KV cache, or a decode that imports one. Any other call gets
// status 400.
func (e *Engine) handleCompletion(c echo.Context) error {
	var call completionRequest
	if err := c.Bind(&call); err != nil || call.Prompt == "" || call.MaxTokens < 1 || !e.servesModel(call.Model) {
		return c.NoContent(http.StatusBadRequest)
	}
	attempt := c.Request().Header.Get("X-Request-Id")
	switch {
	case call.Transfer.RemoteDecode && e.config.Role == turmericwall.RolePrefill:
		return e.prefill(c, attempt, call)
	case call.Transfer.RemotePrefill && e.config.Role == turmericwall.RoleDecode:
		return e.decode(c, attempt, call)
	default:
		return c.NoContent(http.StatusBadRequest)
	}
}

func (e *Engine) servesModel(model string) bool {
	for _, m := range e.config.Models {
		if m == model {
			return true
		}
	}
	return false
}

// attemptContext returns the context of an attempt. It ends when the attempt is cancelled and when its caller
// disconnects, unless the engine ignores disconnects.
func (e *Engine) attemptContext(c echo.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	ignore := e.faults.IgnoreDisconnect
	e.mu.Unlock()
	parent := c.Request().Context()
	if ignore {
		parent = context.WithoutCancel(parent)
	}
	return context.WithCancel(parent)
}

func (e *Engine) prefill(c echo.Context, attempt string, call completionRequest) error {
	ctx, cancel := e.attemptContext(c)
	defer cancel()
	tokens := twblockhash.EstimateTokens(call.Prompt)
	if status := e.acquire(attempt, piecesOf(tokens), cancel); status != http.StatusOK {
		return c.NoContent(status)
	}
	computed, err := e.computePrompt(ctx, call, tokens)
	if err != nil {
		e.release(attempt)
		return c.NoContent(http.StatusConflict)
	}
	e.holdExport(attempt, tokens, computed)
	return c.JSON(http.StatusOK, prefillResponse{
		ID: "cmpl-" + attempt,
		Transfer: transferParams{RemotePrefill: true, Export: turmericwall.Export{
			Engine: e.config.Name, Address: c.Request().Host, ID: attempt, ComputedTokens: computed,
		}},
	})
}

func (e *Engine) decode(c echo.Context, attempt string, call completionRequest) error {
	ctx, cancel := e.attemptContext(c)
	defer cancel()
	pieces := piecesOf(twblockhash.EstimateTokens(call.Prompt) + call.MaxTokens)
	if status := e.acquire(attempt, pieces, cancel); status != http.StatusOK {
		return c.NoContent(status)
	}
	defer e.release(attempt)
	if err := e.acquireSlot(ctx, call.Priority); err != nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	defer e.releaseSlot()
	if status := pullExport(ctx, call.Transfer.Export); status != http.StatusOK {
		return c.NoContent(status)
	}
	return e.generate(ctx, c, attempt, call)
}

// generate streams the answer, one token per decode step.
func (e *Engine) generate(ctx context.Context, c echo.Context, attempt string, call completionRequest) error {
	w := newChunkWriter(c, e.currentFaults(), attempt, call.Model)
	text := newTextGenerator(call.Prompt)
	if on := e.currentFaults().CrashOn; on != "" && strings.Contains(call.Prompt, on) {
		// The server's end is that of the process.
		_ = e.server.Close()
		abort()
	}
	next := time.Now()
	for i := 1; i <= call.MaxTokens; i++ {
		next = next.Add(e.stepDuration())
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			abort()
		case <-timer.C:
		}
		if w.breaksAt(i) {
			abort()
		}
		if e.isUnresponsive(c) {
			<-ctx.Done()
			abort()
		}
		e.countDecoded()
		w.writeToken(i, text.nextWord(), i == call.MaxTokens)
	}
	w.writeDone()
	return nil
}

// abort closes the connection without an end of the response, as a crashed engine would. net/http provides this panic
// value for the purpose.
func abort() { panic(http.ErrAbortHandler) }

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) stepDuration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration((e.config.StepMillis + e.config.StepPerSlotMillis*float64(e.active)) * float64(time.Millisecond))
}

func (e *Engine) countDecoded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.DecodedTokens++
}

// chunkWriter writes the chunks of a stream and injects the faults that concern them.
type chunkWriter struct {
	c       echo.Context
	faults  Faults
	attempt string
	model   string
	// delayed is a chunk that SwapChunks sends after its successor.
	delayed []byte
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index  int     `json:"index"`
	Text   string  `json:"text"`
	Finish *string `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func newChunkWriter(c echo.Context, faults Faults, attempt, model string) *chunkWriter {
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	return &chunkWriter{c: c, faults: faults, attempt: attempt, model: model}
}

// breaksAt reports whether the stream breaks before the token.
func (w *chunkWriter) breaksAt(token int) bool {
	return w.faults.BreakAfterTokens > 0 && token > w.faults.BreakAfterTokens
}

// writeToken writes the chunk of one token; the last one has a finish reason.
func (w *chunkWriter) writeToken(index int, text string, last bool) {
	encoded := w.encode(w.attempt, index, text, last)
	if w.faults.SwapChunks && w.delayed == nil && !last {
		w.delayed = encoded
		return
	}
	w.writeEvent(encoded)
	if w.delayed != nil {
		w.writeEvent(w.delayed)
		w.delayed = nil
	}
	if w.faults.DuplicateChunks {
		w.writeEvent(encoded)
	}
	if w.faults.ForeignChunks {
		w.writeEvent(w.encode("another/1", index+1, "foreign", true))
	}
}

func (w *chunkWriter) encode(attempt string, index int, text string, last bool) []byte {
	ch := choice{Text: text}
	if last {
		finish := "length"
		ch.Finish = &finish
	}
	encoded, err := json.Marshal(chunk{
		ID: "cmpl-" + attempt, Object: "text_completion", Model: w.model,
		Choices: []choice{ch}, Usage: usage{CompletionTokens: index},
	})
	if err != nil {
		panic(err)
	}
	return encoded
}

func (w *chunkWriter) writeEvent(encoded []byte) {
	_, _ = fmt.Fprintf(w.c.Response(), "data: %s\n\n", encoded)
	w.c.Response().Flush()
}

func (w *chunkWriter) writeDone() { w.writeEvent([]byte("[DONE]")) }
