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

// A stream passes chunks to a caller as server-sent events. It is used by the
// goroutine of its request only.
type stream struct {
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController
	// started says that the status and headers are sent.
	started bool
	buffer  []byte
}

// WriteChunk writes one event. An error means that the caller is gone or reads too slowly.
func (s *stream) WriteChunk(chunk request.Chunk) error {
	return s.event(chunk.Data)
}

func (s *stream) event(data []byte) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.server.writeTimeout())); err != nil {
		return err
	}
	if !s.started {
		s.started = true
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

// finish closes a whole stream with its closing mark.
func (s *stream) finish() {
	// A failed write means that the caller is gone.
	_ = s.event([]byte(chat.Done))
}

// fail ends a stream with an error event and without closing mark, so that the
// caller cannot take it for whole.
func (s *stream) fail(failure *verdict.Error, id fleet.RequestID) {
	// A failed write means that the caller is gone.
	_ = s.event(refusal.Encode(failure, id))
}
