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

// TestUnusedConnectionIsClosed guards against connections that stay open for ever,
// against ones that are closed while a request runs, and against ones that are
// closed before a caller may rely on it.
func TestUnusedConnectionIsClosed(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		time.Sleep(2 * unusedLimit)
		return success(conn, r, "answer")
	})
	conn, err := net.Dial("tcp", startFront(c, known(), b))
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * unusedLimit))
	reader := bufio.NewReader(conn)
	for range 2 {
		fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
		answer, err := http.ReadResponse(reader, nil)
		c.Assert(err, quicktest.IsNil)
		body, err := io.ReadAll(answer.Body)
		c.Assert(err, quicktest.IsNil)
		c.Assert(string(body), quicktest.Equals, "answer")
		// Callers use a connection that was idle for up to four fifths of the limit.
		time.Sleep(unusedLimit / 2)
	}
	ended := time.Now()
	_, err = reader.ReadByte()
	c.Check(err, quicktest.Equals, io.EOF)
	c.Check(time.Since(ended) < 10*unusedLimit, quicktest.IsTrue)
}

// TestLargeHeaderIsRefused guards against a header beyond the desired state's limit
// that reaches a server, and against one within it that does not.
func TestLargeHeaderIsRefused(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, known(), b)
	for _, test := range []struct{ size, status int }{{3 << 10, http.StatusOK}, {5 << 10, http.StatusRequestHeaderFieldsTooLarge}} {
		answer, _, err := ask(front, "POST", "/unsafe/x", "", "X-Large: "+strings.Repeat("x", test.size))
		c.Assert(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, test.status)
	}
	c.Check(b.count(), quicktest.Equals, 1)
}
