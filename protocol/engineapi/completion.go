package engineapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// A CompletionRequest is the body of a PathCompletions request. It has only the fields
// that the stand-in of an engine reads.
type CompletionRequest struct {
	// Model is the name of an instance.
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	// Stream asks for the response as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens is the largest number of output tokens; 0 leaves it to the engine.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// A Message is one message of a chat, or the part of it in one chunk of a stream.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// A Completion is a complete response to a completion request, or one chunk of a
// streamed response.
type Completion struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Model is the name of the instance that generated the response.
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Error is set only in the data of an event that ends a stream before it is
	// complete.
	Error *ErrorDetail `json:"error,omitempty"`
}

// A Choice is one of the generated messages of a completion, or a part of it.
type Choice struct {
	Index int `json:"index"`
	// Message is set in complete responses.
	Message *Message `json:"message,omitempty"`
	// Delta is set in chunks.
	Delta *Message `json:"delta,omitempty"`
	// FinishReason is nil until the last chunk of the choice.
	FinishReason *string `json:"finish_reason"`
}

// errNotAnObject is returned for the JSON value null, which decodes without an error
// but has no fields.
var errNotAnObject = errors.New("JSON value is null, expected an object")

// ReplaceModel returns the JSON object with the field model set to model and all other
// fields unchanged. from is the expected previous value. If the field is written as
// "model":"from" and this text occurs once, the text is replaced in place; otherwise
// the object is decoded and encoded again, and its fields change their order.
func ReplaceModel(object []byte, from, model string) ([]byte, error) {
	// Within a JSON string the quotes would be escaped, so a single match is the
	// field itself. Replacing the text costs a fraction of decoding each chunk.
	old := modelField(from)
	if bytes.Count(object, old) == 1 {
		return bytes.Replace(object, old, modelField(model), 1), nil
	}
	return setFields(object, map[string]any{"model": model})
}

// modelField returns the JSON encoding of the field model with the given value.
func modelField(model string) []byte {
	return append([]byte(`"model":`), strconv.Quote(model)...)
}

// RewriteRequest returns the body of a completion request with the given model
// and stream flag and all other fields unchanged.
func RewriteRequest(body []byte, model string, stream bool) ([]byte, error) {
	values := map[string]any{"model": model, "stream": stream}
	if !stream {
		// Engines refuse stream options for a response that is not streamed.
		values["stream_options"] = nil
	}
	return setFields(body, values)
}

// setFields returns the JSON object with the given fields set and all others
// unchanged. A nil value removes its field.
func setFields(object []byte, values map[string]any) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, fmt.Errorf("decode JSON object: %w", err)
	}
	if fields == nil {
		return nil, errNotAnObject
	}
	for name, value := range values {
		if value == nil {
			delete(fields, name)
			continue
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("encode field %s: %w", name, err)
		}
		fields[name] = encoded
	}
	return json.Marshal(fields)
}
