package entry

import (
	"net/http"
	"time"

	"github.com/persimmonmux/persimmonmux/protocol/chat"
	"github.com/persimmonmux/persimmonmux/protocol/refusal"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// A stream is the dispatch.Sink that sends chunks to a caller as server-sent
// events. Only the goroutine of its request uses it.
type stream struct {
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController
	// responseStarted reports whether the status and the headers were sent.
	responseStarted bool
	// buffer is reused to encode each event.
	buffer []byte
}

// WriteChunk writes one chunk as an event. An error means that the caller has
// disconnected or reads too slowly.
func (s *stream) WriteChunk(chunk request.Chunk) error {
	return s.writeEvent(chunk.Data)
}

// writeEvent writes and flushes one event within the write timeout. The first event
// sends the status and the headers before it.
func (s *stream) writeEvent(data []byte) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.server.writeTimeout())); err != nil {
		return err
	}
	if !s.responseStarted {
		s.responseStarted = true
		header := s.writer.Header()
		header["Content-Type"] = []string{chat.EventStreamType}
		header["Cache-Control"] = []string{"no-cache"}
		s.writer.WriteHeader(http.StatusOK)
	}
	s.buffer = chat.AppendEvent(s.buffer[:0], data)
	if _, err := s.writer.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

// finish ends a complete stream with the [DONE] event.
func (s *stream) finish() {
	// The error is ignored: it means that the caller has disconnected.
	_ = s.writeEvent([]byte(chat.Done))
}

// fail ends a stream with an error event and without the [DONE] event, so that the
// caller cannot mistake the stream for a complete one.
func (s *stream) fail(failure *verdict.Error, id fleet.RequestID) {
	// The error is ignored: it means that the caller has disconnected.
	_ = s.writeEvent(refusal.Encode(failure, id))
}
