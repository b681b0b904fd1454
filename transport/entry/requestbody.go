package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

// fullRetryDelay is the time after which a caller should send a request again for which the host has
// no room.
const fullRetryDelay = time.Second

// readBody reads the whole body of a request within the body limit and timeout.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	limit := orDefault(s.BodyLimit, DefaultBodyLimit)
	body, err := inbound.ReadBody(w, r, inbound.Limits{MaxBytes: limit, Timeout: orDefault(s.BodyTimeout, DefaultBodyTimeout)})
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, inbound.ErrBodyTooLarge):
		return nil, verdict.NewNotRun(verdict.CodeTooLarge, "body: longer than %d bytes", limit)
	case errors.Is(err, buffering.ErrFull), errors.Is(err, buffering.ErrInterrupted):
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Message: "host has no room for the body", Cause: err, RetryAfter: fullRetryDelay}
	default:
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "body: did not arrive whole in time", Cause: err}
	}
}
