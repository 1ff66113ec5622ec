package twrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// readBufferBytes is the size of one read of a stream; an event has a few hundred bytes.
const readBufferBytes = 2 << 10

// readBufferPool shares the read buffers between streams.
var readBufferPool = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

var errPanicked = errors.New("the handler panicked")

// chunk is the result of one read of a body.
type chunk struct {
	bytes []byte
	err   error
}

// bodyReader reads a body in a goroutine, so that the silence of its engine can be noticed. It closes the body at its
// end.
type bodyReader struct {
	// chunks has each read's result until the first error; the bytes are valid until the next receive. It is closed when
	// the goroutine ends.
	chunks chan chunk
	// arrivals counts the reads.
	arrivals arrivals
	// buffers are used in turn: while the owner has the bytes of one, the next read fills the other.
	buffers [2]*[readBufferBytes]byte
}

// startReader reads the body until its end or that of ctx.
func startReader(ctx context.Context, body io.ReadCloser) *bodyReader {
	b := &bodyReader{chunks: make(chan chunk)}
	for i := range b.buffers {
		b.buffers[i] = readBufferPool.Get().(*[readBufferBytes]byte)
	}
	go b.run(ctx, body)
	return b
}

func (b *bodyReader) run(ctx context.Context, body io.ReadCloser) {
	defer close(b.chunks)
	defer func() { _ = body.Close() }()
	for n := 0; ; n++ {
		buffer := b.buffers[n%len(b.buffers)]
		read, err := readBody(body, buffer[:])
		b.arrivals.record()
		select {
		case b.chunks <- chunk{bytes: buffer[:read], err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// readBody is body.Read, with a panic as its error: in this goroutine it would end the process.
func readBody(body io.Reader, buffer []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errPanicked, cause)
		}
	}()
	return body.Read(buffer)
}

// wait returns when the goroutine has ended; the context of its exchange must have ended before. The bytes of the last
// chunk aren't valid any more.
func (b *bodyReader) wait() {
	for range b.chunks {
	}
	for _, buffer := range b.buffers {
		readBufferPool.Put(buffer)
	}
}
