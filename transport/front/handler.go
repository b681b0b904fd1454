package front

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

// serve handles one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.headerTooLarge(r) {
		inbound.CloseIfUnread(w, r)
		writeStatus(w, http.StatusRequestHeaderFieldsTooLarge, 0)
		return
	}
	request := &forward.Request{
		AttemptID:   r.Header.Get(platform.HeaderAttemptID),
		Host:        hostOf(r.Host),
		Path:        rawPath(r.RequestURI),
		Adapter:     platform.DecodeModel(r.Header.Get(platform.HeaderModel)),
		LastEventID: r.Header.Get(platform.HeaderLastEventID),
		Arrived:     arrived,
	}
	request.Key, request.HasKey = platform.DecodeKey(r.Header)
	maxWait, hasValidWait := decodeMaxWait(r.Header.Get(platform.HeaderRemainingTime))
	request.MaxWait = maxWait
	if failure := s.Forwarder.Authorize(r.Context(), request); failure != nil {
		inbound.CloseIfUnread(w, r)
		writeFailure(w, failure)
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	if s.refusing.Load() {
		// Too little time may be left for an answer.
		writeStatus(w, http.StatusServiceUnavailable, stopRetryDelay)
		return
	}
	request.PromptTokens, request.MaxOutputTokens = platform.DecodeTokenCounts(r.Header.Get(platform.HeaderTokenCounts))
	request.ContentID = contentID(r, body)
	request.PromptParts = platform.DecodeSharedPromptParts(r.Header.Get(platform.HeaderPromptPrefix))
	if !hasValidWait {
		writeStatus(w, http.StatusBadRequest, 0)
		return
	}
	exchange := &exchange{server: s, writer: w, request: r, body: body, lastEventID: request.LastEventID}
	err := s.Forwarder.Forward(r.Context(), request, exchange)
	if err == nil {
		return
	}
	if errors.Is(err, forward.ErrClientGone) || exchange.responseStarted {
		// Closing the connection shows the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	writeFailure(w, verdict.FromError(err))
}

// decodeMaxWait returns how long the caller waits, or 0 if it did not say, and whether the
// value is valid.
func decodeMaxWait(text string) (maxWait time.Duration, isValid bool) {
	if text == "" {
		return 0, true
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// writeFailure writes the response to a request that has failed without one.
func writeFailure(w http.ResponseWriter, failure *verdict.Error) {
	status := statusOf(failure)
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", platform.KeyScheme)
	}
	writeStatus(w, status, failure.RetryAfter)
}

// statusOf returns the HTTP status of a failure. Status 503 is used only for a
// request that has not run, so that the caller may send it again.
func statusOf(failure *verdict.Error) int {
	switch {
	case failure.Verdict == verdict.NotRun && failure.Code == verdict.CodeUnknownName:
		return http.StatusNotFound
	case failure.Verdict == verdict.NotRun && failure.Code == verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case failure.Verdict == verdict.NotRun && failure.Code == verdict.CodeQuotaExceeded:
		return http.StatusTooManyRequests
	case failure.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case failure.Code == verdict.CodeDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeStatus writes a response without a body. retryAfter is sent with status 503 and
// 429 only, and if it is more than 0.
func writeStatus(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Length", "0")
	// Without a deadline a write still ends with the connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	w.WriteHeader(status)
}

// contentID returns a hash of what is the same in all copies of a request.
func contentID(r *http.Request, body []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + " " + r.RequestURI + "\x00" + r.Header.Get(platform.HeaderPromptPrefix) + "\x00")
	_, _ = digest.Write(body)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// hostOf returns the value of a Host header in lower case and without the port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// rawPath returns the path of a request target as it was sent, still escaped and
// without the query.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
