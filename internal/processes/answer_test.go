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

// maxLineSize bounds a line of a stream, in bytes.
const maxLineSize = 1 << 20

// completionRequest returns the body of a chat completion request for an engine.
func completionRequest(r *request, stream bool) engineapi.CompletionRequest {
	return engineapi.CompletionRequest{
		Model: r.adapter.String(), Stream: stream, MaxTokens: r.length,
		Messages: []engineapi.Message{{Role: "user", Content: r.name}},
	}
}

// maxEpoch is higher than the epochs that leases reach in the tests.
const maxEpoch = 64

// isWholeAnswer reports whether the text is the whole answer that the stand-in
// engine gives to the request on an instance of its adapter version. The answer
// depends on the epoch of the instance, which callers do not see, so it tries all
// epochs up to maxEpoch. The id is that of the run.
func isWholeAnswer(text string, r *request, id string) bool {
	for epoch := range fleet.Epoch(maxEpoch) {
		instance := fleet.Instance{Adapter: r.adapter, Epoch: epoch + 1}
		whole := engine.Text{Request: id, Instance: instance.String(), Prompt: "user: " + r.name + "\n", Length: r.length}
		if strings.HasPrefix(text, whole.Word(0)) {
			return text == whole.String()
		}
	}
	return false
}

// sendStream makes one attempt of a streaming request.
func (c *caller) sendStream(ctx context.Context, h *entryHost, r *request) attempt {
	id := uuid.Must(uuid.NewV7()).String()
	response, err := c.post(ctx, h, "/v1/chat/completions", "chat", id, completionRequest(r, true))
	if err != nil {
		return unansweredAttempt(err)
	}
	defer response.Body.Close() //nolint:errcheck // The body is read or given up.
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return unansweredAttempt(err)
		}
		return refusedAttempt(response.StatusCode, body)
	}
	return c.readStream(response.Body, r)
}

// readStream reads the events of a stream to its end and checks the answer.
func (c *caller) readStream(body io.Reader, r *request) attempt {
	reader := chat.NewEventReader(body, maxLineSize)
	var text strings.Builder
	id, model, finished := "", "", false
	for {
		data, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return attempt{verdict: verdict.MayHaveRun, code: verdict.CodeIncomplete, detail: "stream without closing mark"}
		}
		if err != nil {
			return unansweredAttempt(err)
		}
		if string(data) == chat.Done {
			break
		}
		if detail, ok := refusal.Decode(data); ok {
			return attempt{verdict: detail.Verdict, code: detail.Code, detail: "in the stream: " + detail.Message}
		}
		var chunk engineapi.Completion
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].Delta == nil {
			return c.addViolation(r, "chunk %q cannot be decoded or has not exactly one delta: %v", data, err)
		}
		if model != "" && chunk.Model != model {
			return c.addViolation(r, "stream changes its model from %s to %s", model, chunk.Model)
		}
		// The entry host chooses the id of the run. checkAnswer checks that the
		// text belongs to this run.
		if id != "" && chunk.ID != id {
			return c.addViolation(r, "stream changes its run from %s to %s", id, chunk.ID)
		}
		id = chunk.ID
		if model == "" && r.firstChunk != nil && len(r.attempts) == 0 {
			close(r.firstChunk)
		}
		model = chunk.Model
		text.WriteString(chunk.Choices[0].Delta.Content)
		finished = finished || chunk.Choices[0].FinishReason != nil
	}
	if !finished {
		return c.addViolation(r, "stream ends without a finish reason")
	}
	return c.checkAnswer(r, id, model, text.String())
}

// sendEngineBooking makes one attempt of a booking on an engine.
func (c *caller) sendEngineBooking(ctx context.Context, h *entryHost, r *request) attempt {
	body, outcome := c.postAndRead(ctx, h, "/v1/chat/completions", "booking", r.id, completionRequest(r, false))
	if outcome.verdict != "" {
		return outcome
	}
	var answer engineapi.Completion
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Message == nil {
		return c.addViolation(r, "answer %q cannot be decoded or has not exactly one message: %v", body, err)
	}
	if answer.ID != r.runID() {
		return c.addViolation(r, "answer belongs to run %s", answer.ID)
	}
	return c.checkAnswer(r, r.runID(), answer.Model, answer.Choices[0].Message.Content)
}

// checkAnswer checks that an answer is whole and comes from the run with the id on
// the requested adapter version.
func (c *caller) checkAnswer(r *request, id string, model, text string) attempt {
	if model != r.adapter.String() {
		return c.addViolation(r, "requested %s, answer is from %s", r.adapter, model)
	}
	if !isWholeAnswer(text, r, id) {
		return c.addViolation(r, "text of %d bytes is not the whole answer of %s", len(text), r.adapter)
	}
	return attempt{verdict: verdict.Ran}
}

// sendServiceBooking makes one attempt of a booking on a plain service.
func (c *caller) sendServiceBooking(ctx context.Context, h *entryHost, r *request) attempt {
	body, outcome := c.postAndRead(ctx, h, "/services/ledger/book", "booking", r.id, r.name)
	if outcome.verdict != "" {
		return outcome
	}
	var answer service.Response
	if err := json.Unmarshal(body, &answer); err != nil {
		return c.addViolation(r, "answer %q cannot be decoded: %v", body, err)
	}
	sent, _ := json.Marshal(r.name)
	if answer.Request != r.id || answer.Body != string(sent) || answer.Path != "/book" || answer.Method != http.MethodPost {
		return c.addViolation(r, "answer belongs to another request: %s", body)
	}
	return attempt{verdict: verdict.Ran}
}
