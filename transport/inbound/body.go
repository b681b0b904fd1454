package inbound

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
)

const (
	// initialBodyBytes is the first capacity of the buffer for a body.
	initialBodyBytes = 2 << 10
	// smallBodyBytes is the size up to which the buffer of a declared body grows as the body
	// arrives; a larger one gets its room as a whole, so that it does not wait for more later.
	smallBodyBytes = 8 << 10
)

// ErrBodyTooLarge is returned for a body that is larger than the limit.
var ErrBodyTooLarge = errors.New("body of the request is larger than the limit")

// Limits bounds one body.
type Limits struct {
	// MaxBytes is the size of the largest body.
	MaxBytes int64
	// IdleTimeout is how long no byte of a body may arrive, and Timeout how long the whole body may
	// take. Zero means no bound.
	IdleTimeout, Timeout time.Duration
}

// ReadBody reads the whole body of a request. What it holds counts against the quota of the
// connection until the request is answered. The error is ErrBodyTooLarge, buffering.ErrFull,
// buffering.ErrInterrupted, os.ErrDeadlineExceeded or that of a broken body; the connection cannot
// be used for another request then.
func ReadBody(w http.ResponseWriter, r *http.Request, limits Limits) ([]byte, error) {
	reader := &bodyReader{conn: connOf(r), control: http.NewResponseController(w), limits: limits, declared: r.ContentLength}
	if reader.conn != nil {
		reader.conn.hasHead.Store(true)
	}
	data, err := reader.read(r.Body)
	if err == nil {
		err = reader.complete()
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, err
	}
	return data, nil
}

// CloseIfUnread makes the answer to a request end its connection if the request has a body that
// ReadBody has not read. net/http would wait for that body.
func CloseIfUnread(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); r.ContentLength != 0 && (c == nil || !c.hasHead.Load()) {
		w.Header().Set("Connection", "close")
	}
}

// A bodyReader reads one body.
type bodyReader struct {
	// conn is nil in tests that have no Listener.
	conn    *Conn
	control *http.ResponseController
	limits  Limits
	// declared is the length that the head states, or less than 0.
	declared int64
	data     []byte
}

// read reads the source to its end.
func (b *bodyReader) read(source io.Reader) ([]byte, error) {
	if b.declared > b.limits.MaxBytes {
		return nil, ErrBodyTooLarge
	}
	if b.declared == 0 {
		return nil, nil
	}
	end := time.Now().Add(b.limits.Timeout)
	for {
		if err := b.grow(); err != nil {
			return nil, err
		}
		b.extendDeadline(end)
		n, err := source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if int64(len(b.data)) > b.limits.MaxBytes {
			return nil, ErrBodyTooLarge
		}
		if b.conn != nil {
			b.conn.intake.Received(n)
		}
		if errors.Is(err, io.EOF) {
			return b.data, nil
		}
		if err != nil {
			return nil, b.readError(err)
		}
	}
}

// grow makes room for at least one more byte.
func (b *bodyReader) grow() error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	size := b.nextCapacity()
	if b.conn != nil {
		if err := b.conn.intake.Reserve(b.conn.headCost + size); err != nil {
			return err
		}
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// nextCapacity returns the capacity of the buffer after the present one. One byte more than the
// limit shows that a body without a declared length is too large.
func (b *bodyReader) nextCapacity() int {
	size := max(initialBodyBytes, 2*cap(b.data))
	if b.declared < 0 {
		return min(size, int(b.limits.MaxBytes)+1)
	}
	if size > smallBodyBytes {
		size = int(b.declared)
	}
	return max(min(size, int(b.declared)), len(b.data)+1)
}

// extendDeadline gives the next read its time.
func (b *bodyReader) extendDeadline(end time.Time) {
	var deadline time.Time
	if b.limits.IdleTimeout > 0 {
		deadline = time.Now().Add(b.limits.IdleTimeout)
	}
	if b.limits.Timeout > 0 && (deadline.IsZero() || end.Before(deadline)) {
		deadline = end
	}
	// Connections without deadlines occur only in tests.
	_ = b.control.SetReadDeadline(deadline)
}

// readError returns the cause of a failed read.
func (b *bodyReader) readError(err error) error {
	if b.conn != nil && b.conn.isInterrupted.Load() {
		return buffering.ErrInterrupted
	}
	return err
}

// complete ends the receiving of the request.
func (b *bodyReader) complete() error {
	if b.conn != nil && !b.conn.intake.Complete() {
		return buffering.ErrInterrupted
	}
	// net/http goes on reading to notice that the caller leaves; a deadline would look like that.
	_ = b.control.SetReadDeadline(time.Time{})
	return nil
}
