package twrelay

import (
	"errors"
	"io"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twbudget"
)

const (
	// maxBufferedBytes is how much of an answer is read before any of it is passed on. Until then, a failed answer can be
	// replaced by that of another upstream.
	maxBufferedBytes = 64 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
	// freeBufferBytes is the size of buffers that are always allowed: those of ordinary answers and events.
	freeBufferBytes = 8 << 10
	// firstBufferBytes is the size of the first buffer of an answer.
	firstBufferBytes = 2 << 10
	// maxCallBytes bounds the large buffers of one call: an event, and an answer from each upstream that it may be sent to.
	maxCallBytes = maxEventBytes + 4*maxBufferedBytes
)

// newCallBuffers returns the memory for the large buffers of one call.
func (r *Relay) newCallBuffers() *twbudget.Budget {
	return twbudget.New(twbudget.Config{Bytes: maxCallBytes, Parent: r.config.Buffers})
}

// memoryError returns the error of an event for which there is no memory.
func (r *Relay) memoryError() error {
	return &turmericwall.LimitError{Limit: turmericwall.LimitBufferMemory, Max: r.config.Buffers.Bytes()}
}

// bufferBody reads the answer's body up to maxBufferedBytes, or less if other buffers take the memory, and reports whether
// that is the whole body.
func (a *attempt) bufferBody(answer *turmericwall.Answer) ([]byte, bool, error) {
	if isEncoded(answer) {
		_ = answer.Body.Close()
		return nil, false, &turmericwall.SendError{Sent: true, Err: errUnexpectedEncoding}
	}
	buffered := make([]byte, 0, firstBufferBytes)
	for {
		if len(buffered) == cap(buffered) {
			size := min(2*cap(buffered), maxBufferedBytes)
			if size == cap(buffered) || (size > freeBufferBytes && !a.buffers.Take(int64(size))) {
				return buffered, false, nil
			}
			if cap(buffered) > freeBufferBytes {
				a.buffers.Release(int64(cap(buffered)))
			}
			buffered = append(make([]byte, 0, size), buffered...)
		}
		n, err := answer.Body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if err == nil {
			continue
		}
		_ = answer.Body.Close()
		if err == io.EOF {
			return buffered, true, nil
		}
		return nil, false, &turmericwall.SendError{Sent: true, Err: err}
	}
}

// addPartial adds bytes to the event that isn't complete yet.
func (s *answerStream) addPartial(part []byte) error {
	need := len(s.partialEvent) + len(part)
	if size := cap(s.partialEvent); need > size {
		size = max(need, min(2*size, maxEventBytes))
		if size > freeBufferBytes && !s.takePartial(size) {
			return s.relay.memoryError()
		}
		s.partialEvent = append(make([]byte, 0, size), s.partialEvent...)
	}
	s.partialEvent = append(s.partialEvent, part...)
	return nil
}

// takePartial takes the memory for a partial event of the size.
func (s *answerStream) takePartial(size int) bool {
	if !s.attempt.buffers.Take(int64(size) - s.partialHeld) {
		return false
	}
	s.partialHeld = int64(size)
	return true
}

// keepPartial replaces the partial event by the rest after the complete events. The buffer of a large one is not kept.
func (s *answerStream) keepPartial(rest []byte) {
	if s.partialHeld == 0 || len(rest) > freeBufferBytes {
		s.partialEvent = append(s.partialEvent[:0], rest...)
		return
	}
	s.partialEvent = append([]byte(nil), rest...)
	s.attempt.buffers.Release(s.partialHeld)
	s.partialHeld = 0
}

// isOwnShortage reports whether the error is due to memory that this daemon lacks.
func isOwnShortage(err error) bool {
	var limit *turmericwall.LimitError
	return errors.As(err, &limit) &&
		(limit.Limit == turmericwall.LimitBufferMemory || limit.Limit == turmericwall.LimitHeadMemory)
}

// reportRefused reports an answer that exceeded a limit after its head.
func (r *Relay) reportRefused(from turmericwall.Upstream, callID string, err error) {
	var limit *turmericwall.LimitError
	if r.config.OnReadRefused != nil && errors.As(err, &limit) {
		r.config.OnReadRefused(from, callID, limit)
	}
}
