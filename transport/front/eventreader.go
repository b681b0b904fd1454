package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event of a stream is longer than maxEventBytes.
var errEventTooLarge = errors.New("stream event exceeds the size limit of 1 MiB")

// An eventReader splits a stream into its events. It is used by one goroutine.
type eventReader struct {
	source *bufio.Reader
}

// next returns the next event with the empty line that ends it, or an empty line alone. The
// error is io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream ends inside an
// event, and errEventTooLarge if the event exceeds maxEventBytes.
func (r *eventReader) next() ([]byte, error) {
	var event []byte
	for {
		lineStart := len(event)
		var err error
		event, err = r.appendLine(event)
		if errors.Is(err, io.EOF) && len(bytes.TrimRight(event, "\r\n")) > 0 {
			// The framing of the body shows where it ends, but not that the stream is whole.
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0 {
			return event, nil
		}
	}
}

// appendLine appends the next line of the stream to the event.
func (r *eventReader) appendLine(event []byte) ([]byte, error) {
	for {
		part, err := r.source.ReadSlice('\n')
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return event, errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
	}
}

// hasNext reports whether the end of an event is buffered, so that reading on does not wait
// for the server.
func (r *eventReader) hasNext() bool {
	// Peek returns what is buffered and cannot fail.
	buffered, _ := r.source.Peek(r.source.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
