package backend

import (
	"io"
	"net/http"
	"strings"
)

// eventStreamType is the media type of streams of events.
const eventStreamType = "text/event-stream"

// IsEventStream reports whether a content type is that of a stream. Media types have no case,
// and parameters may follow.
func IsEventStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), eventStreamType)
}

// HasResult reports whether the header is that of an answer with the result of a run, which no
// refusal has: a stream, or an encoded body.
func HasResult(header http.Header) bool {
	return IsEventStream(header.Get("Content-Type")) || len(header.Values("Content-Encoding")) > 0
}

// A Response is the response to a request of a Client. Its body has to be closed.
type Response struct {
	*http.Response

	// connection is nil if it is none that the Client has opened.
	connection *countingConn
	isReused   bool
}

// OnReusedConnection reports whether the connection carried an earlier request, to which a
// response without an id may belong.
func (r *Response) OnReusedConnection() bool { return r.isReused }

// Retire keeps the connection from carrying another request. It is closed with the body, which
// Retire replaces. It is called before the body is read, because net/http may use the connection
// again after that.
func (r *Response) Retire() {
	if r.connection == nil {
		return
	}
	r.connection.retire()
	r.Body = retiredBody{ReadCloser: r.Body, connection: r.connection}
}

// HasFurtherInput reports whether bytes have arrived after the response, whose body must have been
// read to its end. An answer to HEAD has no body to tell them from.
func (r *Response) HasFurtherInput() bool {
	if r.connection == nil || r.Request.Method == http.MethodHead {
		return false
	}
	return r.connection.bytesAfter(r.ContentLength) > 0
}

// A retiredBody closes its connection when it is closed.
type retiredBody struct {
	io.ReadCloser

	connection *countingConn
}

// Close closes the body and the connection.
func (b retiredBody) Close() error {
	err := b.ReadCloser.Close()
	_ = b.connection.Close()
	return err
}
