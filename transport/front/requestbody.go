package front

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

const (
	// defaultMaxBodyBytes applies until the desired state sets another limit.
	defaultMaxBodyBytes = 4 << 20
	// minBodyIdleTimeout is how long no byte of a body may arrive, unless the idle timeout of the
	// desired state is longer.
	minBodyIdleTimeout = 60 * time.Second
	// fullRetryDelay is the time after which a caller should send a request again for which the host
	// has no room.
	fullRetryDelay = 500 * time.Millisecond
)

// readBody reads the whole body of a request. If it returns false, the request is refused.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	limits := inbound.Limits{MaxBytes: defaultMaxBodyBytes, IdleTimeout: max(minBodyIdleTimeout, s.currentIdleTimeout())}
	if desired := s.Views.View().Desired; desired != nil && desired.Limits.BodyBytes > 0 {
		limits.MaxBytes = int64(desired.Limits.BodyBytes)
	}
	body, err := inbound.ReadBody(w, r, limits)
	if err == nil {
		return body, true
	}
	writeStatus(w, bodyStatusOf(err), fullRetryDelay)
	return nil, false
}

// bodyStatusOf returns the status for a request whose body could not be read. The request has not
// run.
func bodyStatusOf(err error) int {
	switch {
	case errors.Is(err, inbound.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, buffering.ErrFull), errors.Is(err, buffering.ErrInterrupted):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}
