package twengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
)

// Time-outs for the progress of an engine's stream.
//
// An open connection can become permanently unresponsive while new ones work. The symptom is a stream without chunks:
// the call is cancelled, which closes the connection, and the next call opens a new one.
const (
	firstChunkTimeout = 10 * time.Second
	nextChunkTimeout  = 2 * time.Second
	maxLineBytes      = 1 << 20
)

var errTruncated = errors.New("the stream ended before its closing mark")

// sinkError is an error of the chunks' sink, not of the engine.
type sinkError struct{ cause error }

func (e *sinkError) Error() string { return "deliver a chunk: " + e.cause.Error() }
func (e *sinkError) Unwrap() error { return e.cause }

// progressWatchdog cancels a call whose stream makes no progress.
type progressWatchdog struct{ timer *time.Timer }

func newProgressWatchdog(cancel func()) *progressWatchdog {
	return &progressWatchdog{timer: time.AfterFunc(firstChunkTimeout, cancel)}
}

func (w *progressWatchdog) reset() { w.timer.Reset(nextChunkTimeout) }
func (w *progressWatchdog) stop()  { w.timer.Stop() }

type chunkMessage struct {
	ID      string        `json:"id"`
	Choices []chunkChoice `json:"choices"`
	Usage   chunkUsage    `json:"usage"`
	Error   *chunkError   `json:"error"`
}

type chunkChoice struct {
	Text   string `json:"text"`
	Finish string `json:"finish_reason"`
}

type chunkUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type chunkError struct {
	Message string `json:"message"`
}

const (
	dataPrefix = "data: "
	doneMarker = "[DONE]"
	// idPrefix precedes the attempt in the engines' completion ids.
	idPrefix = "cmpl-"
)

// readChunks passes each chunk to sink until the closing marker.
func readChunks(stream io.Reader, watchdog *progressWatchdog, sink func(turmericwall.Chunk) error) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		watchdog.reset()
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneMarker {
			return nil
		}
		if err := deliverChunk(data, sink); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read the stream: %w", err)
	}
	return errTruncated
}

func deliverChunk(data []byte, sink func(turmericwall.Chunk) error) error {
	var message chunkMessage
	if err := json.Unmarshal(data, &message); err != nil {
		return fmt.Errorf("decode a chunk: %w", err)
	}
	if message.Error != nil {
		return fmt.Errorf("the engine broke off: %s", message.Error.Message)
	}
	for _, c := range message.Choices {
		err := sink(turmericwall.Chunk{
			Attempt: strings.TrimPrefix(message.ID, idPrefix),
			Index:   message.Usage.CompletionTokens,
			Text:    c.Text,
			Finish:  c.Finish,
		})
		if err != nil {
			return &sinkError{cause: err}
		}
	}
	return nil
}
