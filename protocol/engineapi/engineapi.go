// Package engineapi defines the HTTP protocol of engines: paths, headers, and the JSON
// structs of orders, reports, completions and errors. The field names are the usual
// ones of OpenAI-compatible engines.
package engineapi

// The paths of the HTTP interface of an engine.
const (
	PathLoad        = "/v1/load_lora_adapter"
	PathUnload      = "/v1/unload_lora_adapter"
	PathCancel      = "/v1/cancel"
	PathModels      = "/v1/models"
	PathReport      = "/load"
	PathCompletions = "/v1/chat/completions"
)

// The headers of requests to an engine and of its responses.
const (
	// HeaderFencingNumber is the epoch of the sender of a load or unload order. An
	// engine that enforces fencing refuses an order with an epoch lower than one that
	// it has seen.
	HeaderFencingNumber = "Fencing-Number"
	// HeaderEngineStart is the start number of the engine, in every response. In a
	// completion request it is the start number that the grant is for. An engine with
	// another start number responds with CodeUnknownInstance, because its instances
	// only share their names with those of the grant.
	HeaderEngineStart = "Engine-Start"
	// HeaderRequestID identifies a completion. The response repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderLastEventID is the position of the last event that the client received of
	// a stream. The engine resumes the stream after it.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderTimeout is the longest duration of the run, in milliseconds.
	HeaderTimeout = "Persimmonmux-Timeout-Ms"
)

// Done is the data of the last event of a complete stream.
const Done = "[DONE]"

// EventStreamType is the media type of a streamed response.
const EventStreamType = "text/event-stream"
