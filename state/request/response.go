package request

import "time"

// A Chunk is a piece of a streamed answer, the data of one event of the engine.
type Chunk struct {
	// Position is the number of chunks before this one.
	Position int
	// Data is the encoded chunk, without the framing of the event stream.
	Data []byte
}

// A Response is the whole answer of a backend server to a request. It is stored with
// the claim of a request that may not be repeated.
type Response struct {
	// Status is the HTTP status of the backend server.
	Status int `json:"status"`
	// ContentType is the media type of the answer; it may be empty.
	ContentType string `json:"content-type"`
	// Body is the whole encoded answer; empty if the answer was streamed.
	Body []byte `json:"body"`
	// Chunks is the number of chunks of a streamed answer; otherwise 0.
	Chunks int `json:"chunks"`
	// LoadStall is the time that the request waited for its adapter to be
	// loaded, summed over all its attempts. It is not stored.
	LoadStall time.Duration `json:"-"`
	// Replayed says that the answer is the recorded outcome of an earlier request
	// with the same ID. It is not stored.
	Replayed bool `json:"-"`
}
