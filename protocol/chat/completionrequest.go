// Package chat has the OpenAI-compatible messages of chat completions and models,
// as far as the serving layer needs them. It has no transport.
package chat

import (
	"encoding/json"
	"errors"
	"fmt"
)

// A CompletionRequest has the fields of a chat completion request that the serving layer
// decides by. All other fields stay in the body and go to the engine as they are.
type CompletionRequest struct {
	// Model is the adapter as the caller wrote it; never empty.
	Model string
	// Stream says that the caller wants server-sent events.
	Stream bool
}

// errRepeatedKey is returned for a body that has a deciding key twice. Decoders
// differ in which of the two they take, so the engine could run another adapter
// than the one that was granted.
var errRepeatedKey = errors.New("the key is there twice")

// single is a JSON value that may occur once in its object.
type single[T any] struct {
	value T
	set   bool
}

// UnmarshalJSON decodes the first occurrence and refuses another.
func (s *single[T]) UnmarshalJSON(data []byte) error {
	if s.set {
		return errRepeatedKey
	}
	s.set = true
	return json.Unmarshal(data, &s.value)
}

// DecodeCompletionRequest decodes the deciding fields of a chat completion body.
func DecodeCompletionRequest(body []byte) (CompletionRequest, error) {
	var fields struct {
		Model    single[string]          `json:"model"`
		Stream   single[bool]            `json:"stream"`
		Messages single[json.RawMessage] `json:"messages"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return CompletionRequest{}, fmt.Errorf("body: %w", err)
	}
	if fields.Model.value == "" {
		return CompletionRequest{}, errors.New("model: missing, expected name@version or name")
	}
	if messages := fields.Messages.value; len(messages) == 0 || messages[0] != '[' {
		return CompletionRequest{}, errors.New("messages: missing, expected a list")
	}
	return CompletionRequest{Model: fields.Model.value, Stream: fields.Stream.value}, nil
}
