package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const (
	// socketSlackBytes is what the sockets between a server and this host may hold
	// beyond what the host has read.
	socketSlackBytes = 16 << 20
	// requestTime is the time that sendRequest gives a request, and deadlineMargin how long
	// before its end the host answers.
	requestTime    = 1500 * time.Millisecond
	deadlineMargin = 30 * time.Millisecond
	// endlessPieceBytes is about the size of one write of an endless response.
	endlessPieceBytes = 32 << 10
)

// respondWithoutEnd writes the prefix and then the piece again and again until the
// host closes the connection. It returns the number of bytes written.
func respondWithoutEnd(conn net.Conn, prefix, piece string) int64 {
	written, err := io.WriteString(conn, prefix)
	total := int64(written)
	pieces := strings.Repeat(piece, endlessPieceBytes/len(piece)+1)
	for err == nil {
		written, err = io.WriteString(conn, pieces)
		total += int64(written)
	}
	return total
}

// TestEndlessResponseIsCutOff guards against a server that sends bytes without end,
// in the header or the body of a response: the host must neither keep such
// bytes in memory nor pass them on beyond a limit.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\n"
	const streamHead = head + "Content-Type: text/event-stream\r\n"
	for _, test := range []struct {
		name, target, prefix, piece string
		limit                       int64
	}{
		{"status line", "/unsafe/x", "HTTP/1.1 200 ", "a", 64 << 10},
		{"header line", "/unsafe/x", head + "X-Long: ", "a", 64 << 10},
		{"header lines", "/unsafe/x", head, "X-Many: a\r\n", 64 << 10},
		{"informational responses", "/unsafe/x", "", "HTTP/1.1 100 Continue\r\n\r\n", 64 << 10},
		{"body until the connection ends", "/unsafe/x", head + "\r\n", "a", maxUndeclaredBodyBytes},
		{"chunked body", "/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 6 * maxUndeclaredBodyBytes},
		{"stream line", "/once/x", streamHead + "\r\n", "a", maxEventBytes},
		{"stream event", "/once/x", streamHead + "\r\n", "data: a\n", maxEventBytes},
		{"stream events", "/once/x", streamHead + "\r\n", "data: a\n\n", maxUndeclaredBodyBytes},
		{"empty stream lines", "/once/x", streamHead + "\r\n", "\n", maxUndeclaredBodyBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			sent := make(chan int64, 1)
			b := startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
				sent <- respondWithoutEnd(conn, test.prefix, test.piece)
				return false
			})
			front := startFront(c, syncedViews(), b)
			began := time.Now()
			answer, _, err := sendRequest(front, "POST", test.target, "body")
			if err == nil {
				status := http.StatusBadGateway
				if time.Since(began) >= requestTime-deadlineMargin {
					// The time of the request is up before the limit is reached.
					status = http.StatusGatewayTimeout
				}
				c.Check(answer.StatusCode, quicktest.Equals, status)
			}
			n := <-sent
			c.Check(n <= test.limit+socketSlackBytes, quicktest.IsTrue, quicktest.Commentf("the server could send %d bytes", n))
		})
	}
}

// TestStreamWithDeclaredLengthIsCutOff guards against events in order without end, for which the
// limit of a stream does not count because the server declares a length above it.
func TestStreamWithDeclaredLengthIsCutOff(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", framedStreamHead(r), int64(1)<<40)
		data := strings.Repeat("a", endlessPieceBytes)
		for i := 1; err == nil && i <= 2*maxUndeclaredBodyBytes/endlessPieceBytes; i++ {
			_, err = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", i, data)
		}
		return false
	})
	_, body, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/once/x", "")
	c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
	c.Check(len(body) <= maxUndeclaredBodyBytes, quicktest.IsTrue, quicktest.Commentf("the caller got %d bytes", len(body)))
}

// TestEndlessRefusalDoesNotHoldTheRequest guards against a refused request that does
// not go to another server, because the body of the refusal comes slowly and does not
// end.
func TestEndlessRefusalDoesNotHoldTheRequest(t *testing.T) {
	c := quicktest.New(t)
	const limit = 500 * time.Millisecond
	var ended atomic.Bool
	defer ended.Store(true)
	refusing := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		for !ended.Load() {
			if _, err := io.WriteString(conn, "a"); err != nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		return false
	})
	sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, syncedViews(), refusing, sound)
	for range 4 {
		began := time.Now()
		answer, _, err := sendRequest(front, "GET", "/safe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
		c.Check(time.Since(began) < limit, quicktest.IsTrue, quicktest.Commentf("after %s", time.Since(began)))
	}
	c.Check(refusing.count() > 0, quicktest.IsTrue)
}
