package front

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestEventIsNotHeldBack guards against an event that reaches its caller only with the next
// one, because a part of that one has arrived together with it.
func TestEventIsNotHeldBack(t *testing.T) {
	c := quicktest.New(t)
	release := make(chan struct{})
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 32\r\n\r\nid: 1\ndata: a\n\nid: 2\nda",
			r.Header.Get("X-Attempt-Id"))
		<-release
		fmt.Fprint(conn, "ta: bb\n\n")
		return true
	})
	c.Cleanup(func() { close(release) })
	front := startFront(c, syncedViews(), b)
	conn, err := net.Dial("tcp", front)
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	fmt.Fprint(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), quicktest.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, quicktest.IsNil)
	first := make([]byte, len("id: 1\ndata: a\n\n"))
	n, err := answer.Body.Read(first)
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(first[:n]), quicktest.Equals, "id: 1\ndata: a\n\n")
}
