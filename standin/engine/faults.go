package engine

import "time"

// Faults are the faults of an Engine. All probabilities are from 0 to 1 and are
// drawn once for each load or completion.
type Faults struct {
	// LoadFailure makes a load order fail after the weights were fetched.
	LoadFailure float64
	// OrderDelay holds each load and unload order before it is carried out, so
	// that an order can arrive late.
	OrderDelay time.Duration
	// CloseAfterRequest closes the connection after the request was read and
	// its run began.
	CloseAfterRequest float64
	// CloseInStream closes the connection in the middle of the answer; the run
	// goes on.
	CloseInStream float64
	// SilentAnswer runs the request but sends no byte of its answer.
	SilentAnswer float64
	// SilentInStream stops sending in the middle of the answer and keeps the
	// connection open.
	SilentInStream float64
	// NoClosingMark leaves out the closing mark.
	NoClosingMark float64
	// SkipChunk leaves out one chunk in the middle of a stream.
	SkipChunk float64
	// OtherInstance runs the request on another instance than asked, if one is
	// loaded.
	OtherInstance float64
	// OtherRequest echoes another request id.
	OtherRequest float64
}

// A plan is what the faults do to one completion.
type plan struct {
	closeAfterRequest, closeInStream, silentAnswer, silentInStream bool
	noClosingMark, skipChunk, otherInstance, otherRequest          bool
}
