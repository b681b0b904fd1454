package entry

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// The headers of the project.
const (
	HeaderKind      = "Persimmonmux-Kind"
	HeaderCaller    = "Persimmonmux-Caller"
	HeaderRequestID = "Persimmonmux-Request-Id"
	HeaderTimeout   = "Persimmonmux-Timeout-Ms"
	// HeaderVerdict is on every answer but a stream, whose verdict is not known
	// when its headers are sent.
	HeaderVerdict = "Persimmonmux-Verdict"
	// HeaderReplayed is "true" on the recorded answer of an earlier try.
	HeaderReplayed = "Persimmonmux-Replayed"
)

// maxCallerLength bounds the caller's name, which is part of the key of a claim.
const maxCallerLength = 256 // bytes

// arrive builds the Request from everything but path and body. The index is that
// of the configuration in force on arrival; it stays the same for this request.
func (s *Server) arrive(r *http.Request) (*request.Request, *configurationIndex, *verdict.Error) {
	arrived := time.Now()
	x, application, failure := s.authenticate(r)
	if failure != nil {
		return nil, nil, failure
	}
	kind, failure := kindOf(r, x, application)
	if failure != nil {
		return nil, nil, failure
	}
	id, failure := requestID(r, kind)
	if failure != nil {
		return nil, nil, failure
	}
	built := &request.Request{
		ID:          id,
		Caller:      r.Header.Get(HeaderCaller),
		Application: application.Name,
		Kind:        kind,
		Method:      r.Method,
		ContentType: r.Header.Get("Content-Type"),
		Arrived:     arrived,
	}
	if built.Caller == "" {
		built.Caller = string(application.Name)
	}
	if len(built.Caller) > maxCallerLength {
		return built, nil, verdict.NewNotRun(verdict.CodeMalformed, "%s: longer than %d bytes", HeaderCaller, maxCallerLength)
	}
	if built.RunID, failure = runID(built); failure != nil {
		return built, nil, failure
	}
	patience, failure := maxWaitOf(r, kind)
	if failure != nil {
		return built, nil, failure
	}
	built.Deadline = arrived.Add(patience)
	return built, x, nil
}

// authenticate finds the application by the bearer token.
func (s *Server) authenticate(r *http.Request) (*configurationIndex, configuration.Application, *verdict.Error) {
	x := s.current()
	if x == nil {
		return nil, configuration.Application{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeNoConfiguration,
			Message: "host has no configuration yet", RetryAfter: time.Second,
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return nil, configuration.Application{}, verdict.NewNotRun(verdict.CodeUnauthorized, "Authorization: expected a bearer token")
	}
	application, ok := x.application(strings.TrimSpace(token))
	if !ok {
		return nil, configuration.Application{}, verdict.NewNotRun(verdict.CodeUnauthorized, "Authorization: the token belongs to no application")
	}
	return x, application, nil
}

func kindOf(r *http.Request, x *configurationIndex, application configuration.Application) (configuration.Kind, *verdict.Error) {
	name := configuration.KindName(r.Header.Get(HeaderKind))
	if name == "" {
		if len(application.Kinds) == 0 {
			return configuration.Kind{}, verdict.NewNotRun(verdict.CodeUnknownKind, "application %s has no kinds", application.Name)
		}
		name = application.Kinds[0]
	}
	kind, ok := x.configuration.Kinds[name]
	if !ok || !slices.Contains(application.Kinds, name) {
		return configuration.Kind{}, verdict.NewNotRun(verdict.CodeUnknownKind, "%s: application %s has no kind %q", HeaderKind, application.Name, name)
	}
	return kind, nil
}

// requestID returns the caller's id in lower case, or a new one for a request
// that may be repeated.
func requestID(r *http.Request, kind configuration.Kind) (fleet.RequestID, *verdict.Error) {
	text := r.Header.Get(HeaderRequestID)
	repeatable := kind.Repeat == configuration.RepeatAllowed
	if text == "" && repeatable {
		id, err := uuid.NewV7()
		if err != nil {
			return "", &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeInternal, Message: "request id: no random numbers", Cause: err}
		}
		return fleet.RequestID(id.String()), nil
	}
	if text == "" {
		return "", verdict.NewNotRun(verdict.CodeRequestID, "%s: missing, requests of kind %s may not be repeated and need a UUID version 7", HeaderRequestID, kind.Name)
	}
	id, err := uuid.Parse(text)
	// Parse accepts other forms of a UUID; one id must have one form.
	if err != nil || len(text) != len(id.String()) {
		return "", verdict.NewNotRun(verdict.CodeRequestID, "%s: expected a UUID with hyphens", HeaderRequestID)
	}
	if !repeatable && (id.Version() != 7 || id.Variant() != uuid.RFC4122) {
		return "", verdict.NewNotRun(verdict.CodeRequestID, "%s: expected a UUID version 7, because requests of kind %s may not be repeated", HeaderRequestID, kind.Name)
	}
	return fleet.RequestID(id.String()), nil
}

// runID returns the id towards engines. A request that may be repeated gets a
// new one, because its caller may use one id for several requests at once.
func runID(r *request.Request) (fleet.RequestID, *verdict.Error) {
	if !r.Repeatable() {
		return booking.Key{Application: r.Application, Caller: r.Caller, Request: r.ID}.RunID(), nil
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeInternal, Message: "run id: no random numbers", Cause: err}
	}
	return fleet.RequestID(id.String()), nil
}

// maxWaitOf returns how long the caller waits.
func maxWaitOf(r *http.Request, kind configuration.Kind) (time.Duration, *verdict.Error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return kind.Timeout, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 63)
	if err != nil || milliseconds == 0 {
		return 0, verdict.NewNotRun(verdict.CodeMalformed, "%s: expected a whole number of milliseconds from 1", HeaderTimeout)
	}
	if milliseconds >= uint64(kind.Timeout/time.Millisecond) {
		return kind.Timeout, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// body reads the whole body of a request.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	limit := orDefault(s.BodyLimit, DefaultBodyLimit)
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, verdict.NewNotRun(verdict.CodeTooLarge, "body: longer than %d bytes", limit)
	}
	// An error means that the connection takes no deadlines, as in some tests.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(orDefault(s.BodyTimeout, DefaultBodyTimeout)))
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		// net/http goes on reading to notice that the caller leaves; a deadline
		// would look the same.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.NewNotRun(verdict.CodeTooLarge, "body: longer than %d bytes", limit)
	}
	return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeMalformed, Message: "body: did not arrive whole in time", Cause: err}
}

// readAll reads r to its end. A known length saves the growth of the buffer.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	// The read at the end lets net/http watch for a caller that leaves.
	if _, err := r.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, nil
}

// servicePath returns the path and query at a plain service.
func servicePath(r *http.Request) (string, *verdict.Error) {
	// The first two parts are "services" and the name of the service.
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(rest, "/")
	for part := range strings.SplitSeq(path, "/") {
		if decoded, err := url.PathUnescape(part); err != nil || decoded == "." || decoded == ".." {
			return "", verdict.NewNotRun(verdict.CodeMalformed, "path: dot segments are not allowed")
		}
	}
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path, nil
}
