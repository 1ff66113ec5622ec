package twenginestand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twblocks"
)

type callBody struct {
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

type prefillAnswer struct {
	ID       string         `json:"id"`
	Transfer transferParams `json:"kv_transfer_params"`
}

// complete handles a prefill that exports, or a decode that imports.
func (e *Engine) complete(c echo.Context) error {
	var call callBody
	if err := c.Bind(&call); err != nil || call.Prompt == "" || call.MaxTokens < 1 || !e.serves(call.Model) {
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

func (e *Engine) serves(model string) bool {
	for _, m := range e.config.Models {
		if m == model {
			return true
		}
	}
	return false
}

// lifetime is the context of an attempt: it ends with a cancel, and with its caller unless the engine
// ignores that.
func (e *Engine) lifetime(c echo.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	ignore := e.faults.IgnoreDisconnect
	e.mu.Unlock()
	parent := c.Request().Context()
	if ignore {
		parent = context.WithoutCancel(parent)
	}
	return context.WithCancel(parent)
}

func (e *Engine) prefill(c echo.Context, attempt string, call callBody) error {
	ctx, cancel := e.lifetime(c)
	defer cancel()
	tokens := twblocks.Tokens(call.Prompt)
	if status := e.acquire(attempt, piecesOf(tokens), cancel); status != http.StatusOK {
		return c.NoContent(status)
	}
	computed, err := e.compute(ctx, call, tokens)
	if err != nil {
		e.release(attempt)
		return c.NoContent(http.StatusConflict)
	}
	e.offer(attempt, tokens, computed)
	return c.JSON(http.StatusOK, prefillAnswer{
		ID: "cmpl-" + attempt,
		Transfer: transferParams{RemotePrefill: true, Export: turmericwall.Export{
			Engine: e.config.Name, Address: c.Request().Host, ID: attempt, ComputedTokens: computed,
		}},
	})
}

func (e *Engine) decode(c echo.Context, attempt string, call callBody) error {
	ctx, cancel := e.lifetime(c)
	defer cancel()
	pieces := piecesOf(twblocks.Tokens(call.Prompt) + call.MaxTokens)
	if status := e.acquire(attempt, pieces, cancel); status != http.StatusOK {
		return c.NoContent(status)
	}
	defer e.release(attempt)
	if err := e.takeSlot(ctx, call.Priority); err != nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	defer e.giveSlot()
	if status := pull(ctx, call.Transfer.Export); status != http.StatusOK {
		return c.NoContent(status)
	}
	return e.generate(ctx, c, attempt, call)
}

// generate streams the answer, one token a step.
func (e *Engine) generate(ctx context.Context, c echo.Context, attempt string, call callBody) error {
	w := newWriter(c, e.currentFaults(), attempt, call.Model)
	text := newText(call.Prompt)
	next := time.Now()
	for i := 1; i <= call.MaxTokens; i++ {
		next = next.Add(e.step())
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			abort()
		case <-timer.C:
		}
		if w.brokenAt(i) {
			abort()
		}
		if e.silent(c) {
			<-ctx.Done()
			abort()
		}
		e.countDecoded()
		w.token(i, text.next(), i == call.MaxTokens)
	}
	w.done()
	return nil
}

// abort breaks the connection, as an engine does that dies; this is net/http's own way to do so.
func abort() { panic(http.ErrAbortHandler) }

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration((e.config.StepMillis + e.config.StepPerSlotMillis*float64(e.active)) * float64(time.Millisecond))
}

func (e *Engine) countDecoded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.DecodedTokens++
}

// writer writes chunks, with the faults that concern them.
type writer struct {
	c       echo.Context
	faults  Faults
	attempt string
	model   string
	swapped []byte
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

func newWriter(c echo.Context, faults Faults, attempt, model string) *writer {
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	return &writer{c: c, faults: faults, attempt: attempt, model: model}
}

func (w *writer) brokenAt(token int) bool {
	return w.faults.BreakAfterTokens > 0 && token > w.faults.BreakAfterTokens
}

func (w *writer) token(index int, text string, last bool) {
	encoded := w.encode(w.attempt, index, text, last)
	if w.faults.SwapChunks && w.swapped == nil && !last {
		w.swapped = encoded
		return
	}
	w.send(encoded)
	if w.swapped != nil {
		w.send(w.swapped)
		w.swapped = nil
	}
	if w.faults.DoubleChunks {
		w.send(encoded)
	}
	if w.faults.ForeignChunks {
		w.send(w.encode("another/1", index+1, "foreign", true))
	}
}

func (w *writer) encode(attempt string, index int, text string, last bool) []byte {
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

func (w *writer) send(encoded []byte) {
	_, _ = fmt.Fprintf(w.c.Response(), "data: %s\n\n", encoded)
	w.c.Response().Flush()
}

func (w *writer) done() { w.send([]byte("[DONE]")) }
