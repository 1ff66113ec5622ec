// Package twevents splits a stream into events: blocks of lines that an empty line ends. Lines end with LF, CRLF or CR.
package twevents

import (
	"bytes"
	"strconv"
)

// Bytes are bytes of a stream, from the beginning of an event on.
type Bytes []byte

var idPrefix = []byte("id:")

// Cut returns the first event with its empty line, and what follows it. The event is empty if none is complete.
func (b Bytes) Cut() (event, rest Bytes) {
	for remaining := b; ; {
		line, after := remaining.cutLine()
		if after == nil {
			return nil, b
		}
		if len(line) == 0 {
			return b[:len(b)-len(after)], after
		}
		remaining = after
	}
}

// Complete returns the complete events, and what follows the last one.
func (b Bytes) Complete() (events, rest Bytes) {
	rest = b
	for {
		event, after := rest.Cut()
		if len(event) == 0 {
			return b[:len(b)-len(rest)], rest
		}
		rest = after
	}
}

// Count returns the number of complete events, without blocks that have no fields, such as comments.
func (b Bytes) Count() int {
	count := 0
	for event, rest := b.Cut(); len(event) > 0; event, rest = rest.Cut() {
		if event.hasField() {
			count++
		}
	}
	return count
}

// LastID returns the last id of the events, or 0 when it is missing or no number.
func (b Bytes) LastID() int64 {
	var last int64
	for line, rest := b.cutLine(); rest != nil; line, rest = rest.cutLine() {
		value, ok := bytes.CutPrefix(line, idPrefix)
		if !ok {
			continue
		}
		// A text that is no number is parsed as 0.
		last, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	}
	return last
}

// hasField reports whether the event has a line that is neither empty nor a comment.
func (b Bytes) hasField() bool {
	for line, rest := b.cutLine(); rest != nil; line, rest = rest.cutLine() {
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// cutLine returns the first line without its end, and what follows it; nil if the line has no end.
func (b Bytes) cutLine() (line, rest Bytes) {
	at := bytes.IndexAny(b, "\r\n")
	if at < 0 {
		return b, nil
	}
	next := at + 1
	if b[at] == '\r' && next < len(b) && b[next] == '\n' {
		next++
	}
	return b[:at], b[next:]
}
