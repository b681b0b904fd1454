package engineapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// A CompletionRequest has the fields of a completion request that stand-ins read.
type CompletionRequest struct {
	// Model is the name of an instance.
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// A Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// A Completion is a whole answer, or one chunk of a streamed answer.
type Completion struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Model is the name of the instance that the answer came from.
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Error is set only in an event that ends a stream early.
	Error *ErrorDetail `json:"error,omitempty"`
}

// A Choice is one of the answers to a prompt, or a piece of it.
type Choice struct {
	Index int `json:"index"`
	// Message is set in whole answers.
	Message *Message `json:"message,omitempty"`
	// Delta is set in chunks.
	Delta *Message `json:"delta,omitempty"`
	// FinishReason is nil until the last chunk of the choice.
	FinishReason *string `json:"finish_reason"`
}

// errNotAnObject is returned for JSON that is not an object.
var errNotAnObject = errors.New("JSON is not an object")

// ReplaceModel returns the JSON object with its model set and all other fields
// unchanged. from is the model that it had. The order of the fields is kept only
// on the fast path.
func ReplaceModel(object []byte, from, model string) ([]byte, error) {
	// Within a JSON string the quotes would be escaped, so a single match is the
	// field itself. Splicing it costs a fraction of decoding each chunk.
	old := modelField(from)
	if bytes.Count(object, old) == 1 {
		return bytes.Replace(object, old, modelField(model), 1), nil
	}
	return replace(object, map[string]any{"model": model})
}

// modelField returns the encoded field of a model name.
func modelField(model string) []byte {
	return append([]byte(`"model":`), strconv.Quote(model)...)
}

// RewriteRequest returns the body of a completion request with the given model
// and stream flag and all other fields unchanged.
func RewriteRequest(body []byte, model string, stream bool) ([]byte, error) {
	set := map[string]any{"model": model, "stream": stream}
	if !stream {
		// Engines refuse stream options for an answer that is not streamed.
		set["stream_options"] = nil
	}
	return replace(body, set)
}

// replace sets fields; a nil value removes the field.
func replace(object []byte, set map[string]any) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, fmt.Errorf("decode JSON object: %w", err)
	}
	if fields == nil {
		return nil, errNotAnObject
	}
	for name, value := range set {
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
