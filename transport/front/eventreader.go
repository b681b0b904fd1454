package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
)

// maxEventBytes bounds one event of a stream. Events beyond a few KiB also count against
// the quota of the host.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event of a stream is longer than maxEventBytes.
var errEventTooLarge = errors.New("stream event exceeds the size limit of 1 MiB")

// An eventReader splits a stream into its events. It is used by one goroutine.
type eventReader struct {
	source *bufio.Reader
	// held is what buffer has taken from the quota of the host.
	held buffering.Reservation
	// buffer holds the current event and is used again for the next one, unless the event
	// was large.
	buffer []byte
}

// maxKeptBufferBytes is the capacity up to which a buffer is used again.
const maxKeptBufferBytes = 4 << 10

// next returns the next event with the empty line that ends it, or an empty line alone. It is
// valid until the next call. The error is io.EOF at the end of the stream,
// io.ErrUnexpectedEOF if the stream ends inside an event, errEventTooLarge if the event
// exceeds maxEventBytes, and buffering.ErrFull if the quota is used up.
func (r *eventReader) next() ([]byte, error) {
	if cap(r.buffer) > maxKeptBufferBytes {
		r.close()
	}
	r.buffer = r.buffer[:0]
	for {
		lineStart := len(r.buffer)
		err := r.appendLine()
		if errors.Is(err, io.EOF) && len(bytes.TrimRight(r.buffer, "\r\n")) > 0 {
			// The framing of the body shows where it ends, but not that the stream is whole.
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(r.buffer[lineStart:], "\r\n")) == 0 {
			return r.buffer, nil
		}
	}
}

// appendLine appends the next line of the stream to the buffer.
func (r *eventReader) appendLine() error {
	for {
		part, err := r.source.ReadSlice('\n')
		if len(r.buffer)+len(part) > maxEventBytes {
			return errEventTooLarge
		}
		var ok bool
		if r.buffer, ok = r.held.Grow(r.buffer, len(part)); !ok {
			return buffering.ErrFull
		}
		r.buffer = append(r.buffer, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// close drops the buffer and gives it back to the quota.
func (r *eventReader) close() {
	r.buffer = nil
	r.held.Release()
}

// hasNext reports whether the end of an event is buffered, so that reading on does not wait
// for the server.
func (r *eventReader) hasNext() bool {
	// Peek returns what is buffered and cannot fail.
	buffered, _ := r.source.Peek(r.source.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
