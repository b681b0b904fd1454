package engine

import "time"

// Faults are the faults that an Engine injects. Each float64 field is a probability from
// 0 to 1 that is drawn once for each load or completion. The zero value injects no fault.
type Faults struct {
	// LoadFailure makes a load order fail after the weights were fetched.
	LoadFailure float64 `long:"load-failure" json:"load-failure"`
	// OrderDelay holds each load and unload order before it is carried out, so
	// that an order can arrive late.
	OrderDelay time.Duration `long:"order-delay" json:"order-delay"`
	// CloseAfterRequest closes the connection after the request was read and
	// its run began.
	CloseAfterRequest float64 `long:"close-after-request" json:"close-after-request"`
	// CloseInStream closes the connection in the middle of the answer; the run
	// goes on.
	CloseInStream float64 `long:"close-in-stream" json:"close-in-stream"`
	// SilentAnswer runs the request but sends no byte of its answer.
	SilentAnswer float64 `long:"silent-answer" json:"silent-answer"`
	// SilentInStream stops sending in the middle of the answer and keeps the
	// connection open.
	SilentInStream float64 `long:"silent-in-stream" json:"silent-in-stream"`
	// NoClosingMark ends a stream without its last event, which marks the end of a
	// whole answer.
	NoClosingMark float64 `long:"no-closing-mark" json:"no-closing-mark"`
	// SkipChunk leaves out one chunk in the middle of a stream.
	SkipChunk float64 `long:"skip-chunk" json:"skip-chunk"`
	// OtherInstance runs the request on another instance than it names, if another
	// one is loaded.
	OtherInstance float64 `long:"other-instance" json:"other-instance"`
	// OtherRequest answers with the id of another request.
	OtherRequest float64 `long:"other-request" json:"other-request"`
}

// A faultPlan holds the faults that one completion meets.
type faultPlan struct {
	closeAfterRequest, closeInStream, silentAnswer, silentInStream bool
	noClosingMark, skipChunk, otherInstance, otherRequest          bool
}
