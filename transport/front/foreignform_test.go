package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
)

// unstreamedTypes are content types that a stream does not have; the empty one stands for none.
var unstreamedTypes = []string{"", "text/plain", "application/octet-stream", "text/event-streams", "application/json; x=text/event-stream"}

// typedHead returns the head of a successful answer with a content type, without the headers
// of its framing.
func typedHead(r *http.Request, contentType string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\n", r.Header.Get("X-Attempt-Id"))
	if contentType != "" {
		head += "Content-Type: " + contentType + "\r\n"
	}
	return head
}

// writeTyped sends an answer with a content type and a length.
func writeTyped(conn net.Conn, r *http.Request, contentType, body string) {
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", typedHead(r, contentType), len(body), body)
}

// TestAnswerThatIsNoStreamIsNotPassedOn guards against bytes that no run made and that reach the
// caller of a stream because the server does not call its answer a stream.
func TestAnswerThatIsNoStreamIsNotPassedOn(t *testing.T) {
	for _, contentType := range unstreamedTypes {
		for _, garbage := range []string{"data: garbage\n\n", "garbage", strings.Repeat("garbage\n\n", maxBufferedBytes/4), ""} {
			t.Run(fmt.Sprintf("%q, %d bytes", contentType, len(garbage)), func(t *testing.T) {
				c := quicktest.New(t)
				faulty := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
					writeTyped(conn, r, contentType, garbage)
					return true
				})
				answer, body, err := sendRequest(startFront(c, syncedViews(), faulty), "POST", "/once/x", "")
				c.Assert(err, quicktest.IsNil)
				c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
				c.Check(len(body), quicktest.Equals, 0)
				c.Check(faulty.count(), quicktest.Equals, 1)

				sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return stream(conn, r, 1, 3, false) })
				_, body, err = sendRequest(startFront(c, syncedViews(), faulty, sound), "POST", "/stream/x", "")
				c.Check(err, quicktest.IsNil)
				c.Check(body, quicktest.Equals, pieces(1, 3))
			})
		}
	}
}

// TestStreamIsNotJoinedToBytesWithoutEnd guards against the answer of the incident: bytes
// without end from one server, up to the limit of a body, and after them the whole stream of
// another one.
func TestStreamIsNotJoinedToBytesWithoutEnd(t *testing.T) {
	c := quicktest.New(t)
	faulty := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		respondWithoutEnd(conn, typedHead(r, "")+"\r\n", "garbage\n\n")
		return false
	})
	sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return stream(conn, r, 1, 3, false) })
	front := startFront(c, syncedViews(), faulty, sound)
	for range 4 {
		_, body, err := sendRequest(front, "POST", "/stream/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(len(body), quicktest.Equals, len(pieces(1, 3)))
	}
	c.Check(faulty.count() > 0, quicktest.IsTrue)
}

// TestStreamIsNotJoinedToFailure guards against a failure with a body that breaks off, or that
// has no end, and after it the whole stream of another server, in one answer that looks complete.
func TestStreamIsNotJoinedToFailure(t *testing.T) {
	for _, status := range []int{302, 404} {
		for _, framing := range []string{"", chunkedHead, "Content-Length: 99000000\r\n\r\n"} {
			t.Run(fmt.Sprintf("status %d, framing %q", status, framing), func(t *testing.T) {
				c := quicktest.New(t)
				faulty := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
					fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nX-Attempt-Id: %s\r\n", status, r.Header.Get("X-Attempt-Id"))
					garbage := strings.Repeat("garbage\n\n", maxBufferedBytes)
					switch framing {
					case "":
						respondWithoutEnd(conn, "\r\n", "garbage\n\n")
					case chunkedHead:
						fmt.Fprint(conn, chunkedHead)
						writeChunk(conn, garbage)
					default:
						fmt.Fprint(conn, framing+garbage)
					}
					return false
				})
				sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return stream(conn, r, 1, 3, false) })
				front := startFront(c, syncedViews(), faulty, sound)
				for range 4 {
					answer, body, err := sendRequest(front, "POST", "/stream/x", "")
					if answer.StatusCode == http.StatusOK {
						c.Check(err, quicktest.IsNil)
						c.Check(body, quicktest.Equals, pieces(1, 3))
						continue
					}
					c.Check(answer.StatusCode, quicktest.Equals, status)
					c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
					c.Check(strings.Contains(body, "data: piece"), quicktest.IsFalse)
				}
				c.Check(faulty.count() > 0, quicktest.IsTrue)
				c.Check(faulty.count()+sound.count(), quicktest.Equals, 4)
			})
		}
	}
}

// TestStreamGoesOnOnlyAsStream guards against bytes that are no stream and that follow the
// events of another server in the answer to one caller.
func TestStreamGoesOnOnlyAsStream(t *testing.T) {
	for _, contentType := range unstreamedTypes {
		c := quicktest.New(t)
		b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
			if r.Header.Get("Last-Event-Id") == "" {
				return stream(conn, r, 1, 2, true)
			}
			writeTyped(conn, r, contentType, pieces(3, 4))
			return true
		})
		_, body, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/stream/x", "")
		c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		c.Check(body, quicktest.Equals, pieces(1, 2))
	}
}

// TestStreamHasMediaTypeInAnyCase guards against a sound stream that is refused, or passed on
// without a check of its events, because of how its media type is written.
func TestStreamHasMediaTypeInAnyCase(t *testing.T) {
	for _, contentType := range []string{"TEXT/EVENT-STREAM", "Text/Event-Stream; charset=utf-8", "text/event-stream ;x", "text/event-stream;"} {
		c := quicktest.New(t)
		body := pieces(1, 2) + "data: garbage\n\n"
		b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
			writeTyped(conn, r, contentType, body)
			return true
		})
		_, received, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/once/x", "")
		c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		c.Check(received, quicktest.Equals, pieces(1, 2))

		body = pieces(1, 2)
		_, received, err = sendRequest(startFront(c, syncedViews(), b), "POST", "/once/x", "")
		c.Check(err, quicktest.IsNil)
		c.Check(received, quicktest.Equals, pieces(1, 2))
	}
}

// TestAnswerOfPlainRouteIsNoStream guards against two answers in one: a server of a route without
// streams calls its answer a stream and breaks it off, and that of another server follows.
func TestAnswerOfPlainRouteIsNoStream(t *testing.T) {
	c := quicktest.New(t)
	faulty := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprint(conn, framedStreamHead(r)+chunkedHead)
		writeChunk(conn, "data: first\n\n")
		return false
	})
	sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		writeChunkedStream(conn, r, "data: second\n\n")
		return true
	})
	front := startFront(c, syncedViews(), faulty, sound)
	for range 4 {
		_, body, err := sendRequest(front, "GET", "/safe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(body, quicktest.Equals, "data: second\n\n")
	}
	c.Check(faulty.count() > 0, quicktest.IsTrue)
}

// TestBegunBodyIsNotRunAgain guards against a request that another server runs in vain: the caller
// has the begin of a body, which no other body can continue.
func TestBegunBodyIsNotRunAgain(t *testing.T) {
	c := quicktest.New(t)
	broken := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprint(conn, typedHead(r, "text/plain")+chunkedHead)
		writeChunk(conn, strings.Repeat("a", 2*maxBufferedBytes))
		return false
	})
	sound := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "answer") })
	front := startFront(c, syncedViews(), broken, sound)
	for range 4 {
		_, body, err := sendRequest(front, "GET", "/safe/x", "")
		if body != "answer" {
			c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		}
	}
	c.Check(broken.count() > 0, quicktest.IsTrue)
	c.Check(broken.count()+sound.count(), quicktest.Equals, 4)
}

// TestConnectionOfForeignAnswerIsClosed guards against an answer that comes late, to a send before,
// and is taken for that of the next send: both have the attempt id of the request.
func TestConnectionOfForeignAnswerIsClosed(t *testing.T) {
	c := quicktest.New(t)
	var mutex sync.Mutex
	conns := make(map[net.Conn]bool)
	b := startBackend(c, func(n int, conn net.Conn, r *http.Request) bool {
		mutex.Lock()
		conns[conn] = true
		mutex.Unlock()
		switch {
		case r.Header.Get("X-Attempt-Id") == "first":
			writeChunkedStream(conn, r, pieces(1, 2))
		case n == 2:
			writeTyped(conn, r, "", "garbage")
		default:
			writeChunkedStream(conn, r, pieces(1, 3))
		}
		return true
	})
	front := startFront(c, syncedViews(), b)
	_, _, err := sendRequestAs("first", front, "POST", "/stream/x", "")
	c.Assert(err, quicktest.IsNil)
	_, body, err := sendRequest(front, "POST", "/stream/x", "")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, pieces(1, 3))
	mutex.Lock()
	defer mutex.Unlock()
	c.Check(conns, quicktest.HasLen, 2)
}
