package backend

import (
	"errors"
	"io"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
)

// ErrBodyTooLarge is returned by ReadBody for a body that is not shorter than the limit.
var ErrBodyTooLarge = errors.New("response exceeds its size limit")

// ReadBody reads a body of less than maxBytes. What it holds meanwhile counts against the
// quota, which may be nil. progress, if not nil, is called after each read that returns data.
// The error is ErrBodyTooLarge, buffering.ErrFull or that of the body.
func ReadBody(body io.Reader, quota *buffering.Quota, maxBytes int, progress func()) ([]byte, error) {
	held := buffering.Reservation{Quota: quota}
	defer held.Release()
	if progress != nil {
		body = progressReader{reader: body, progress: progress}
	}
	data, isWhole, err := held.Read(body, maxBytes)
	switch {
	case err != nil:
		return nil, err
	case isWhole:
		return data, nil
	case len(data) < maxBytes:
		return nil, buffering.ErrFull
	default:
		return nil, ErrBodyTooLarge
	}
}

// A progressReader calls progress after each read that returns data.
type progressReader struct {
	reader   io.Reader
	progress func()
}

// Read reads from reader and reports progress.
func (r progressReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if n > 0 {
		r.progress()
	}
	return n, err
}
