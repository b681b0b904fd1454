package front

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"
)

// FuzzServerAnswer guards against bytes of a server that end the process, and against a success
// that the server has not signed.
func FuzzServerAnswer(f *testing.F) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"HTTP/1.1 503 No\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-2\r\nContent-Length: 2\r\n\r\nok",
	} {
		f.Add([]byte(answer))
	}
	c := quicktest.New(f)
	var answer atomic.Pointer[[]byte]
	server := startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Write(*answer.Load())
		return false
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		answer.Store(&data)
		host := startFront(quicktest.New(t), syncedViews(), server)
		received, _, err := sendRequest(host, "POST", "/once/x", "request")
		if err == nil && received.StatusCode < http.StatusMultipleChoices && received.Header.Get("X-Response-Signature") == "" {
			t.Errorf("status %d without a signature for %q", received.StatusCode, data)
		}
	})
}
