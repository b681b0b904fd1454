package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// errRequestNotReceived means that a response ended with its connection, but its server has not
// received the whole request. The server may have reset the connection within the response: a write
// that fails takes the error of the connection, and the reader then sees an orderly end.
var errRequestNotReceived = errors.New("connection ended before the server had received the request")

// A requestWrite is the writing of one request.
type requestWrite struct {
	once sync.Once
	// done is closed when the writing has ended. err is set before.
	done chan struct{}
	err  error
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

// end records how the writing has ended, the first time.
func (w *requestWrite) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// isWhole reports whether the whole request has been written. It does not wait.
func (w *requestWrite) isWhole() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// awaitReceipt waits until the server has received the whole request. The error is an
// errRequestNotReceived.
func (w *requestWrite) awaitReceipt(ctx context.Context, conn net.Conn) error {
	err := w.await(ctx)
	if err == nil {
		err = awaitReceipt(ctx, conn)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errRequestNotReceived, err)
	}
	return nil
}

// await waits until the writing has ended and returns its error, or that of the context.
func (w *requestWrite) await(ctx context.Context) error {
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// headerEnd is the end of the header of a request.
const headerEnd = "\r\n\r\n"

// A requestScanner follows the bytes of a request that net/http writes, to find its end.
type requestScanner struct {
	// matched is how much of headerEnd the bytes up to now end with.
	matched int
	// contentLeft is how much of the content follows after what was scanned.
	contentLeft int64
}

// scan looks at the next bytes and reports whether the request ends with them.
func (s *requestScanner) scan(data []byte) bool {
	for len(data) > 0 && s.matched < len(headerEnd) {
		switch data[0] {
		case headerEnd[s.matched]:
			s.matched++
		case '\r':
			s.matched = 1
		default:
			s.matched = 0
		}
		data = data[1:]
	}
	s.contentLeft -= int64(len(data))
	return s.matched == len(headerEnd) && s.contentLeft <= 0
}
