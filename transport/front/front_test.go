package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestRequestIsPassedOnUnchanged guards against paths that are normalized, bodies
// that change, and reserved headers that reach a server although a caller set them.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, syncedViews(), b)
	answer, body, err := sendRequest(front, "POST", "/unsafe/a//b/%2f/../c?q=%20x&&y", "the body", "X-Hold: 1", "Kv-From: 1.2.3.4:5/6",
		"X-Expect-Instance: other", "X-Own: kept", "Connection: X-Drop", "X-Drop: 1")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, 200)
	c.Assert(body, quicktest.Equals, "answer")
	got := b.requests[0]
	c.Assert(got.RequestURI, quicktest.Equals, "/unsafe/a//b/%2f/../c?q=%20x&&y")
	sent, _ := io.ReadAll(got.Body)
	c.Assert(string(sent), quicktest.Equals, "the body")
	c.Assert(got.Header.Get("X-Hold")+got.Header.Get("Kv-From")+got.Header.Get("X-Drop"), quicktest.Equals, "")
	c.Assert(got.Header.Get("X-Expect-Instance"), quicktest.Equals, "server-0")
	c.Assert(got.Header.Get("X-Own"), quicktest.Equals, "kept")
}

// TestUnsafeRequestIsSentOnce guards against a second run of an unsafe request when
// the server closes a reused connection after reading the request, and against a
// status that states that the request did not run.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(n int, conn net.Conn, r *http.Request) bool { return n == 1 && success(conn, r, "first") })
	front := startFront(c, syncedViews(), b)
	_, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	answer, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
	c.Assert(b.count(), quicktest.Equals, 2)
}

// TestSafeRequestGoesToAnotherServer guards against a failure that reaches the caller of
// a safe request although another server could have run the request.
func TestSafeRequestGoesToAnotherServer(t *testing.T) {
	c := quicktest.New(t)
	broken := startBackend(c, func(int, net.Conn, *http.Request) bool { return false })
	sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, syncedViews(), broken, sound)
	answer, body, err := sendRequest(front, "GET", "/safe/x", "")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, 200)
	c.Assert(body, quicktest.Equals, "answer")
	c.Assert(broken.count(), quicktest.Equals, 1)
}

// TestAnswerOfAnotherRequestIsNotPassedOn guards against responses that reach the
// wrong caller: a response with another attempt id, and an extra response that is
// already on a connection before the next request is sent on it.
func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	crossed := startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong")
		return true
	})
	front := startFront(c, syncedViews(), crossed)
	answer, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)

	extra := startBackend(c, func(n int, conn net.Conn, r *http.Request) bool {
		success(conn, r, fmt.Sprintf("answer %d", n))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong")
		return true
	})
	front = startFront(c, syncedViews(), extra)
	for n := 1; n < 4; n++ {
		_, body, err := sendRequest(front, "POST", "/unsafe/x", "body")
		c.Assert(err, quicktest.IsNil)
		c.Assert(body, quicktest.Equals, fmt.Sprintf("answer %d", n))
		time.Sleep(20 * time.Millisecond)
	}
}

// TestBrokenStreamIsResumed guards against streams that lack an event, repeat an
// event or have part of an event after the engine's connection broke off.
func TestBrokenStreamIsResumed(t *testing.T) {
	c := quicktest.New(t)
	serve := func(_ int, conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event-Id") == "3" {
			return stream(conn, r, 4, 6, false)
		}
		return stream(conn, r, 1, 3, true)
	}
	front := startFront(c, syncedViews(), startBackend(c, serve), startBackend(c, serve))
	_, body, err := sendRequest(front, "POST", "/stream/x", "body")
	c.Assert(err, quicktest.IsNil)
	var want strings.Builder
	for i := 1; i <= 6; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	c.Assert(body, quicktest.Equals, want.String())
}

// TestStreamThatMayNotBeResumedEndsEarly guards against a stream that broke off
// but looks complete to the caller, and against a second run of its request.
func TestStreamThatMayNotBeResumedEndsEarly(t *testing.T) {
	c := quicktest.New(t)
	serve := func(_ int, conn net.Conn, r *http.Request) bool { return stream(conn, r, 1, 3, true) }
	first, second := startBackend(c, serve), startBackend(c, serve)
	front := startFront(c, syncedViews(), first, second)
	_, _, err := sendRequest(front, "POST", "/once/x", "body")
	c.Assert(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
	c.Assert(first.count()+second.count(), quicktest.Equals, 1)
}

// TestUnavailableMeansNotRun guards against status 503 for a request that may have
// run, and against a response with status 503 that lacks the header Retry-After.
func TestUnavailableMeansNotRun(t *testing.T) {
	c := quicktest.New(t)
	refusing := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		return true
	})
	front := startFront(c, syncedViews(), refusing)
	answer, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	c.Assert(answer.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	answer, _, err = sendRequest(front, "POST", "/nowhere/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusNotFound)

	silent := startBackend(c, func(int, net.Conn, *http.Request) bool { time.Sleep(3 * time.Second); return false })
	front = startFront(c, syncedViews(), silent)
	began := time.Now()
	answer, _, err = sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, http.StatusGatewayTimeout)
	c.Assert(time.Since(began) < 2*time.Second, quicktest.IsTrue)
}

// TestRequestWaitsForFirstView guards against a host that has just started and refuses
// requests, for example with status 404, instead of waiting for its first view.
func TestRequestWaitsForFirstView(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	views := &fixedViews{synced: make(chan struct{})}
	front := startFront(c, views, b)
	time.AfterFunc(300*time.Millisecond, func() { close(views.synced) })
	answer, _, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.StatusCode, quicktest.Equals, 200)
}

// TestCallerThatLeavesEndsTheRun guards against servers that keep running a request
// after its caller has closed the connection.
func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	c := quicktest.New(t)
	ended := make(chan time.Time, 1)
	b := startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		ended <- time.Now()
		return false
	})
	front := startFront(c, syncedViews(), b)
	conn, err := net.Dial("tcp", front)
	c.Assert(err, quicktest.IsNil)
	fmt.Fprint(conn, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	left := time.Now()
	conn.Close()
	c.Assert((<-ended).Sub(left) < 500*time.Millisecond, quicktest.IsTrue)
}
