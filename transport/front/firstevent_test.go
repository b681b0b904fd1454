package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// chunkedHead is the framing of a stream whose events follow later.
const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// writeChunk sends one chunk of a body.
func writeChunk(conn net.Conn, text string) {
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
}

// TestStreamWithoutEventIsAnswered guards against a caller whose connection ends without an
// answer, because its server has sent the head of a stream and no event by the deadline.
func TestStreamWithoutEventIsAnswered(t *testing.T) {
	for _, begin := range []string{"", ": comment\n\n", "id: 1\ndata:"} {
		for _, target := range []string{"/once/x", "/stream/x"} {
			t.Run(fmt.Sprintf("%s, %q", target, begin), func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
					fmt.Fprint(conn, framedStreamHead(r)+chunkedHead)
					if begin != "" {
						writeChunk(conn, begin)
					}
					// The host closes the connection at the deadline.
					_, _ = conn.Read(make([]byte, 1))
					return false
				})
				front := startFront(c, syncedViews(), b)
				began := time.Now()
				answer, body, err := sendRequest(front, "POST", target, "body")
				c.Assert(err, quicktest.IsNil)
				c.Check(answer.StatusCode, quicktest.Equals, http.StatusGatewayTimeout)
				c.Check(answer.Header.Get("X-Response-Signature"), quicktest.Equals, "")
				c.Check(body, quicktest.Equals, "")
				c.Check(time.Since(began) < 2*time.Second, quicktest.IsTrue)
				c.Check(b.count(), quicktest.Equals, 1, quicktest.Commentf("%s", b.received()))
			})
		}
	}
}

// TestStreamThatBreaksOffBeforeItsFirstEvent guards against a caller whose connection ends
// without an answer, because its server has broken off after the head of a stream, and
// against a stream that is not sent to another server although it may be.
func TestStreamThatBreaksOffBeforeItsFirstEvent(t *testing.T) {
	for _, begin := range []string{"", ": comment\n\n", "id: 1\ndata:"} {
		t.Run(fmt.Sprintf("%q", begin), func(t *testing.T) {
			c := quicktest.New(t)
			breakOff := func(_ int, conn net.Conn, r *http.Request) bool {
				fmt.Fprint(conn, framedStreamHead(r)+chunkedHead)
				if begin != "" {
					writeChunk(conn, begin)
				}
				return false
			}
			first, second := startBackend(c, breakOff), startBackend(c, breakOff)
			answer, body, err := sendRequest(startFront(c, syncedViews(), first, second), "POST", "/once/x", "body")
			c.Assert(err, quicktest.IsNil)
			c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
			c.Check(body, quicktest.Equals, "")
			c.Check(first.count()+second.count(), quicktest.Equals, 1)

			sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return stream(conn, r, 1, 2, false) })
			answer, body, err = sendRequest(startFront(c, syncedViews(), first, sound), "POST", "/stream/x", "body")
			c.Assert(err, quicktest.IsNil)
			c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
			c.Check(body, quicktest.Equals, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
		})
	}
}

// TestCommentsBeforeFirstEventArePassedOn guards against a stream that loses its comments, or
// the head of the server that sent the first event, because the answer begins with this event.
func TestCommentsBeforeFirstEventArePassedOn(t *testing.T) {
	c := quicktest.New(t)
	const body = ": wait\n\n: wait\n\nid: 1\ndata: a\n\n"
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprint(conn, framedStreamHead(r)+chunkedHead)
		for _, part := range []string{": wait\n\n", ": wait\n\n", "id: 1\ndata: a\n\n"} {
			writeChunk(conn, part)
			time.Sleep(10 * time.Millisecond)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	answer, received, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/once/x", "body")
	c.Assert(err, quicktest.IsNil)
	c.Check(received, quicktest.Equals, body)
	c.Check(answer.Header.Get("X-Response-Signature"), quicktest.Equals, "s")
}

// TestStreamWithoutAnyEventIsNoSuccess guards against a server that ends a stream properly
// before its first event, which reaches the caller as a complete answer.
func TestStreamWithoutAnyEventIsNoSuccess(t *testing.T) {
	for _, body := range []string{"", "\n\n", ": comment\n\n"} {
		for _, framing := range framings {
			t.Run(fmt.Sprintf("%s, %q", framing.name, body), func(t *testing.T) {
				c := quicktest.New(t)
				endAtOnce := func(_ int, conn net.Conn, r *http.Request) bool {
					framing.write(conn, r, body)
					return true
				}
				first := startBackend(c, endAtOnce)
				answer, received, err := sendRequest(startFront(c, syncedViews(), first), "POST", "/once/x", "body")
				c.Assert(err, quicktest.IsNil)
				c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
				c.Check(received, quicktest.Equals, "")
				c.Check(first.count(), quicktest.Equals, 1)

				sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return stream(conn, r, 1, 2, false) })
				answer, received, err = sendRequest(startFront(c, syncedViews(), first, sound), "POST", "/stream/x", "body")
				c.Assert(err, quicktest.IsNil)
				c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
				c.Check(received, quicktest.Equals, pieces(1, 2))
			})
		}
	}
}
