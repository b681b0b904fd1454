package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// TestCutAnswerIsNoSuccess guards against an answer whose server stops in the middle of its
// head, or of its body, and closes the connection, and that reaches the caller as a whole one.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\n"
	for _, test := range []struct {
		name, target, answer string
		// status is that of the caller's answer if the server's one is not cut.
		status int
	}{
		{"with a length", "/unsafe/x", head + "Content-Length: 4\r\n\r\nbody", http.StatusOK},
		{"empty with a length", "/unsafe/x", head + "Content-Length: 0\r\n\r\n", http.StatusOK},
		{"in chunks", "/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", http.StatusOK},
		{"head of one without a length", "/unsafe/x", head + "Connection: close\r\n\r\n", http.StatusOK},
		{"stream", "/once/x", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", http.StatusOK},
		// The end of the connection after the head is no end of a stream, which has an event.
		{"head of a stream without a length", "/once/x", head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			cut := 0
			server := startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, test.answer[:cut])
				return false
			})
			for cut = range len(test.answer) + 1 {
				// Each answer meets a host that does not avoid the server yet.
				host := startFront(c, syncedViews(), server)
				answer, body, err := sendRequest(host, "POST", test.target, "request")
				if cut == len(test.answer) {
					c.Assert(err, quicktest.IsNil)
					c.Check(answer.StatusCode, quicktest.Equals, test.status)
					continue
				}
				if err == nil && answer.StatusCode < http.StatusBadRequest {
					c.Check(fmt.Sprintf("%d %q", answer.StatusCode, body), quicktest.Equals, "failure", quicktest.Commentf("cut at byte %d: %q", cut, test.answer[:cut]))
				}
			}
		})
	}
}
