// Package ring has the bounded queue through which other goroutines send messages
// to a duty (see package duty).
package ring

import "sync/atomic"

// A Ring is a bounded queue of messages to one duty. It never blocks its senders:
// a full Ring rejects the message.
type Ring[T any] struct {
	slots    chan T
	rejected atomic.Uint64
}

// New returns a Ring that holds up to capacity messages.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer adds a message and reports whether there was room. A message that does
// not fit is dropped and counted.
func (r *Ring[T]) Offer(message T) bool {
	select {
	case r.slots <- message:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Messages returns the channel from which the duty receives its messages in
// order. It is never closed.
func (r *Ring[T]) Messages() <-chan T {
	return r.slots
}

// RejectedCount returns the number of messages rejected since New.
func (r *Ring[T]) RejectedCount() uint64 {
	return r.rejected.Load()
}

// Len returns the number of messages that wait to be received.
func (r *Ring[T]) Len() int {
	return len(r.slots)
}
