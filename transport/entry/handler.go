package entry

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/persimmonmux/persimmonmux/protocol/chat"
	"github.com/persimmonmux/persimmonmux/protocol/refusal"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/inbound"
)

const contentTypeJSON = "application/json"

// completions handles POST /v1/chat/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	s.handleRequest(w, r, s.readCompletionRequest)
}

// A requestReader reads the parts of a request that depend on its route into req.
type requestReader func(w http.ResponseWriter, r *http.Request, req *request.Request, index *configurationIndex) *verdict.Error

// handleRequest reads a request with read and dispatches it, or refuses it.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request, read requestReader) {
	req, index, failure := s.newRequest(r)
	if failure == nil {
		failure = read(w, r, req, index)
	}
	if failure != nil {
		inbound.CloseIfUnread(w, r)
		s.refuse(w, idOf(req), failure)
		return
	}
	s.dispatch(w, r, req)
}

// readCompletionRequest reads the body of a chat completion into req and sets the
// adapter, the stream flag and the body.
func (s *Server) readCompletionRequest(w http.ResponseWriter, r *http.Request, req *request.Request, index *configurationIndex) *verdict.Error {
	body, failure := s.readBody(w, r)
	if failure != nil {
		return failure
	}
	call, err := chat.DecodeCompletionRequest(body)
	if err != nil {
		return verdict.NewNotRun(verdict.CodeMalformed, "%v", err)
	}
	if call.Stream && !req.Repeatable() {
		// The outcome of a request that may not be repeated is recorded before the
		// caller gets any part of the response, so the response cannot be streamed.
		return verdict.NewNotRun(verdict.CodeMalformed, "stream: requests of kind %s may not be repeated and are not streamed", req.Kind.Name)
	}
	reference, err := fleet.ParseAdapterReference(call.Model)
	if err != nil {
		return verdict.NewNotRun(verdict.CodeUnknownAdapter, "model: %v", err)
	}
	exact, ok := index.resolveAdapter(reference)
	if !ok {
		return verdict.NewNotRun(verdict.CodeUnknownAdapter, "model: adapter %s is not configured", reference)
	}
	req.Adapter, req.Stream, req.Body = exact, call.Stream, body
	return nil
}

// service handles a request to a plain service, below /services/.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	s.handleRequest(w, r, s.readServiceRequest)
}

// readServiceRequest reads the path and body of a request to a plain service into
// req.
func (s *Server) readServiceRequest(w http.ResponseWriter, r *http.Request, req *request.Request, index *configurationIndex) *verdict.Error {
	name := configuration.ServiceName(chi.URLParam(r, "service"))
	if _, ok := index.configuration.Services[name]; !ok {
		return verdict.NewNotRun(verdict.CodeUnknownService, "service %q is not configured", name)
	}
	path, failure := servicePath(r)
	if failure != nil {
		return failure
	}
	body, failure := s.readBody(w, r)
	if failure != nil {
		return failure
	}
	req.Service, req.Path, req.Body = name, path, body
	return nil
}

// models handles GET /v1/models: it lists all versions of all adapters.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	index, _, failure := s.authenticate(r)
	if failure != nil {
		s.refuse(w, "", failure)
		return
	}
	s.respond(w, http.StatusOK, contentTypeJSON, index.models())
}

// model handles GET /v1/models/{model} for one adapter version. A name without a
// version means the current version.
func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	index, _, failure := s.authenticate(r)
	if failure != nil {
		s.refuse(w, "", failure)
		return
	}
	text, err := url.PathUnescape(chi.URLParam(r, "model"))
	if err != nil {
		s.refuse(w, "", verdict.NewNotRun(verdict.CodeMalformed, "path: %v", err))
		return
	}
	reference, err := fleet.ParseAdapterReference(text)
	if err != nil {
		s.refuse(w, "", verdict.NewNotRun(verdict.CodeUnknownAdapter, "%v", err))
		return
	}
	exact, ok := index.resolveAdapter(reference)
	if !ok {
		s.refuse(w, "", verdict.NewNotRun(verdict.CodeUnknownAdapter, "adapter %s is not configured", reference))
		return
	}
	encoded, err := json.Marshal(chat.NewModel(exact.String()))
	if err != nil {
		s.refuse(w, "", verdict.FromError(err))
		return
	}
	s.respond(w, http.StatusOK, contentTypeJSON, encoded)
}

// dispatch runs the request and writes the response to the caller.
func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, req *request.Request) {
	w.Header()[HeaderRequestID] = []string{string(req.ID)}
	out := &stream{server: s, writer: w, control: http.NewResponseController(w)}
	response, err := s.Dispatcher.Dispatch(r.Context(), req, out)
	failure := verdict.FromError(err)
	switch {
	case failure != nil && out.responseStarted:
		out.fail(failure, req.ID)
	case failure != nil:
		s.refuse(w, req.ID, failure)
	case out.responseStarted || req.Stream && len(response.Body) == 0:
		out.finish()
	default:
		s.writeResponse(w, response)
	}
}

// writeResponse writes the response of a request that has run.
func (s *Server) writeResponse(w http.ResponseWriter, response request.Response) {
	if response.Replayed {
		w.Header()[HeaderReplayed] = []string{"true"}
	}
	w.Header()[HeaderVerdict] = []string{string(verdict.Ran)}
	s.respond(w, orDefault(response.Status, http.StatusOK), orDefault(response.ContentType, contentTypeJSON), response.Body)
}

// refuse writes a refusal with the HTTP status that belongs to its code. The id is
// empty if it is not known.
func (s *Server) refuse(w http.ResponseWriter, id fleet.RequestID, failure *verdict.Error) {
	s.refuseWithStatus(w, refusal.Status(failure.Code), id, failure)
}

// refuseWithStatus writes a refusal with the given HTTP status.
func (s *Server) refuseWithStatus(w http.ResponseWriter, status int, id fleet.RequestID, failure *verdict.Error) {
	header := w.Header()
	if id != "" {
		header[HeaderRequestID] = []string{string(id)}
	}
	header[HeaderVerdict] = []string{string(failure.Verdict)}
	if seconds := refusal.RetryAfter(failure); seconds > 0 {
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	s.respond(w, status, contentTypeJSON, refusal.Encode(failure, id))
}

// respond writes the status, the headers and a whole body within the write
// timeout.
func (s *Server) respond(w http.ResponseWriter, status int, contentType string, body []byte) {
	s.setWriteDeadline(w)
	header := w.Header()
	header["Content-Type"] = []string{contentType}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	w.WriteHeader(status)
	// The error is ignored: it means that the caller has disconnected, and net/http
	// closes the connection.
	_, _ = w.Write(body)
}

// setWriteDeadline lets the next write fail after the write timeout. The error is
// ignored: it means that the writer supports no deadlines, as in some tests.
func (s *Server) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.writeTimeout()))
}

// idOf returns the id of a request, or the empty id if req is nil because the
// request was refused before its id was read.
func idOf(req *request.Request) fleet.RequestID {
	if req == nil {
		return ""
	}
	return req.ID
}
