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
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// shortIdleTimeout is the idle timeout where a test waits for it.
const shortIdleTimeout = 300 * time.Millisecond

// TestIdleConnectionIsClosed guards against idle connections that stay open
// forever, that are closed while a request runs, or that are closed before the idle
// timeout, when callers still reuse them.
func TestIdleConnectionIsClosed(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		time.Sleep(2 * shortIdleTimeout)
		return success(conn, r, "answer")
	})
	views := syncedViews()
	views.view = testView(b)
	views.view.Desired.Limits.IdleTimeout = shortIdleTimeout
	conn, err := net.Dial("tcp", startFrontWith(c, views, &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()}))
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * shortIdleTimeout))
	reader := bufio.NewReader(conn)
	for range 2 {
		fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
		answer, err := http.ReadResponse(reader, nil)
		c.Assert(err, quicktest.IsNil)
		body, err := io.ReadAll(answer.Body)
		c.Assert(err, quicktest.IsNil)
		c.Assert(string(body), quicktest.Equals, "answer")
		// Callers reuse a connection that was idle for up to four fifths of the timeout.
		time.Sleep(shortIdleTimeout / 2)
	}
	ended := time.Now()
	_, err = reader.ReadByte()
	c.Check(err, quicktest.Equals, io.EOF)
	c.Check(time.Since(ended) < 10*shortIdleTimeout, quicktest.IsTrue)
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
