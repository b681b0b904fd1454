package site

// A StreamEvent is an event of a stream as far as hosts read it.
type StreamEvent struct {
	// ID is the value of the field "id", or empty if the event has none.
	ID string
	// HasData says that the event carries a part of the answer.
	HasData bool
	// IsEmpty says that the event consists of comments, reconnection times and empty
	// lines. It says nothing about the answer.
	IsEmpty bool
	// IsMalformed says that the event has several ids, a line that is no field, a comment that
	// is no text, a reconnection time that is no number, or a line that ends with a carriage
	// return alone.
	IsMalformed bool
}
