// Package twhead bounds the head of an HTTP message while its bytes arrive, before a parser keeps them.
//
// The parsers of net/http keep each header in a map, which takes many times the bytes of a short header, and read lines of
// any length. The bytes of a connection are therefore passed through a Head before they reach the parser.
package twhead

import (
	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twbudget"
)

const (
	// MaxBytes bounds heads between the router and others, interim responses included. Answers of engines have some hundred
	// bytes.
	MaxBytes = 64 << 10
	// MaxLines bounds the headers in them. Answers of engines have a dozen.
	MaxLines = 1000
	// bytesPerByte is the memory for a byte of a head: the line as it is read, which grows by doubling, and its copy.
	bytesPerByte = 4
	// bytesPerLine is the memory for a header beside its text: its entry in the map, the slice of its values, and the
	// name.
	bytesPerLine = 256
	// earlierVersion begins the head of an answer whose body can't be in chunks, and chunksField the field that says that it is.
	earlierVersion = "http/1.0 "
	chunksField    = "transfer-encoding:"
	// freeBytes is the memory of heads that are always read: 4 KiB in 32 lines, or 2 KiB in 64.
	freeBytes = 24 << 10
)

// Config configures a Head.
type Config struct {
	// MaxBytes and MaxLines are the limits.
	MaxBytes, MaxLines int64
	// Memory is the memory for large heads of all connections; it may be nil.
	Memory *twbudget.Budget
	// Request is set for the heads of requests.
	Request bool
}

// Head follows the bytes of one connection. It isn't safe for concurrent use.
type Head struct {
	config Config
	// isOpen is set from Begin until the empty line of the message.
	isOpen       bool
	bytes, lines int64
	// lineBytes is the length of the line that is being received, without a CR at its end; lastIsCR is set if its last byte
	// is one.
	lineBytes int64
	lastIsCR  bool
	// isFirstLine is set in a message's first line. spaces is the number of groups of spaces in it until now, and class the
	// first byte after the first one.
	isFirstLine bool
	spaces      int
	lastIsSpace bool
	class       byte
	// isEarlier is set if the message's first line begins with earlierVersion, and isMisframed if it has the field chunksField too. matched is
	// how much of either the present line begins with.
	isEarlier, isMisframed bool
	matched                int64
	// held is the memory that is taken for the head.
	held int64
	// failed is set once the head has exceeded a limit. A bufio.Reader drops the error of a read that follows a part of a
	// line, and reads again.
	failed error
}

// New returns a head that follows nothing yet.
func New(config Config) *Head { return &Head{config: config} }

// Begin begins a head with the bytes that were received of it already, and releases the memory of the one before.
func (h *Head) Begin(received []byte) error {
	h.Release()
	h.isOpen, h.bytes, h.lines, h.failed = true, 0, 0, nil
	h.beginMessage()
	return h.Scan(received)
}

// IsOpen reports whether the head isn't complete.
func (h *Head) IsOpen() bool { return h.isOpen }

// Err returns the error of a head that has exceeded a limit. The parser may have another one, for the part that it read.
func (h *Head) Err() error { return h.failed }

// IsMisframed reports whether the last message has the field Transfer-Encoding, though its version, HTTP/1.0, has no chunks. The parser
// ignores the field, and the body is faulty (RFC 9112, section 6.1).
func (h *Head) IsMisframed() bool { return h.isMisframed }

// End ends the head, whatever is missing of it.
func (h *Head) End() { h.isOpen = false }

// Release returns the memory of the head.
func (h *Head) Release() {
	h.config.Memory.Release(h.held)
	h.held = 0
}

// Scan follows bytes that were received. What comes after the head is ignored. The error is a LimitError, and
// is returned until the next head begins.
func (h *Head) Scan(received []byte) error {
	if !h.isOpen {
		return h.failed
	}
	for i := 0; i < len(received) && h.isOpen; i++ {
		h.bytes++
		if h.bytes > h.config.MaxBytes {
			return h.exceeded(turmericwall.LimitHeadBytes, h.config.MaxBytes)
		}
		if received[i] != '\n' {
			h.scanInLine(received[i])
			continue
		}
		if err := h.endLine(); err != nil {
			return err
		}
	}
	return h.takeMemory()
}

// scanInLine follows a byte that doesn't end its line.
func (h *Head) scanInLine(b byte) {
	h.lineBytes++
	h.lastIsCR = b == '\r'
	if !h.isFirstLine {
		if h.isEarlier && h.matches(b, chunksField) {
			h.isMisframed = true
		}
		return
	}
	if h.lineBytes <= int64(len(earlierVersion)) && h.matches(b, earlierVersion) {
		h.isEarlier = true
	}
	switch {
	case b != ' ' && h.lastIsSpace && h.spaces == 1:
		h.class = b
	case b == ' ' && !h.lastIsSpace:
		h.spaces++
	}
	h.lastIsSpace = b == ' '
}

// matches reports whether the present line begins with the text, of which b is the last byte.
func (h *Head) matches(b byte, text string) bool {
	if h.matched != h.lineBytes-1 || h.matched == int64(len(text)) || lower(b) != text[h.matched] {
		return false
	}
	h.matched++
	return h.matched == int64(len(text))
}

// lower returns the lower case of a letter, and any other byte as it is.
func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// endLine ends a line, and with an empty one the message.
func (h *Head) endLine() error {
	isEmpty := h.lineBytes == 0 || (h.lineBytes == 1 && h.lastIsCR)
	h.lineBytes, h.lastIsCR, h.matched = 0, false, 0
	switch {
	case isEmpty && h.isFirstLine && h.config.Request:
		// Servers skip an empty line before a request.
		return nil
	case isEmpty && !h.isFirstLine && h.class == '1' && !h.config.Request:
		// The message was an interim response; the next one follows.
		h.beginMessage()
		return nil
	case isEmpty:
		h.isOpen = false
		return nil
	case !h.isFirstLine:
		h.lines++
	}
	h.isFirstLine = false
	if h.lines > h.config.MaxLines {
		return h.exceeded(turmericwall.LimitHeadLines, h.config.MaxLines)
	}
	return nil
}

// beginMessage begins the head's first message, or the one after an interim response.
func (h *Head) beginMessage() {
	h.lineBytes, h.lastIsCR, h.matched = 0, false, 0
	h.isEarlier, h.isMisframed = false, false
	h.isFirstLine, h.spaces, h.lastIsSpace, h.class = true, 0, false, 0
}

// takeMemory takes the memory that the head needs until now.
func (h *Head) takeMemory() error {
	need := bytesPerByte*h.bytes + bytesPerLine*h.lines - freeBytes
	if need <= h.held {
		return nil
	}
	if !h.config.Memory.Take(need - h.held) {
		return h.exceeded(turmericwall.LimitHeadMemory, h.config.Memory.Bytes())
	}
	h.held = need
	return nil
}

// exceeded returns the error of a head that exceeds a limit.
func (h *Head) exceeded(limit turmericwall.Limit, most int64) error {
	h.isOpen = false
	h.failed = &turmericwall.LimitError{Limit: limit, Max: most}
	return h.failed
}
