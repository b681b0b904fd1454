package front

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestCommentsOfFaultyServerAreNotPassedOn guards against comments, reconnection times and empty
// lines that a faulty server sends within a stream without measure, or before bytes that are no
// event, and that reach the caller where the next event is due.
func TestCommentsOfFaultyServerAreNotPassedOn(t *testing.T) {
	for _, test := range []struct{ name, comments, rest string }{
		{"many comments", strings.Repeat(": garbage\n\n", 10_000), pieces(3, 5)},
		{"many reconnection times", strings.Repeat("retry: 10\n\n", 10_000), pieces(3, 5)},
		{"many empty lines", strings.Repeat("\n", 100_000), pieces(3, 5)},
		{"one long comment", ": " + strings.Repeat("garbage", 10_000) + "\n\n", pieces(3, 5)},
		{"a comment before a foreign event", ": garbage\n\n", "garbage\n\n" + pieces(3, 5)},
		{"empty lines before half an event", "\n\n\n", "id: 3\nda"},
		{"a reconnection time that is no number", "retry: garbage\n\n", pieces(3, 5)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
				if r.Header.Get("Last-Event-Id") == "2" {
					writeChunkedStream(conn, r, pieces(3, 5))
					return true
				}
				writeChunkedStream(conn, r, pieces(1, 2)+test.comments+test.rest)
				return true
			})
			front := startFront(c, syncedViews(), b)
			_, body, err := sendRequest(front, "POST", "/once/x", "")
			c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(shortened(body), quicktest.Equals, pieces(1, 2))
			_, body, err = sendRequest(front, "POST", "/stream/x", "")
			c.Check(err, quicktest.IsNil)
			c.Check(shortened(body), quicktest.Equals, pieces(1, 5))
		})
	}
}

// TestCommentDoesNotHoldBackEvents guards against an event that its caller gets only with the next
// one, because a comment follows it in the same packet.
func TestCommentDoesNotHoldBackEvents(t *testing.T) {
	c := quicktest.New(t)
	received := make(chan struct{})
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprint(conn, framedStreamHead(r)+chunkedHead)
		writeChunk(conn, pieces(1, 1)+": wait\n\n\n")
		select {
		case <-received:
		case <-time.After(time.Second):
		}
		writeChunk(conn, pieces(2, 2))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	conn, err := net.Dial("tcp", startFront(c, syncedViews(), b))
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	fmt.Fprint(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(800 * time.Millisecond))
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	c.Assert(err, quicktest.IsNil)
	first := make([]byte, len(pieces(1, 1)))
	_, err = io.ReadFull(answer.Body, first)
	c.Assert(err, quicktest.IsNil)
	close(received)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	rest, err := io.ReadAll(answer.Body)
	c.Check(err, quicktest.IsNil)
	c.Check(string(first)+string(rest), quicktest.Equals, pieces(1, 1)+": wait\n\n\n"+pieces(2, 2))
}

// shortened returns the begin of a text for a message of a test.
func shortened(text string) string {
	const most = 400
	if len(text) <= most {
		return text
	}
	return fmt.Sprintf("%s and %d bytes more", text[:most], len(text)-most)
}

// TestCommentsAloneAreNotPassedOn guards against an answer that has nothing of the run, from a
// server that is asked to go on with a stream.
func TestCommentsAloneAreNotPassedOn(t *testing.T) {
	for _, comments := range []string{": garbage\n\n", strings.Repeat("retry: 10\n\n", 700), strings.Repeat("\n", 8000)} {
		c := quicktest.New(t)
		b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
			if r.Header.Get("Last-Event-Id") == "" {
				return stream(conn, r, 1, 2, true)
			}
			writeChunkedStream(conn, r, comments)
			return true
		})
		front := startFront(c, syncedViews(), b)
		_, body, err := sendRequest(front, "POST", "/stream/x", "")
		c.Check(err, quicktest.IsNil)
		c.Check(shortened(body), quicktest.Equals, pieces(1, 2))
		answer, body, err := sendRequest(front, "POST", "/once/x", "", "Last-Event-Id: 2")
		c.Check(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
		c.Check(shortened(body), quicktest.Equals, "")
	}
}

// TestCommentsOfLongStreamArePassedOn guards against a bound on the comments of a whole stream,
// which breaks off long streams with a comment now and then.
func TestCommentsOfLongStreamArePassedOn(t *testing.T) {
	c := quicktest.New(t)
	var body strings.Builder
	for i := 1; i <= 200; i++ {
		body.WriteString(": " + strings.Repeat("wait", 20) + "\n\n" + pieces(i, i))
	}
	body.WriteString(": end\n\n")
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		writeChunkedStream(conn, r, body.String())
		return true
	})
	_, received, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/once/x", "")
	c.Check(err, quicktest.IsNil)
	c.Check(received == body.String(), quicktest.IsTrue)
}
