package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// pieces returns the events of a sound stream from first to last.
func pieces(first, last int) string {
	var text strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return text.String()
}

// TestForeignEventIsNotPassedOn guards against an event that no run of the request has made,
// from a server that sends garbage within a stream, and against a stream that then ends as if
// it were complete or is continued with the wrong event.
func TestForeignEventIsNotPassedOn(t *testing.T) {
	for _, test := range []struct{ name, event string }{
		{"without an id", "data: garbage\n\n"},
		{"with an empty id", "id: \ndata: garbage\n\n"},
		{"with an id that is no number", "id: 3x\ndata: garbage\n\n"},
		{"with an id that has a sign", "id: +3\ndata: garbage\n\n"},
		{"with an id that begins with 0", "id: 003\ndata: garbage\n\n"},
		{"with a long id", "id: " + strings.Repeat("0", 900_000) + "3\ndata: garbage\n\n"},
		{"with a negative id", "id: -3\ndata: garbage\n\n"},
		{"with the id of the event before", "id: 2\ndata: garbage\n\n"},
		{"with the id of an earlier event", "id: 1\ndata: garbage\n\n"},
		{"with two ids", "id: 3\ndata: piece 3\nid: 4\ndata: piece 4\n\n"},
		{"without data", "id: 3\n\n"},
		{"of bytes that are no fields", "\x01garbage\n\n"},
		{"of a word that is no field", "garbage\n\n"},
		{"of a name that is no field", "gar bage: 1\nid: 3\ndata: piece 3\n\n"},
		{"of a comment that is no text", ":\x01\xffgarbage\n\n"},
		{"with lines that end with CR alone", "id: 3\ndata: piece 3\r\rdata: garbage\n\n"},
		{"with another event after CR CR LF", "id: 3\ndata: piece 3\r\r\ndata: garbage\n\n"},
		{"of a version alone", "x-weight-versions: 4\n\n"},
	} {
		for _, rest := range []string{"", pieces(3, 5)} {
			t.Run(fmt.Sprintf("%s, %d bytes follow", test.name, len(rest)), func(t *testing.T) {
				c := quicktest.New(t)
				b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
					if r.Header.Get("Last-Event-Id") == "2" {
						writeChunkedStream(conn, r, pieces(3, 5))
						return true
					}
					writeChunkedStream(conn, r, pieces(1, 2)+test.event+rest)
					return true
				})
				front := startFront(c, syncedViews(), b)
				_, body, err := sendRequest(front, "POST", "/once/x", "")
				c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
				c.Check(body, quicktest.Equals, pieces(1, 2))
				_, body, err = sendRequest(front, "POST", "/stream/x", "")
				c.Check(err, quicktest.IsNil)
				c.Check(body, quicktest.Equals, pieces(1, 5))
			})
		}
	}
}

// TestForeignFirstEventIsNotPassedOn guards against garbage that becomes the begin of an
// answer, and against a resumed stream that begins again with events that its caller has.
func TestForeignFirstEventIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		writeChunkedStream(conn, r, "data: garbage\n\n"+pieces(1, 5))
		return true
	})
	answer, body, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/once/x", "")
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
	c.Check(body, quicktest.Equals, "")

	b = startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		writeChunkedStream(conn, r, pieces(1, 5))
		return true
	})
	answer, body, err = sendRequest(startFront(c, syncedViews(), b), "POST", "/once/x", "", "Last-Event-Id: 3")
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusBadGateway)
	c.Check(body, quicktest.Equals, "")
}

// TestSoundEventsArePassedOn guards against a check of events that breaks streams off although
// they keep to the format.
func TestSoundEventsArePassedOn(t *testing.T) {
	for _, test := range []struct{ name, target, body string }{
		{"ids that leave numbers out", "/once/x", "id: 1\ndata: a\n\nid: 4\ndata: b\n\nid: 1000000000000\ndata: c\n\n"},
		{"ids from 0", "/once/x", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"},
		{"a version first", "/once/x", "x-weight-versions: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nx-weight-versions: 4\nid: 3\ndata: c\n\n"},
		{"data before the id", "/once/x", "data: a\nid: 1\n\ndata: b\nid: 2\n\n"},
		{"no spaces", "/once/x", "id:1\ndata:a\n\nid:2\ndata:\n\n"},
		{"lines that end with CR LF", "/once/x", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"},
		{"several lines of data, empty lines, other fields", "/once/x", "event: piece\nretry: 10\nid: 1\ndata: a\ndata\ndata: b: c\n\n\n\nid: 2\ndata: b\nx-other: 1\n\n"},
		{"comments between events", "/once/x", ": one\n\nid: 1\ndata: a\n\n: two\n:\n\nid: 2\n: three\ndata: b\n\nretry: 10\n\n"},
		{"no ids on a route without streams", "/safe/x", "data: a\n\ndata: b\n\nanything\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
				writeChunkedStream(conn, r, test.body)
				return true
			})
			_, body, err := sendRequest(startFront(c, syncedViews(), b), "POST", test.target, "")
			c.Check(err, quicktest.IsNil)
			c.Check(body, quicktest.Equals, test.body)
		})
	}
}

// TestStreamWithMoreEventsThanTokensIsNotComplete guards against a faulty server that goes on
// and on with events in order, and against a stream that another server then ends properly after
// such events.
func TestStreamWithMoreEventsThanTokensIsNotComplete(t *testing.T) {
	for _, target := range []string{"/once/x", "/stream/x"} {
		c := quicktest.New(t)
		b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
			body := pieces(1, 4000)
			if r.Header.Get("Last-Event-Id") != "" {
				body = ""
			}
			writeChunkedStream(conn, r, body)
			return true
		})
		front := startFront(c, syncedViews(), b)
		_, body, err := sendRequest(front, "POST", target, "", "X-Token-Counts: 600,49")
		c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		c.Check(body, quicktest.Equals, pieces(1, 49))
		c.Check(b.count(), quicktest.Equals, 1)
		for _, counts := range []string{"600,4000", "600", "600,x", "600,-1", "600,0"} {
			_, body, err = sendRequest(front, "POST", target, "", "X-Token-Counts: "+counts)
			c.Check(err, quicktest.IsNil)
			c.Check(body == pieces(1, 4000), quicktest.IsTrue, quicktest.Commentf("%s: %d bytes", counts, len(body)))
		}
	}
}

// TestResumedStreamOfCaller guards against a stream that its caller resumes and that is broken
// off although its events follow the caller's last one, or although there are no further ones.
func TestResumedStreamOfCaller(t *testing.T) {
	for _, body := range []string{pieces(4, 5), ""} {
		c := quicktest.New(t)
		b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
			writeChunkedStream(conn, r, body)
			return true
		})
		answer, received, err := sendRequest(startFront(c, syncedViews(), b), "POST", "/once/x", "", "Last-Event-Id: 3")
		c.Assert(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
		c.Check(received, quicktest.Equals, body)
	}
}
