package request

import "time"

// A Chunk is a piece of a streamed answer.
type Chunk struct {
	// Position is the number of chunks before this one.
	Position int
	// Data is the encoded chunk.
	Data []byte
}

// A Response is a whole answer.
type Response struct {
	// Status is the HTTP status of the backend server.
	Status int `json:"status"`
	// ContentType is the media type of Body.
	ContentType string `json:"content-type"`
	// Body is the whole encoded answer; empty when it was streamed.
	Body []byte `json:"body"`
	// Chunks is the number of chunks of a streamed answer.
	Chunks int `json:"chunks"`
	// LoadStall is the time that the request waited for its adapter.
	LoadStall time.Duration `json:"-"`
	// Replayed says that the answer is the recorded outcome of an earlier try.
	Replayed bool `json:"-"`
}
