package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// readBody reads a body of at most maxBodyBytes. Each read that returns data counts as
// progress.
func (c *completion) readBody(body io.Reader) ([]byte, error) {
	return backend.ReadBody(body, c.client.BufferQuota, maxBodyBytes, c.resetSilenceTimer)
}

// readWhole reads a response that is not streamed and checks that it is complete.
func (c *completion) readWhole(parent context.Context, response *backend.Response) (request.Response, *verdict.Error) {
	body, err := c.readBody(response.Body)
	if err != nil {
		return request.Response{}, c.lostResponseError(parent, true, err)
	}
	if failure := c.checkPart(body); failure != nil {
		return request.Response{}, failure
	}
	if !c.isFinished() {
		return request.Response{}, c.incompleteError("response has no finish reason")
	}
	body, err = engineapi.ReplaceModel(body, c.grant.Instance.String(), c.request.Adapter.String())
	if err != nil {
		return request.Response{}, c.incompleteError(err.Error())
	}
	return request.Response{Status: response.StatusCode, ContentType: contentTypeJSON, Body: body}, nil
}

// readStream delivers the chunks of a stream until its closing mark.
func (c *completion) readStream(parent context.Context, response *backend.Response) (request.Response, *verdict.Error) {
	next := c.firstPosition()
	events := engineapi.NewEventReader(response.Body, c.reservation(), c.reservation())
	defer events.Close()
	events.Progress = c.resetSilenceTimer
	for {
		event, err := events.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return request.Response{}, c.incompleteError("stream ended without a closing mark")
			}
			return request.Response{}, c.lostResponseError(parent, true, err)
		}
		if string(event.Data) == engineapi.Done {
			if !c.isFinished() {
				return request.Response{}, c.incompleteError("stream closed before every choice had a finish reason")
			}
			return request.Response{Status: response.StatusCode, ContentType: engineapi.EventStreamType, Chunks: c.chunksDelivered}, nil
		}
		if failure := c.checkPart(event.Data); failure != nil {
			return request.Response{}, failure
		}
		if event.Position != next {
			return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendRefused, nil,
				"engine %s: chunk has position %d, expected %d", c.grant.Engine, event.Position, next)
		}
		if failure := c.deliver(event); failure != nil {
			return request.Response{}, failure
		}
		next++
	}
}

// reservation returns a reservation for one buffer of the response.
func (c *completion) reservation() *buffering.Reservation {
	return &buffering.Reservation{Quota: c.client.BufferQuota}
}

// deliver writes a chunk to the sink unless the caller already has it.
func (c *completion) deliver(event engineapi.Event) *verdict.Error {
	if event.Position < c.chunksDelivered {
		return nil
	}
	data, err := engineapi.ReplaceModel(event.Data, c.grant.Instance.String(), c.request.Adapter.String())
	if err != nil {
		return c.incompleteError(err.Error())
	}
	// Time that the caller takes to receive the chunk does not count as silence of the
	// engine.
	c.silenceTimer.Stop()
	defer c.resetSilenceTimer()
	if err := c.sink.WriteChunk(request.Chunk{Position: event.Position, Data: data}); err != nil {
		return verdict.NewMayHaveRun(verdict.CodeCanceled, err, "write chunk to caller")
	}
	c.chunksDelivered++
	return nil
}

// checkPart verifies that a response or chunk comes from the instance of the grant, and
// records its finish reasons.
func (c *completion) checkPart(data []byte) *verdict.Error {
	var part engineapi.Completion
	if err := json.Unmarshal(data, &part); err != nil {
		return verdict.NewMayHaveRun(verdict.CodeBackendRefused, err, "engine %s: response is not valid JSON", c.grant.Engine)
	}
	if part.Error != nil {
		return verdict.NewMayHaveRun(unprovenCode(part.Error.Code), nil, "engine %s: run ended with code %q: %s",
			c.grant.Engine, part.Error.Code, part.Error.Message)
	}
	if part.Model != c.instance {
		return verdict.NewMayHaveRun(verdict.CodeWrongInstance, nil, "engine %s: response has instance %q, expected %q",
			c.grant.Engine, part.Model, c.instance)
	}
	for _, choice := range part.Choices {
		if choice.FinishReason != nil {
			c.hasFinishReason = true
			delete(c.unfinished, choice.Index)
			continue
		}
		c.unfinished[choice.Index] = true
	}
	return nil
}

// isFinished reports whether every choice that was seen has its finish reason, and at
// least one was seen.
func (c *completion) isFinished() bool {
	return c.hasFinishReason && len(c.unfinished) == 0
}

// incompleteError returns the error of a response that ended before it was complete.
func (c *completion) incompleteError(reason string) *verdict.Error {
	return verdict.NewMayHaveRun(verdict.CodeIncomplete, nil, "engine %s: %s", c.grant.Engine, reason)
}
