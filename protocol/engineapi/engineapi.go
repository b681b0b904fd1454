// Package engineapi has the JSON structs of the HTTP protocol of engines:
// orders, reports, completions and failures. Its field names are the usual ones
// of OpenAI-compatible engines.
package engineapi

// The paths of an engine.
const (
	PathLoad        = "/v1/load_lora_adapter"
	PathUnload      = "/v1/unload_lora_adapter"
	PathCancel      = "/v1/cancel"
	PathModels      = "/v1/models"
	PathReport      = "/load"
	PathCompletions = "/v1/chat/completions"
)

// The headers of requests to an engine and of its answers.
const (
	// HeaderFencingNumber carries the epoch of the sender of a load or unload order.
	HeaderFencingNumber = "Fencing-Number"
	// HeaderEngineStart is in every answer. In a completion it names the start that
	// the grant is for; an engine with another start answers unknown-instance,
	// because its instances only share their names with those of the grant.
	HeaderEngineStart = "Engine-Start"
	// HeaderRequestID names a completion and is echoed in its answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderLastEventID is the last position that the reader of a stream has.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderTimeout bounds the run, in milliseconds.
	HeaderTimeout = "Persimmonmux-Timeout-Ms"
)

// Done is the data of the event that closes a stream.
const Done = "[DONE]"

// EventStreamType is the media type of a streamed answer.
const EventStreamType = "text/event-stream"
