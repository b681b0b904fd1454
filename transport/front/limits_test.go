package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestIdleConnectionIsClosed guards against idle connections that stay open
// forever, that are closed while a request runs, or that are closed before the idle
// timeout, when callers still reuse them.
func TestIdleConnectionIsClosed(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		time.Sleep(2 * testIdleTimeout)
		return success(conn, r, "answer")
	})
	conn, err := net.Dial("tcp", startFront(c, syncedViews(), b))
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * testIdleTimeout))
	reader := bufio.NewReader(conn)
	for range 2 {
		fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
		answer, err := http.ReadResponse(reader, nil)
		c.Assert(err, quicktest.IsNil)
		body, err := io.ReadAll(answer.Body)
		c.Assert(err, quicktest.IsNil)
		c.Assert(string(body), quicktest.Equals, "answer")
		// Callers reuse a connection that was idle for up to four fifths of the timeout.
		time.Sleep(testIdleTimeout / 2)
	}
	ended := time.Now()
	_, err = reader.ReadByte()
	c.Check(err, quicktest.Equals, io.EOF)
	c.Check(time.Since(ended) < 10*testIdleTimeout, quicktest.IsTrue)
}

// TestLargeHeaderIsRefused guards against a request that reaches a server although
// its header exceeds the limit of the desired state, and against one that is refused
// although its header is within the limit.
func TestLargeHeaderIsRefused(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, syncedViews(), b)
	for _, test := range []struct{ size, status int }{{3 << 10, http.StatusOK}, {5 << 10, http.StatusRequestHeaderFieldsTooLarge}} {
		answer, _, err := sendRequest(front, "POST", "/unsafe/x", "", "X-Large: "+strings.Repeat("x", test.size))
		c.Assert(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, test.status)
	}
	c.Check(b.count(), quicktest.Equals, 1)
}
