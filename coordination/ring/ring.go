// Package ring has the bounded ring that joins two duties.
package ring

import "sync/atomic"

// A Ring is a bounded queue of messages to one duty. It never blocks its
// writers: a full ring refuses.
type Ring[T any] struct {
	slots   chan T
	refused atomic.Uint64
}

// New returns a Ring with room for capacity messages.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer adds a message and reports whether there was room. A refused message
// is counted.
func (r *Ring[T]) Offer(message T) bool {
	select {
	case r.slots <- message:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Messages returns the channel from which the duty receives.
func (r *Ring[T]) Messages() <-chan T {
	return r.slots
}

// RejectedCount returns the number of messages refused since the start.
func (r *Ring[T]) RejectedCount() uint64 {
	return r.refused.Load()
}

// Len returns the number of messages that wait.
func (r *Ring[T]) Len() int {
	return len(r.slots)
}
