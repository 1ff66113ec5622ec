package turmericwall

import "fmt"

// Limit is the name of a limit on what is read from others.
type Limit string

// The limits. Metrics and logs name them.
const (
	// LimitHeadBytes and LimitHeadLines bound the head of a message: its first line, its headers, and the interim
	// responses before it.
	LimitHeadBytes Limit = "headBytes"
	LimitHeadLines Limit = "headLines"
	// LimitHeadMemory is the memory for large heads of all connections.
	LimitHeadMemory Limit = "headMemory"
	// LimitUpgrade means that an upstream answered 101, although the router requests no upgrade.
	LimitUpgrade Limit = "upgrade"
	// LimitMalformed means that the head of an answer came whole and is none of HTTP/1.
	LimitMalformed Limit = "malformed"
	// LimitBodyBytes bounds a body that is read completely before it is used.
	LimitBodyBytes Limit = "bodyBytes"
	// LimitEventBytes bounds one event of a stream.
	LimitEventBytes Limit = "eventBytes"
	// LimitBufferMemory is the memory for what is read from others and not passed on yet.
	LimitBufferMemory Limit = "bufferMemory"
)

// LimitError is the error of a read that exceeded a limit. Its connection is closed. The other side has sent something, so
// that it hasn't ended.
type LimitError struct {
	Limit Limit
	// Max is the limit in bytes or lines; 0 if it is unknown here.
	Max int64
}

// Error names the limit.
func (e *LimitError) Error() string {
	switch e.Limit {
	case LimitHeadBytes:
		return fmt.Sprintf("the head has more than %d bytes (limit %s)", e.Max, e.Limit)
	case LimitHeadLines:
		return fmt.Sprintf("the head has more than %d lines (limit %s)", e.Max, e.Limit)
	case LimitHeadMemory:
		return fmt.Sprintf("other large heads take the %d bytes of memory for them (limit %s)", e.Max, e.Limit)
	case LimitUpgrade:
		return fmt.Sprintf("the answer switches protocols, which was not requested (limit %s)", e.Limit)
	case LimitMalformed:
		return fmt.Sprintf("the answer's head is malformed (limit %s)", e.Limit)
	case LimitEventBytes:
		return fmt.Sprintf("an event has more than %d bytes (limit %s)", e.Max, e.Limit)
	case LimitBufferMemory:
		return fmt.Sprintf("what waits to be passed on takes the %d bytes of memory for it (limit %s)", e.Max, e.Limit)
	}
	return fmt.Sprintf("the body has more than %d bytes (limit %s)", e.Max, e.Limit)
}
