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

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// bodyLimit is the body limit of the desired state in these tests.
const bodyLimit = 100_000

// startFrontWithQuota starts a Server with the quota that forwards to a backend server that answers
// every request.
func startFrontWithQuota(c *quicktest.C, quota *buffering.Quota) string {
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	views := syncedViews()
	views.view = testView(b)
	views.view.Desired.Limits.BodyBytes = bodyLimit
	// Connections that are idle end soon, so that those that stay open have a request or a refusal.
	views.view.Desired.Limits.IdleTimeout = shortIdleTimeout
	blocked := &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()}
	go blocked.Run(c.Context())
	s := newServer(c, views, blocked)
	s.BufferQuota = quota
	go s.Run(c.Context())
	return s.Listener.Addr().String()
}

// openRequest opens a connection and sends a head with the header lines, and what follows it.
func openRequest(c *quicktest.C, address, headerLines, rest string) net.Conn {
	c.Helper()
	conn, err := net.Dial("tcp", address)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nX-Deadline-Ms: 1500\r\n%s\r\n%s", headerLines, rest)
	c.Assert(err, quicktest.IsNil)
	return conn
}

// readStatus returns the status of the answer on a connection and its Retry-After.
func readStatus(c *quicktest.C, conn net.Conn) (int, string) {
	c.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, quicktest.IsNil)
	return answer.StatusCode, answer.Header.Get("Retry-After")
}

// TestStalledBodyIsRefused guards against a caller that keeps the room of a host by a body that it
// does not finish, and against a refusal that says something else than that the request has not run.
func TestStalledBodyIsRefused(t *testing.T) {
	for _, test := range []struct{ name, headerLines, body string }{
		{"declared", fmt.Sprintf("Content-Length: %d\r\n", bodyLimit), strings.Repeat("a", bodyLimit-1)},
		{"chunked", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", bodyLimit-1, strings.Repeat("a", bodyLimit-1))},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			address := startFrontWithQuota(c, &buffering.Quota{MaxBytes: 128 << 10})
			stalled := openRequest(c, address, test.headerLines, test.body)
			small, _, err := sendRequest(address, http.MethodPost, "/unsafe/x", "small")
			c.Assert(err, quicktest.IsNil)
			c.Check(small.StatusCode, quicktest.Equals, http.StatusOK)
			large, _, err := sendRequest(address, http.MethodPost, "/unsafe/x", strings.Repeat("a", bodyLimit))
			c.Assert(err, quicktest.IsNil)
			c.Check(large.StatusCode, quicktest.Equals, http.StatusOK)
			status, retryAfter := readStatus(c, stalled)
			c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
			c.Check(retryAfter, quicktest.Equals, "0.50")
		})
	}
}

// TestBodyLimit guards against a body at the limit that is refused, and against one above it that is
// not, whatever the size of the chunks.
func TestBodyLimit(t *testing.T) {
	c := quicktest.New(t)
	address := startFrontWithQuota(c, &buffering.Quota{MaxBytes: 1 << 20})
	chunked := func(size, chunkBytes int) string {
		var text strings.Builder
		for size > 0 {
			n := min(size, chunkBytes)
			fmt.Fprintf(&text, "%x\r\n%s\r\n", n, strings.Repeat("a", n))
			size -= n
		}
		return text.String() + "0\r\n\r\n"
	}
	const chunkedLine = "Transfer-Encoding: chunked\r\n"
	for _, test := range []struct {
		headerLines, rest string
		status            int
	}{
		{"", "", http.StatusOK},
		{"Content-Length: 0\r\n", "", http.StatusOK},
		{"Content-Length: 1\r\n", "a", http.StatusOK},
		{fmt.Sprintf("Content-Length: %d\r\n", bodyLimit), strings.Repeat("a", bodyLimit), http.StatusOK},
		{fmt.Sprintf("Content-Length: %d\r\n", bodyLimit+1), "", http.StatusRequestEntityTooLarge},
		{chunkedLine, chunked(0, 1), http.StatusOK},
		{chunkedLine, chunked(bodyLimit, 7), http.StatusOK},
		{chunkedLine, chunked(bodyLimit, bodyLimit), http.StatusOK},
		{chunkedLine, chunked(bodyLimit+1, bodyLimit), http.StatusRequestEntityTooLarge},
		{chunkedLine, chunked(bodyLimit+1, 7), http.StatusRequestEntityTooLarge},
		{chunkedLine, "no chunk\r\n", http.StatusBadRequest},
	} {
		status, _ := readStatus(c, openRequest(c, address, test.headerLines, test.rest))
		c.Check(status, quicktest.Equals, test.status, quicktest.Commentf("%.60q %.30q", test.headerLines, test.rest))
	}
}

// TestKeptConnectionGivesItsRoomBack guards against a connection whose requests together take more
// than one of them, so that its later ones are refused.
func TestKeptConnectionGivesItsRoomBack(t *testing.T) {
	c := quicktest.New(t)
	quota := &buffering.Quota{MaxBytes: 128 << 10}
	address := startFrontWithQuota(c, quota)
	other := openRequest(c, address, "Content-Length: 40000\r\n", strings.Repeat("a", 40_000-1))
	head := fmt.Sprintf("Content-Length: %d\r\nX-Long: %s\r\n", bodyLimit/2, strings.Repeat("a", 3000))
	body := strings.Repeat("a", bodyLimit/2)
	conn := openRequest(c, address, head, body)
	reader := bufio.NewReader(conn)
	for range 20 {
		answer, err := http.ReadResponse(reader, nil)
		c.Assert(err, quicktest.IsNil)
		_, _ = io.Copy(io.Discard, answer.Body)
		c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
		_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nX-Deadline-Ms: 1500\r\n%s\r\n%s", head, body)
		c.Assert(err, quicktest.IsNil)
	}
	_, err := other.Write([]byte("a"))
	c.Assert(err, quicktest.IsNil)
	status, _ := readStatus(c, other)
	c.Check(status, quicktest.Equals, http.StatusOK)
}

// TestCallerThatDoesNotReadIsCutOff guards against callers that send requests without reading the
// refusals, so that their connections stay open for good and leave none for others.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	c := quicktest.New(t)
	quota := &buffering.Quota{MaxBytes: 1 << 20}
	address := startFrontWithQuota(c, quota)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	requests := []byte(strings.Repeat("GET /unknown/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n\r\n", 1000))
	for err == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, err = conn.Write(requests)
	}
	deadline := time.Now().Add(3 * callerWriteTimeout)
	for quota.Intakes() > 0 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	c.Check(quota.Intakes(), quicktest.Equals, 0)
}
