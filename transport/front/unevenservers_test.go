package front

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestSlowServerGetsFewerRequests guards against an even share for a server that states, as the
// fourth number of its load, that its work takes four times as long as usual.
func TestSlowServerGetsFewerRequests(t *testing.T) {
	const (
		requests   = 120
		usualDelay = 5 * time.Millisecond
	)
	c := quicktest.New(t)
	answerAfter := func(percent int) func(int, net.Conn, *http.Request) bool {
		return func(_ int, conn net.Conn, r *http.Request) bool {
			time.Sleep(usualDelay * time.Duration(percent) / 100)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nX-Server-Load: 1,0,8,%d\r\nContent-Length: 0\r\n\r\n",
				r.Header.Get("X-Attempt-Id"), percent)
			return true
		}
	}
	slow, usual := startBackend(c, answerAfter(400)), startBackend(c, answerAfter(100))
	host := startFront(c, syncedViews(), slow, usual)
	for range requests {
		answer, _, err := sendRequest(host, "GET", "/safe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
	}
	c.Check(slow.count() < requests/4, quicktest.IsTrue, quicktest.Commentf("%d of %d requests", slow.count(), requests))
}
