package front

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/frankban/quicktest"
)

// TestServerThatStatesLeavingGetsNoMore guards against requests for a server that has said in
// any answer that it leaves: a success, a failure or a refusal.
func TestServerThatStatesLeavingGetsNoMore(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			c := quicktest.New(t)
			leaving := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
				notRun := ""
				if status[0] == '5' && status[2] == '3' {
					notRun = "X-Not-Executed: 1\r\n"
				}
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nServer-Leaving: 1\r\n%sContent-Length: 0\r\n\r\n",
					status, r.Header.Get("X-Attempt-Id"), notRun)
				return true
			})
			staying := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "ok") })
			host := startFront(c, syncedViews(), leaving, staying)
			for range 10 {
				_, _, err := sendRequest(host, "GET", "/safe/x", "")
				c.Assert(err, quicktest.IsNil)
			}
			c.Check(leaving.count() <= 1, quicktest.IsTrue, quicktest.Commentf("%d requests", leaving.count()))
		})
	}
}

// TestPauseOfServerIsKept guards against requests for a server that has asked for a pause,
// and against refusals that do not say when it ends.
func TestPauseOfServerIsKept(t *testing.T) {
	c := quicktest.New(t)
	paused := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		return true
	})
	host := startFront(c, syncedViews(), paused)
	for range 5 {
		answer, _, err := sendRequest(host, "POST", "/unsafe/x", "body")
		c.Assert(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		c.Assert(err, quicktest.IsNil)
		c.Check(seconds > 20 && seconds <= 30, quicktest.IsTrue, quicktest.Commentf("%v s", seconds))
	}
	c.Check(paused.count(), quicktest.Equals, 1)
}
