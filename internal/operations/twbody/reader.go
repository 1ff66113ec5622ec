// Package twbody reads bodies that are used only once they are complete, within a limit of their own and the memory that
// all of them share.
package twbody

import (
	"io"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twbudget"
)

const (
	// firstBytes is the size of the first buffer.
	firstBytes = 2 << 10
	// maxFirstBytes bounds the first buffer of a body of a stated length, which may be wrong.
	maxFirstBytes = 256 << 10
	// FreeBytes is the size up to which a body takes no shared memory: that of ordinary messages, which large ones must not
	// displace.
	FreeBytes = 16 << 10
)

// Config configures a Reader.
type Config struct {
	// MaxBytes is the size of the largest body.
	MaxBytes int64
	// Memory is the memory of all large bodies; it may be nil.
	Memory *twbudget.Budget
}

// Reader reads bodies.
type Reader struct{ config Config }

// New returns a reader.
func New(config Config) *Reader { return &Reader{config: config} }

// Read reads a body to its end, whose stated length is a hint; -1 if it is unknown. The error is a LimitError or that of the body. The memory that the body takes must be
// released in any case, once neither the body nor what was decoded from it is needed.
func (r *Reader) Read(from io.Reader, length int64) (body []byte, release func(), err error) {
	part := twbudget.New(twbudget.Config{Bytes: 4 * (r.config.MaxBytes + firstBytes), Parent: r.config.Memory})
	next := max(firstBytes, min(length+1, maxFirstBytes))
	for {
		if len(body) == cap(body) {
			// While a body is copied into a larger buffer, both are in memory.
			size := min(next, r.config.MaxBytes+1)
			next = 2 * size
			if size > FreeBytes && !part.Take(size) {
				return nil, part.Close, &turmericwall.LimitError{
					Limit: turmericwall.LimitBufferMemory, Max: r.config.Memory.Bytes(),
				}
			}
			before := int64(cap(body))
			body = append(make([]byte, 0, size), body...)
			if before > FreeBytes {
				part.Release(before)
			}
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > r.config.MaxBytes:
			return nil, part.Close, &turmericwall.LimitError{Limit: turmericwall.LimitBodyBytes, Max: r.config.MaxBytes}
		case err == io.EOF:
			return body, part.Close, nil
		case err != nil:
			return nil, part.Close, err
		}
	}
}
