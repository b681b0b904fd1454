package answer

import (
	"net/http"
	"slices"
)

// Names are the names of the headers that a protocol has for parts of an answer; empty for parts that
// it does not have.
type Names struct {
	ID, Statement, Receipt, Server string
}

// platformNames are those of the users' platform.
var platformNames = Names{ID: "X-Attempt-Id", Statement: "X-Not-Executed", Receipt: "X-Response-Signature", Server: "X-Instance-Id"}

// A Request is what a form depends on of the request that it answers.
type Request struct {
	Names Names
	ID    string
	// ExpectedServer is the server that the request is for.
	ExpectedServer string
	// HasModel says that the request is for a model.
	HasModel bool
	// OnReusedConnection says that its connection has carried an earlier request.
	OnReusedConnection bool
	// Decided is closed once the caller has decided on the answer. A late sequel follows then, or
	// after lateDelay if Decided is nil.
	Decided <-chan struct{}
}

// NewRequest returns the Request of a message.
func NewRequest(r *http.Request, onReusedConnection bool) Request {
	return Request{
		Names: platformNames, ID: r.Header.Get("X-Attempt-Id"), ExpectedServer: r.Header.Get("X-Expect-Instance"),
		HasModel: r.Header.Get("X-Model") != "", OnReusedConnection: onReusedConnection,
	}
}

// IsRefusal reports whether the form is that of a sound server that has not run the request. The
// users' pages say how such a server answers; with any other form the request may have run.
func (f Form) IsRefusal(r Request) bool {
	return f.Head == SoundHead && !f.IsEarly() && f.hasRefusalStatus(r) && f.namesRequest(r) && f.namesServer(r) && f.hasRefusalBody() && f.isAlone()
}

// hasRefusalStatus reports whether the status is one of refusals and the answer states that the
// request did not run. Status 421 does so by itself.
func (f Form) hasRefusalStatus(r Request) bool {
	isStated := f.Statement == Stated || f.Statement == StatedInWords
	switch f.Status {
	case http.StatusMisdirectedRequest:
		return isStated || f.Statement == NotStated
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return isStated
	case http.StatusBadRequest:
		return isStated && r.ID == ""
	}
	return false
}

// namesRequest reports whether the answer belongs to the request. On a connection that has carried
// another one, only the id tells.
func (f Form) namesRequest(r Request) bool {
	return f.ID == OwnID || f.ID == NoID && !r.OnReusedConnection
}

// namesServer reports whether the server that the answer names would refuse the request.
func (f Form) namesServer(r Request) bool {
	switch f.Server {
	case ExpectedServer:
		return f.Status != http.StatusMisdirectedRequest || r.HasModel
	case OtherServer:
		return f.Status == http.StatusMisdirectedRequest
	case NoServer:
		return true
	}
	return false
}

// hasRefusalBody reports whether the answer has neither a receipt nor a result, and is whole.
func (f Form) hasRefusalBody() bool {
	return f.Receipt == NoReceipt && f.ContentType != "text/event-stream" && f.Encoding == "" &&
		slices.Contains([]Framing{Length, Chunks, UntilEnd}, f.Framing)
}

// isAlone reports whether nothing follows the answer as long as its caller can tell. Nothing can
// follow one that ends with its connection.
func (f Form) isAlone() bool {
	return f.Framing == UntilEnd || !slices.Contains([]Sequel{Garbage, Copy, Success}, f.Sequel)
}
