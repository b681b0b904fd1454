package front

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// refuse writes a response that states that the request with the id did not run.
func refuse(conn net.Conn, id string) {
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n", id)
}

// TestEarlierRefusalIsNotBelieved guards against a server that repeats an earlier refusal on
// a kept connection in place of its response: the request runs, so its caller must not be
// told otherwise, and no other server may run it.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(n int, conn net.Conn, r *http.Request) bool {
		if n == 1 {
			return success(conn, r, "answer")
		}
		// The refusal belongs to a request that another host sent, or an earlier one.
		refuse(conn, "id-0")
		return success(conn, r, "answer")
	})
	front := startFront(c, syncedViews(), b)
	_, _, err := sendRequestAs("id-1", front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	answer, _, err := sendRequestAs("id-2", front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
	c.Check(b.count(), quicktest.Equals, 2)
}

// TestRefusalOfEarlierTryIsNotBelieved guards against the same for a request that its server
// has refused before: the id alone cannot tell the two refusals apart.
func TestRefusalOfEarlierTryIsNotBelieved(t *testing.T) {
	c := quicktest.New(t)
	refused := make(map[net.Conn]bool)
	runs := 0
	b := startBackend(c, func(n int, conn net.Conn, r *http.Request) bool {
		if n == 1 {
			refused[conn] = true
			refuse(conn, "id-1")
			return true
		}
		runs++
		if refused[conn] {
			refuse(conn, "id-1")
		}
		return success(conn, r, "answer")
	})
	front := startFront(c, syncedViews(), b)
	answer, body, err := sendRequest(front, "POST", "/unsafe/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(body, quicktest.Equals, "answer")
	c.Check(runs, quicktest.Equals, 1)
}

// TestNamelessRefusalsCostFewRequests guards against requests that may run once and fail each time
// that their server refuses them without an attempt id: on a kept connection such a refusal may
// belong to another request.
func TestNamelessRefusalsCostFewRequests(t *testing.T) {
	c := quicktest.New(t)
	refused := make(map[string]bool)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		if id := r.Header.Get("X-Attempt-Id"); r.URL.Path != "/safe/x" && !refused[id] {
			refused[id] = true
			fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return success(conn, r, "answer")
	})
	front := startFront(c, syncedViews(), b)
	failed := 0
	for n := range 10 {
		// Leaves a kept connection behind.
		_, _, err := sendRequestAs(fmt.Sprintf("safe-%d", n), front, "GET", "/safe/x", "")
		c.Assert(err, quicktest.IsNil)
		answer, _, err := sendRequestAs(fmt.Sprintf("unsafe-%d", n), front, "POST", "/unsafe/x", "body")
		c.Assert(err, quicktest.IsNil)
		if answer.StatusCode != http.StatusOK {
			c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
			failed++
		}
	}
	c.Check(failed, quicktest.Equals, 1)
	c.Check(b.count(), quicktest.Equals, 29)
}
