package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// streamHead returns the head of a stream that ends with its connection.
func streamHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		r.Header.Get("X-Attempt-Id"))
}

// TestStreamThatEndsInsideEventIsIncomplete guards against a stream without length and
// chunks that breaks off inside an event and reaches its caller with a part of the event
// and a clean end.
func TestStreamThatEndsInsideEventIsIncomplete(t *testing.T) {
	for _, test := range []struct {
		name, end string
		complete  bool
	}{
		{"after an event", "", true},
		{"after an empty line", "\n", true},
		{"inside a line", "id: 2\nda", false},
		{"after a line", "id: 2\ndata: b\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
				fmt.Fprint(conn, streamHead(r)+"id: 1\ndata: a\n\n"+test.end)
				return false
			})
			front := startFront(c, syncedViews(), b)
			_, body, err := sendRequest(front, "POST", "/once/x", "")
			if test.complete {
				c.Check(err, quicktest.IsNil)
				c.Check(body, quicktest.Equals, "id: 1\ndata: a\n\n"+test.end)
				return
			}
			c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(body, quicktest.Equals, "id: 1\ndata: a\n\n")
		})
	}
}

// framings are the ways in which a body can show its own end.
var framings = []struct {
	name string
	// write sends the head of a stream and its whole body.
	write func(conn net.Conn, r *http.Request, body string)
}{
	{"chunks", writeChunkedStream},
	{"length", func(conn net.Conn, r *http.Request, body string) {
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", framedStreamHead(r), len(body), body)
	}},
}

// framedStreamHead returns the head of a stream without the headers of its framing.
func framedStreamHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n", r.Header.Get("X-Attempt-Id"))
}

// writeChunkedStream sends a stream as one chunk, if it has a body, and the last chunk.
func writeChunkedStream(conn net.Conn, r *http.Request, body string) {
	text := framedStreamHead(r) + "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	fmt.Fprint(conn, text+"0\r\n\r\n")
}

// TestFramedStreamThatEndsInsideEventIsIncomplete guards against a stream that ends inside
// an event and reaches its caller as complete because its chunks or length are sound.
func TestFramedStreamThatEndsInsideEventIsIncomplete(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, framing := range framings {
		for _, end := range []string{"id: 2\nda", "id: 2\ndata: b\n"} {
			t.Run(fmt.Sprintf("%s, %q", framing.name, end), func(t *testing.T) {
				c := quicktest.New(t)
				b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
					if r.Header.Get("Last-Event-Id") == "1" {
						framing.write(conn, r, "id: 2\ndata: b\n\n")
						return true
					}
					framing.write(conn, r, "id: 1\ndata: a\n\n"+end)
					return true
				})
				front := startFront(c, syncedViews(), b)
				_, body, err := sendRequest(front, "POST", "/once/x", "")
				c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
				c.Check(body, quicktest.Equals, "id: 1\ndata: a\n\n")
				_, body, err = sendRequest(front, "POST", "/stream/x", "")
				c.Check(err, quicktest.IsNil)
				c.Check(body, quicktest.Equals, whole)
			})
		}
	}
}

// TestOtherAnswerDoesNotContinueStream guards against the answer of a second server that
// is written into a stream that had begun, and against a stream that then ends as if it
// were complete.
func TestOtherAnswerDoesNotContinueStream(t *testing.T) {
	for _, test := range []struct{ name, status, contentType string }{
		{"an answer of another kind", "200 OK", "application/json"},
		{"an answer without a kind", "200 OK", ""},
		{"an error", "500 Internal Server Error", "text/plain"},
		{"an error that looks like a stream", "500 Internal Server Error", "text/event-stream"},
		{"a refusal without the mark", "503 Service Unavailable", ""},
		{"no content", "204 No Content", ""},
		{"a redirect", "302 Found", "text/event-stream"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := startBackend(c, func(n int, conn net.Conn, r *http.Request) bool {
				if n == 1 {
					fmt.Fprint(conn, streamHead(r)+"id: 1\ndata: a\n\nid: 2\nda")
					return false
				}
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: t\r\n", test.status, r.Header.Get("X-Attempt-Id"))
				if test.contentType != "" {
					fmt.Fprintf(conn, "Content-Type: %s\r\n", test.contentType)
				}
				if n > 1 && test.status != "204 No Content" {
					fmt.Fprint(conn, "Content-Length: 5\r\n\r\nerror")
				} else {
					fmt.Fprint(conn, "\r\n")
				}
				return true
			})
			front := startFront(c, syncedViews(), b)
			answer, body, err := sendRequest(front, "POST", "/stream/x", "")
			c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(body, quicktest.Equals, "id: 1\ndata: a\n\n")
			c.Check(answer.Header.Get("X-Response-Signature"), quicktest.Equals, "s")
		})
	}
}
