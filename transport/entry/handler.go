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
)

const contentTypeJSON = "application/json"

// completions answers a chat completion.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	built, x, failure := s.arrive(r)
	if failure == nil {
		failure = s.readCall(w, r, built, x)
	}
	if failure != nil {
		s.refuse(w, idOf(built), failure)
		return
	}
	s.dispatch(w, r, built)
}

// readCall fills in what the body of a chat completion says.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, built *request.Request, x *configurationIndex) *verdict.Error {
	body, failure := s.body(w, r)
	if failure != nil {
		return failure
	}
	call, err := chat.DecodeCompletionRequest(body)
	if err != nil {
		return verdict.NewNotRun(verdict.CodeMalformed, "%v", err)
	}
	if call.Stream && !built.Repeatable() {
		// Its answer reaches the caller only after its outcome is recorded.
		return verdict.NewNotRun(verdict.CodeMalformed, "stream: requests of kind %s may not be repeated and are not streamed", built.Kind.Name)
	}
	reference, err := fleet.ParseAdapterReference(call.Model)
	if err != nil {
		return verdict.NewNotRun(verdict.CodeUnknownAdapter, "model: %v", err)
	}
	exact, ok := x.adapter(reference)
	if !ok {
		return verdict.NewNotRun(verdict.CodeUnknownAdapter, "model: adapter %s is not configured", reference)
	}
	built.Adapter, built.Stream, built.Body = exact, call.Stream, body
	return nil
}

// service passes a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	built, x, failure := s.arrive(r)
	if failure == nil {
		failure = s.readServiceCall(w, r, built, x)
	}
	if failure != nil {
		s.refuse(w, idOf(built), failure)
		return
	}
	s.dispatch(w, r, built)
}

func (s *Server) readServiceCall(w http.ResponseWriter, r *http.Request, built *request.Request, x *configurationIndex) *verdict.Error {
	name := configuration.ServiceName(chi.URLParam(r, "service"))
	if _, ok := x.configuration.Services[name]; !ok {
		return verdict.NewNotRun(verdict.CodeUnknownService, "service %q is not configured", name)
	}
	path, failure := servicePath(r)
	if failure != nil {
		return failure
	}
	body, failure := s.body(w, r)
	if failure != nil {
		return failure
	}
	built.Service, built.Path, built.Body = name, path, body
	return nil
}

// models lists all adapter versions.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	x, _, failure := s.authenticate(r)
	if failure != nil {
		s.refuse(w, "", failure)
		return
	}
	s.write(w, http.StatusOK, contentTypeJSON, x.models())
}

// model answers for one adapter version; a name alone means the current one.
func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	x, _, failure := s.authenticate(r)
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
	exact, ok := x.adapter(reference)
	if !ok {
		s.refuse(w, "", verdict.NewNotRun(verdict.CodeUnknownAdapter, "adapter %s is not configured", reference))
		return
	}
	encoded, err := json.Marshal(chat.NewModel(exact.String()))
	if err != nil {
		s.refuse(w, "", verdict.FromError(err))
		return
	}
	s.write(w, http.StatusOK, contentTypeJSON, encoded)
}

// dispatch runs the request and answers the caller.
func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, built *request.Request) {
	w.Header()[HeaderRequestID] = []string{string(built.ID)}
	out := &stream{server: s, writer: w, control: http.NewResponseController(w)}
	answer, err := s.Dispatcher.Dispatch(r.Context(), built, out)
	failure := verdict.FromError(err)
	switch {
	case failure != nil && out.started:
		out.fail(failure, built.ID)
	case failure != nil:
		s.refuse(w, built.ID, failure)
	case out.started || built.Stream && len(answer.Body) == 0:
		out.finish()
	default:
		s.answer(w, answer)
	}
}

// answer writes a whole answer.
func (s *Server) answer(w http.ResponseWriter, answer request.Response) {
	if answer.Replayed {
		w.Header()[HeaderReplayed] = []string{"true"}
	}
	w.Header()[HeaderVerdict] = []string{string(verdict.Ran)}
	s.write(w, orDefault(answer.Status, http.StatusOK), orDefault(answer.ContentType, contentTypeJSON), answer.Body)
}

// refuse writes a refusal with the status of its code.
func (s *Server) refuse(w http.ResponseWriter, id fleet.RequestID, failure *verdict.Error) {
	s.refuseAs(w, refusal.Status(failure.Code), id, failure)
}

func (s *Server) refuseAs(w http.ResponseWriter, status int, id fleet.RequestID, failure *verdict.Error) {
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
	s.write(w, status, contentTypeJSON, refusal.Encode(failure, id))
}

// write writes a whole answer within the write timeout.
func (s *Server) write(w http.ResponseWriter, status int, contentType string, body []byte) {
	s.limitWrite(w)
	header := w.Header()
	header["Content-Type"] = []string{contentType}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	w.WriteHeader(status)
	// A failed write means that the caller is gone; net/http closes the connection.
	_, _ = w.Write(body)
}

// limitWrite gives the next write its time. An error means that the writer
// takes no deadlines, as in some tests.
func (s *Server) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.writeTimeout()))
}

// idOf returns the id of a request that may be unknown yet.
func idOf(built *request.Request) fleet.RequestID {
	if built == nil {
		return ""
	}
	return built.ID
}
