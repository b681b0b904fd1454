// Package buffering bounds the memory in which a host holds responses of servers that it has
// not passed on. A faulty server may send bytes without end, to many requests at a time.
package buffering

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrFull means that the host holds too many bytes of responses to hold more of this one.
var ErrFull = errors.New("host holds too many bytes of unfinished responses")

const (
	// freeBytes is what each buffer may hold without the quota, so that responses of the
	// usual size go on while the quota is used up.
	freeBytes = 16 << 10
	// stepBytes is the size of the steps in which a buffer takes from the quota.
	stepBytes = 16 << 10
	// initialBytes is the first capacity of a buffer.
	initialBytes = 512
)

// A Quota bounds what all buffers for responses together hold beyond freeBytes each. It is
// safe for concurrent use.
type Quota struct {
	// MaxBytes is the bound. It is set before use.
	MaxBytes int64

	taken atomic.Int64
}

// Taken returns the number of bytes that are taken from the quota.
func (q *Quota) Taken() int64 { return q.taken.Load() }

// take takes bytes from the quota and reports whether it has so many left.
func (q *Quota) take(bytes int64) bool {
	if q.taken.Add(bytes) <= q.MaxBytes {
		return true
	}
	q.taken.Add(-bytes)
	return false
}

// A Reservation is the part of a Quota that one buffer has taken. It is used by one
// goroutine.
type Reservation struct {
	// Quota is set before use. Without a quota nothing is refused.
	Quota *Quota

	taken int64
}

// Grow returns the buffer with room for more bytes after its length. Its capacity at least
// doubles when it grows, and counts as held. Grow returns false, and the buffer as it is, if
// the quota has too little left.
func (r *Reservation) Grow(buffer []byte, more int) ([]byte, bool) {
	if cap(buffer)-len(buffer) >= more {
		return buffer, true
	}
	size := max(len(buffer)+more, 2*cap(buffer), initialBytes)
	if !r.reserve(size) {
		return buffer, false
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	return grown, true
}

// Read reads the source up to maxBytes, or up to what the quota has left, and reports whether
// that is the whole content. With an error it returns nothing.
func (r *Reservation) Read(source io.Reader, maxBytes int) (data []byte, isWhole bool, err error) {
	for len(data) < maxBytes {
		var ok bool
		if data, ok = r.Grow(data, 1); !ok {
			return data, false, nil
		}
		n, err := source.Read(data[len(data):min(cap(data), maxBytes)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}

// reserve reports whether the buffer may hold bytes in total, and takes what it needs for
// that from the quota.
func (r *Reservation) reserve(bytes int) bool {
	missing := int64(bytes) - freeBytes - r.taken
	if missing <= 0 || r.Quota == nil {
		return true
	}
	missing = (missing + stepBytes - 1) / stepBytes * stepBytes
	if !r.Quota.take(missing) {
		return false
	}
	r.taken += missing
	return true
}

// Release gives everything back to the quota, because the buffer is not held any more.
func (r *Reservation) Release() {
	if r.taken > 0 {
		r.Quota.taken.Add(-r.taken)
		r.taken = 0
	}
}
