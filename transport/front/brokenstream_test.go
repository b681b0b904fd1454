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

// streamHead returns the head of a stream that ends with its connection.
func streamHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		r.Header.Get("X-Attempt-Id"))
}

// TestStreamThatEndsInsideEventIsIncomplete guards against a stream without length and
// chunks that breaks off inside an event and reaches its caller with a part of the event
// and a clean end.
func TestStreamThatEndsInsideEventIsIncomplete(t *testing.T) {
	for _, test := range []struct {
		name, end string
		complete  bool
	}{
		{"after an event", "", true},
		{"after an empty line", "\n", true},
		{"inside a line", "id: 2\nda", false},
		{"after a line", "id: 2\ndata: b\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
				fmt.Fprint(conn, streamHead(r)+"id: 1\ndata: a\n\n"+test.end)
				return false
			})
			front := startFront(c, syncedViews(), b)
			_, body, err := sendRequest(front, "POST", "/once/x", "")
			if test.complete {
				c.Check(err, quicktest.IsNil)
				c.Check(body, quicktest.Equals, "id: 1\ndata: a\n\n"+test.end)
				return
			}
			c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(body, quicktest.Equals, "id: 1\ndata: a\n\n")
		})
	}
}
