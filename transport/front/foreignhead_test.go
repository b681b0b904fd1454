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

// headFaults are headers that the successful answer of one run does not have.
var headFaults = []string{
	"X-Attempt-Id: other\r\n",
	"X-Attempt-Id: \r\n",
	"X-Response-Signature: t\r\n",
	"Content-Encoding: gzip\r\n",
	"Content-Encoding: identity\r\n",
}

// TestSuccessWithForeignHeadIsNotPassedOn guards against a success that is not the whole answer of
// one run: it has a second attempt id or a second signature, or its body is encoded although
// callers ask for none.
func TestSuccessWithForeignHeadIsNotPassedOn(t *testing.T) {
	for _, fault := range headFaults {
		for _, route := range []string{"/unsafe/x", "/once/x"} {
			t.Run(fmt.Sprintf("%q %s", fault, route), func(t *testing.T) {
				c := quicktest.New(t)
				b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
					body := pieces(1, 2)
					fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s", typedHead(r, "text/event-stream"), fault, len(body), body)
					return true
				})
				answer, body, err := sendRequest(startFront(c, syncedViews(), b), "POST", route, "body")
				c.Assert(err, quicktest.IsNil)
				c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
				c.Check(body, quicktest.Equals, "")
			})
		}
	}
}

// TestRefusalThatNamesAnotherRequestIsNotBelieved guards against status 503 for a request that may
// have run: the refusal names a second request, which may be the one that was refused.
func TestRefusalThatNamesAnotherRequestIsNotBelieved(t *testing.T) {
	c := quicktest.New(t)
	b := startRefusing(c, http.StatusServiceUnavailable, "X-Attempt-Id: other\r\nX-Not-Executed: 1\r\n")
	answer, _, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
	c.Check(b.count(), quicktest.Equals, 1)
}

// TestEmptySuccessDoesNotEndStream guards against a stream that looks complete to its caller before
// its last event, because the server that goes on with it answers without a body.
func TestEmptySuccessDoesNotEndStream(t *testing.T) {
	for _, status := range []int{201, 202, 204, 205, 206} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := quicktest.New(t)
			b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return stream(conn, r, 1, 2, true)
				}
				fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
					status, r.Header.Get("X-Attempt-Id"))
				return true
			})
			_, body, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/stream/x", "")
			c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(body, quicktest.Equals, pieces(1, 2))
		})
	}
}

// TestConnectionHeaderKeepsSignature guards against a success without its signature or its type,
// because the server names these headers as those of one connection only.
func TestConnectionHeaderKeepsSignature(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "%sConnection: x-response-signature, Content-Type, X-Attempt-Id, X-Drop\r\nX-Drop: 1\r\nContent-Length: %d\r\n\r\n%s", framedStreamHead(r), len(pieces(1, 3)), pieces(1, 3))
		return true
	})
	for _, target := range []string{"/once/x", "/stream/x", "/unsafe/x"} {
		answer, body, err := sendRequest(startFront(c, syncedViews(), b), "POST", target, "")
		c.Assert(err, quicktest.IsNil)
		c.Check(body, quicktest.Equals, pieces(1, 3))
		c.Check(answer.Header.Get("X-Response-Signature"), quicktest.Equals, "s")
		c.Check(answer.Header.Get("Content-Type"), quicktest.Equals, "text/event-stream")
		c.Check(answer.Header.Get("X-Attempt-Id"), quicktest.Equals, "id-1")
		c.Check(answer.Header.Get("X-Drop"), quicktest.Equals, "")
	}
}
