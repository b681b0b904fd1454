// Package chat encodes and decodes the OpenAI-compatible messages between callers and
// entry hosts: chat completion requests, server-sent events and the list of models.
// It makes no network calls.
package chat

import (
	"encoding/json"
	"errors"
	"fmt"
)

// A CompletionRequest holds the fields of a chat completion request that the serving
// layer reads. All other fields stay in the body and reach the engine unchanged.
type CompletionRequest struct {
	// Model is the adapter as the caller named it, NAME@VERSION or NAME. It is
	// never empty.
	Model string
	// Stream says that the caller wants the response as server-sent events.
	Stream bool
}

// errRepeatedKey is returned for a body in which a key that this package reads occurs
// more than once. Decoders differ in which of the values they take, so the engine
// could run another adapter than the one that was granted.
var errRepeatedKey = errors.New("key occurs more than once")

// uniqueField is a JSON value whose key may occur only once in its object.
type uniqueField[T any] struct {
	value T
	set   bool
}

// UnmarshalJSON decodes the value of the first occurrence of the key, and returns
// errRepeatedKey for any further one.
func (s *uniqueField[T]) UnmarshalJSON(data []byte) error {
	if s.set {
		return errRepeatedKey
	}
	s.set = true
	return json.Unmarshal(data, &s.value)
}

// DecodeCompletionRequest decodes the body of a chat completion request. It returns an
// error if the body is not a JSON object, repeats a key that it reads, or has no model
// or no list of messages.
func DecodeCompletionRequest(body []byte) (CompletionRequest, error) {
	var fields struct {
		Model    uniqueField[string]          `json:"model"`
		Stream   uniqueField[bool]            `json:"stream"`
		Messages uniqueField[json.RawMessage] `json:"messages"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return CompletionRequest{}, fmt.Errorf("body: %w", err)
	}
	if fields.Model.value == "" {
		return CompletionRequest{}, errors.New("model: missing, expected name@version or name")
	}
	if messages := fields.Messages.value; len(messages) == 0 || messages[0] != '[' {
		return CompletionRequest{}, errors.New("messages: missing or of another type, expected a list")
	}
	return CompletionRequest{Model: fields.Model.value, Stream: fields.Stream.value}, nil
}
