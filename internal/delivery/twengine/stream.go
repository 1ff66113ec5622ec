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

// Times within which an engine must show progress.
//
// An open connection can go silent for good while new ones work. Its symptom is a stream without
// chunks: the call is then given up, which closes the connection, and the next one is new.
const (
	firstChunkTimeout = 10 * time.Second
	nextChunkTimeout  = 2 * time.Second
	maxLineBytes      = 1 << 20
)

// errTruncated is a stream that ended without its closing mark.
var errTruncated = errors.New("the stream ended before its closing mark")

// sinkError is a failure of the reader of the chunks, not of the engine.
type sinkError struct{ cause error }

func (e *sinkError) Error() string { return "deliver a chunk: " + e.cause.Error() }
func (e *sinkError) Unwrap() error { return e.cause }

// watch cancels a call that shows no progress.
type watch struct{ timer *time.Timer }

func newWatch(cancel func()) *watch {
	return &watch{timer: time.AfterFunc(firstChunkTimeout, cancel)}
}

func (w *watch) progress() { w.timer.Reset(nextChunkTimeout) }
func (w *watch) stop()     { w.timer.Stop() }

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
	doneMark   = "[DONE]"
	// idPrefix stands before the attempt in the engines' completion ids.
	idPrefix = "cmpl-"
)

// readChunks hands each chunk on until the closing mark.
func readChunks(stream io.Reader, watch *watch, sink func(turmericwall.Chunk) error) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		watch.progress()
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneMark {
			return nil
		}
		if err := handChunk(data, sink); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read the stream: %w", err)
	}
	return errTruncated
}

func handChunk(data []byte, sink func(turmericwall.Chunk) error) error {
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
