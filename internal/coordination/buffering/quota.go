// Package buffering bounds the memory in which a host holds requests of callers that are not
// answered yet, and responses of servers that it has not passed on. A faulty server may send bytes
// without end, to many requests at a time, and callers may leave many requests unfinished.
package buffering

import (
	"container/list"
	"errors"
	"io"
	"sync"
	"time"
)

// ErrFull means that the host holds too many bytes to hold more of this request or response.
var ErrFull = errors.New("host holds too many bytes of unfinished requests and responses")

const (
	// freeBytes is what each buffer may hold without the quota, so that requests and responses of
	// the usual size go on while the quota is used up.
	freeBytes = 16 << 10
	// stepBytes is the size of the steps in which a buffer takes from the quota.
	stepBytes = 16 << 10
	// initialBytes is the first capacity of a buffer.
	initialBytes = 512
)

// A Quota bounds what all requests and responses together hold beyond freeBytes each. Its fields
// are set before use; it is safe for concurrent use.
type Quota struct {
	// MaxBytes is the bound on requests and responses together.
	MaxBytes int64
	// MaxRequestBytes is the part of MaxBytes that requests may take, so that unfinished requests
	// do not end responses. If it is 0, requests may take all of it.
	MaxRequestBytes int64
	// MaxIntakes bounds the intakes, and so what they hold of freeBytes. If it is 0, there is no
	// bound.
	MaxIntakes int

	mutex sync.Mutex
	// taken is what requests and responses have taken, takenByRequests the part of the requests and
	// withdrawnBytes the part of those whose holders were interrupted.
	taken, takenByRequests, withdrawnBytes int64
	// receiving holds the intakes of requests that have not arrived whole: those that were refused or
	// interrupted first, then the one without progress for longest. intakes counts them and the others.
	receiving list.List
	intakes   int
	// waiting holds the intakes that wait for room, the one that is the smallest with it first.
	waiting []*waiter
	// timer runs review when the next intake counts as stalled; it is nil before the first use.
	timer *time.Timer
	// refusals counts the requests and connections that were refused, interrupted or dropped.
	refusals int64
}

// Taken returns the number of bytes that are taken from the quota.
func (q *Quota) Taken() int64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.taken
}

// TakenByRequests returns the number of bytes that requests have taken.
func (q *Quota) TakenByRequests() int64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.takenByRequests
}

// Intakes returns the number of intakes.
func (q *Quota) Intakes() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.intakes
}

// Refusals returns how many requests and connections were refused, interrupted or dropped.
func (q *Quota) Refusals() int64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.refusals
}

// take takes bytes for a response and reports whether the quota has so many left.
func (q *Quota) take(bytes int64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.taken+bytes > q.MaxBytes {
		return false
	}
	q.taken += bytes
	return true
}

// give gives bytes of a response back.
func (q *Quota) give(bytes int64) {
	q.mutex.Lock()
	q.taken -= bytes
	interrupted := q.serveWaiting()
	q.mutex.Unlock()
	interrupt(interrupted)
}

// A Reservation is the part of a Quota that the buffer of a response has taken. It is used by one
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
	missing := missingBytes(bytes, r.taken)
	if missing <= 0 || r.Quota == nil {
		return true
	}
	if !r.Quota.take(missing) {
		return false
	}
	r.taken += missing
	return true
}

// Release gives everything back to the quota, because the buffer is not held any more.
func (r *Reservation) Release() {
	if r.taken > 0 {
		r.Quota.give(r.taken)
		r.taken = 0
	}
}

// missingBytes returns what has to be taken from a quota, in whole steps, to hold bytes in total.
func missingBytes(bytes int, taken int64) int64 {
	missing := int64(bytes) - freeBytes - taken
	if missing <= 0 {
		return 0
	}
	return (missing + stepBytes - 1) / stepBytes * stepBytes
}
