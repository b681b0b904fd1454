//go:build processes && linux

package processes_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/protocol/chat"
	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/protocol/refusal"
	"github.com/persimmonmux/persimmonmux/standin/engine"
	"github.com/persimmonmux/persimmonmux/standin/service"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// longestLine bounds a line of a stream.
const longestLine = 1 << 20 // bytes

// completion returns the body of a request to an engine.
func completion(r *request, stream bool) engineapi.CompletionRequest {
	return engineapi.CompletionRequest{
		Model: r.adapter.String(), Stream: stream, MaxTokens: r.length,
		Messages: []engineapi.Message{{Role: "user", Content: r.name}},
	}
}

// highestEpoch is more than any epoch of a test.
const highestEpoch = 64

// answers says whether an engine gives the text for a request on some instance
// of the adapter version. Callers are not told the epoch of the instance.
func answers(text string, r *request, id string) bool {
	for epoch := range fleet.Epoch(highestEpoch) {
		instance := fleet.Instance{Adapter: r.adapter, Epoch: epoch + 1}
		whole := engine.Text{Request: id, Instance: instance.String(), Prompt: "user: " + r.name + "\n", Length: r.length}
		if strings.HasPrefix(text, whole.Word(0)) {
			return text == whole.String()
		}
	}
	return false
}

// stream makes one try of a stream.
func (c *caller) stream(ctx context.Context, h *entryHost, r *request) try {
	id := uuid.Must(uuid.NewV7()).String()
	response, err := c.post(ctx, h, "/v1/chat/completions", "chat", id, completion(r, true))
	if err != nil {
		return lost(err)
	}
	defer response.Body.Close() //nolint:errcheck // The body is read or given up.
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return lost(err)
		}
		return refused(response.StatusCode, body)
	}
	return c.readStream(response.Body, r)
}

func (c *caller) readStream(body io.Reader, r *request) try {
	reader := chat.NewEventReader(body, longestLine)
	var text strings.Builder
	id, named, finished := "", "", false
	for {
		data, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return try{verdict: verdict.MayHaveRun, code: verdict.CodeIncomplete, detail: "stream without closing mark"}
		}
		if err != nil {
			return lost(err)
		}
		if string(data) == chat.Done {
			break
		}
		if detail, ok := refusal.Decode(data); ok {
			return try{verdict: detail.Verdict, code: detail.Code, detail: "in the stream: " + detail.Message}
		}
		var chunk engineapi.Completion
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Delta == nil {
			return c.fail(r, "chunk %q: not understood: %v", data, err)
		}
		if named != "" && chunk.Model != named {
			return c.fail(r, "stream goes on from %s to %s", named, chunk.Model)
		}
		// The id of the run is the entry host's; the text shows whose run it is.
		if id != "" && chunk.ID != id {
			return c.fail(r, "stream goes on from run %s to %s", id, chunk.ID)
		}
		id = chunk.ID
		if named == "" && r.flowing != nil && len(r.tries) == 0 {
			close(r.flowing)
		}
		named = chunk.Model
		text.WriteString(chunk.Choices[0].Delta.Content)
		finished = finished || chunk.Choices[0].FinishReason != nil
	}
	if !finished {
		return c.fail(r, "stream is closed without a finish reason")
	}
	return c.checkText(r, id, named, text.String())
}

// bookEngine makes one try of a booking on an engine.
func (c *caller) bookEngine(ctx context.Context, h *entryHost, r *request) try {
	body, outcome := c.whole(ctx, h, "/v1/chat/completions", "booking", r.id, completion(r, false))
	if outcome.verdict != "" {
		return outcome
	}
	var answer engineapi.Completion
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Message == nil {
		return c.fail(r, "answer %q: not understood: %v", body, err)
	}
	if answer.ID != r.run() {
		return c.fail(r, "answer of run %s", answer.ID)
	}
	return c.checkText(r, r.run(), answer.Model, answer.Choices[0].Message.Content)
}

// checkText checks that an answer is whole and comes from the adapter version
// that was asked for.
func (c *caller) checkText(r *request, id string, named, text string) try {
	if named != r.adapter.String() {
		return c.fail(r, "asked for %s and was answered by %s", r.adapter, named)
	}
	if !answers(text, r, id) {
		return c.fail(r, "text of %d bytes is not the whole answer of %s", len(text), r.adapter)
	}
	return try{verdict: verdict.Ran}
}

// bookService makes one try of a booking on a plain service.
func (c *caller) bookService(ctx context.Context, h *entryHost, r *request) try {
	body, outcome := c.whole(ctx, h, "/services/ledger/book", "booking", r.id, r.name)
	if outcome.verdict != "" {
		return outcome
	}
	var answer service.Response
	if err := json.Unmarshal(body, &answer); err != nil {
		return c.fail(r, "answer %q: not understood: %v", body, err)
	}
	sent, _ := json.Marshal(r.name)
	if answer.Request != r.id || answer.Body != string(sent) || answer.Path != "/book" || answer.Method != http.MethodPost {
		return c.fail(r, "answer of another request: %s", body)
	}
	return try{verdict: verdict.Ran}
}
