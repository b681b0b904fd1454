package front

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// startRefusing starts a server that answers each request with a status, a signature and the
// given further headers.
func startRefusing(c *quicktest.C, status int, headers string) *backendServer {
	return startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n%sContent-Length: 0\r\n\r\n",
			status, r.Header.Get("X-Attempt-Id"), headers)
		return true
	})
}

// TestNotRunIsBelievedOnlyOfRefusals guards against a second run of a request that may run once,
// and against status 503 for one that has run, because its server calls it not executed in an
// answer that is no refusal.
func TestNotRunIsBelievedOnlyOfRefusals(t *testing.T) {
	for _, status := range []int{200, 201, 204, 302, 404, 500, 502, 504} {
		for _, route := range []string{"/unsafe/x", "/once/x"} {
			t.Run(fmt.Sprintf("%d %s", status, route), func(t *testing.T) {
				c := quicktest.New(t)
				first := startRefusing(c, status, "X-Not-Executed: 1\r\n")
				second := startRefusing(c, status, "X-Not-Executed: 1\r\n")
				answer, _, err := sendRequest(startFront(c, syncedViews(), first, second), "POST", route, "body")
				c.Assert(err, quicktest.IsNil)
				c.Check(first.count()+second.count(), quicktest.Equals, 1)
				want := status
				if status < 300 {
					want = http.StatusBadGateway
				}
				c.Check(answer.StatusCode, quicktest.Equals, want)
			})
		}
	}
}

// TestContradictoryAnswerGoesToAnotherServer guards against a success for the caller of a request
// that its server says it has not executed.
func TestContradictoryAnswerGoesToAnotherServer(t *testing.T) {
	c := quicktest.New(t)
	faulty := startRefusing(c, http.StatusOK, "X-Not-Executed: 1\r\n")
	sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, syncedViews(), faulty, sound)
	for range 4 {
		_, body, err := sendRequest(front, "GET", "/safe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(body, quicktest.Equals, "answer")
	}
	c.Check(faulty.count() > 0, quicktest.IsTrue)
}

// TestRefusalWithoutStatementIsNoPromise guards against a status that promises the caller that a
// request which may run once has not run, although its server does not state that.
func TestRefusalWithoutStatementIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, route := range []string{"/unsafe/x", "/once/x"} {
			t.Run(fmt.Sprintf("%d %s", status, route), func(t *testing.T) {
				c := quicktest.New(t)
				b := startRefusing(c, status, "Retry-After: 0.01\r\n")
				answer, _, err := sendRequest(startFront(c, syncedViews(), b), "POST", route, "body")
				c.Assert(err, quicktest.IsNil)
				c.Check(b.count(), quicktest.Equals, 1)
				c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
				c.Check(answer.Header.Get("X-Response-Signature"), quicktest.Equals, "")
			})
		}
	}
}

// TestRefusalOfRepeatableRequestIsPassedOn guards against a status of a server that is replaced
// although its caller may send the request again in any case.
func TestRefusalOfRepeatableRequestIsPassedOn(t *testing.T) {
	c := quicktest.New(t)
	for _, status := range []int{408, 429, 503} {
		b := startRefusing(c, status, "")
		answer, _, err := sendRequest(startFront(c, syncedViews(), b), "GET", "/safe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, status)
	}
}
