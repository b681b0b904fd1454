package entry

import (
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

// The HTTP headers between callers and the entry server.
const (
	// HeaderKind names the kind of the request. Without it the first kind of the
	// application applies.
	HeaderKind = "Persimmonmux-Kind"
	// HeaderCaller names the caller on whose behalf the application sends the
	// request, in at most maxCallerBytes. Without it the name of the application
	// is used.
	HeaderCaller = "Persimmonmux-Caller"
	// HeaderRequestID is the id of the request, a UUID, which responses repeat. A
	// request that may not be repeated needs one of version 7; any other gets a new
	// id if the header is missing.
	HeaderRequestID = "Persimmonmux-Request-Id"
	// HeaderTimeoutMs is how long the caller waits, in whole milliseconds from 1. The
	// timeout of the kind is the default and the upper bound.
	HeaderTimeoutMs = "Persimmonmux-Timeout-Ms"
	// HeaderVerdict is the verdict of the request. It is set on refusals and on
	// responses of requests that ran, but not on a stream, because the verdict of a
	// stream is not known when its headers are sent.
	HeaderVerdict = "Persimmonmux-Verdict"
	// HeaderReplayed is "true" if the response was recorded for an earlier request
	// with the same id.
	HeaderReplayed = "Persimmonmux-Replayed"
)

// maxCallerBytes bounds the caller's name, because the name is part of the key
// under which a claim is stored.
const maxCallerBytes = 256

// newRequest builds a Request from the method and headers; the path and the body
// are read later. The returned index belongs to the applied configuration on
// arrival and is used for the whole request, also if the configuration changes.
func (s *Server) newRequest(r *http.Request) (*request.Request, *configurationIndex, *verdict.Error) {
	arrived := time.Now()
	index, application, failure := s.authenticate(r)
	if failure != nil {
		return nil, nil, failure
	}
	kind, failure := requestKind(r, index, application)
	if failure != nil {
		return nil, nil, failure
	}
	id, failure := requestID(r, kind)
	if failure != nil {
		return nil, nil, failure
	}
	req := &request.Request{
		ID:          id,
		Caller:      r.Header.Get(HeaderCaller),
		Application: application.Name,
		Kind:        kind,
		Method:      r.Method,
		ContentType: r.Header.Get("Content-Type"),
		Arrived:     arrived,
	}
	if req.Caller == "" {
		req.Caller = string(application.Name)
	}
	if len(req.Caller) > maxCallerBytes {
		return req, nil, verdict.NewNotRun(verdict.CodeMalformed, "%s: longer than %d bytes", HeaderCaller, maxCallerBytes)
	}
	if req.RunID, failure = runID(req); failure != nil {
		return req, nil, failure
	}
	maxWait, failure := requestTimeout(r, kind)
	if failure != nil {
		return req, nil, failure
	}
	req.Deadline = arrived.Add(maxWait)
	return req, index, nil
}

// authenticate returns the application whose bearer token the request has, and
// the index of the applied configuration.
func (s *Server) authenticate(r *http.Request) (*configurationIndex, configuration.Application, *verdict.Error) {
	index := s.currentIndex()
	if index == nil {
		return nil, configuration.Application{}, &verdict.Error{
			Verdict: verdict.NotRun, Code: verdict.CodeNoConfiguration,
			Message: "host has no configuration yet", RetryAfter: time.Second,
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return nil, configuration.Application{}, verdict.NewNotRun(verdict.CodeUnauthorized, "Authorization: expected a bearer token")
	}
	application, ok := index.applicationByToken(strings.TrimSpace(token))
	if !ok {
		return nil, configuration.Application{}, verdict.NewNotRun(verdict.CodeUnauthorized, "Authorization: the token belongs to no application")
	}
	return index, application, nil
}

// requestKind returns the kind that HeaderKind names, or the first kind of the
// application if the header is missing.
func requestKind(r *http.Request, index *configurationIndex, application configuration.Application) (configuration.Kind, *verdict.Error) {
	name := configuration.KindName(r.Header.Get(HeaderKind))
	if name == "" {
		if len(application.Kinds) == 0 {
			return configuration.Kind{}, verdict.NewNotRun(verdict.CodeUnknownKind, "application %s has no kinds", application.Name)
		}
		name = application.Kinds[0]
	}
	kind, ok := index.configuration.Kinds[name]
	if !ok || !slices.Contains(application.Kinds, name) {
		return configuration.Kind{}, verdict.NewNotRun(verdict.CodeUnknownKind, "%s: application %s has no kind %q", HeaderKind, application.Name, name)
	}
	return kind, nil
}

// requestID returns the caller's request id in lower case. If the header is
// missing, a request that may be repeated gets a new id and any other is refused.
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
	// uuid.Parse also accepts braces, a URN prefix and missing hyphens. Only one
	// form is allowed, so that equal ids are equal strings.
	if err != nil || len(text) != len(id.String()) {
		return "", verdict.NewNotRun(verdict.CodeRequestID, "%s: expected a UUID with hyphens", HeaderRequestID)
	}
	if !repeatable && (id.Version() != 7 || id.Variant() != uuid.RFC4122) {
		return "", verdict.NewNotRun(verdict.CodeRequestID, "%s: expected a UUID version 7, because requests of kind %s may not be repeated", HeaderRequestID, kind.Name)
	}
	return fleet.RequestID(id.String()), nil
}

// runID returns the id that engines and owners know the run by. A request that may
// be repeated gets a new id, because its caller may use one request id for several
// requests at once.
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

// requestTimeout returns how long the caller waits: the value of HeaderTimeoutMs, at
// most the timeout of the kind, which is also the default.
func requestTimeout(r *http.Request, kind configuration.Kind) (time.Duration, *verdict.Error) {
	text := r.Header.Get(HeaderTimeoutMs)
	if text == "" {
		return kind.Timeout, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 63)
	if err != nil || milliseconds == 0 {
		return 0, verdict.NewNotRun(verdict.CodeMalformed, "%s: expected a whole number of milliseconds from 1", HeaderTimeoutMs)
	}
	if milliseconds >= uint64(kind.Timeout/time.Millisecond) {
		return kind.Timeout, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// servicePath returns the path and query to send to a plain service: the request
// target without /services/ and the name of the service, still escaped.
func servicePath(r *http.Request) (string, *verdict.Error) {
	serviceAndPath := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, path, _ := strings.Cut(serviceAndPath, "/")
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
