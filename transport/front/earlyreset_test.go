package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// An earlyReset is one way in which a server answers a long upload before it has read it, and
// resets the connection.
type earlyReset struct {
	status  int
	version string
	fields  string
	route   string
	// readBytes is how much of the upload is read before the answer.
	readBytes   int64
	uploadBytes int
	// delay is the time between the answer and the reset, and isEnded says that the server ends its
	// side of the connection before.
	delay   time.Duration
	isEnded bool
}

// combine returns each of the forms with each of the changes.
func combine(forms []earlyReset, changes ...func(*earlyReset)) []earlyReset {
	var next []earlyReset
	for _, form := range forms {
		for _, change := range changes {
			changed := form
			change(&changed)
			next = append(next, changed)
		}
	}
	return next
}

// earlyResets returns all ways.
func earlyResets() []earlyReset {
	forms := combine([]earlyReset{{}}, func(e *earlyReset) { e.status = 200 }, func(e *earlyReset) { e.status = 201 })
	forms = combine(forms, func(e *earlyReset) { e.version = "HTTP/1.0" }, func(e *earlyReset) { e.version = "HTTP/1.1" })
	forms = combine(forms, func(*earlyReset) {}, func(e *earlyReset) { e.fields = "Connection: close\r\n" })
	forms = combine(forms, func(e *earlyReset) { e.route = "/unsafe/x" }, func(e *earlyReset) { e.route = "/once/x" })
	forms = combine(forms, func(*earlyReset) {}, func(e *earlyReset) { e.readBytes = 64 << 10 })
	forms = combine(forms, func(e *earlyReset) { e.uploadBytes = 1 << 20 }, func(e *earlyReset) { e.uploadBytes = 3 << 20 })
	return combine(forms, func(*earlyReset) {}, func(e *earlyReset) { e.delay = 20 * time.Millisecond },
		func(e *earlyReset) { e.delay, e.isEnded = 5*time.Millisecond, true })
}

// answer answers a request and lets the close of the connection reset it.
func (e earlyReset) answer(conn net.Conn, r *http.Request) bool {
	_, _ = io.CopyN(io.Discard, r.Body, e.readBytes)
	contentType := "text/plain"
	if e.route != "/unsafe/x" {
		contentType = "text/event-stream"
	}
	fmt.Fprintf(conn, "%s %d Status\r\n%sContent-Type: %s\r\n%s\r\n%s", e.version, e.status, framedHead, contentType, e.fields, pieces(1, 2))
	tcp := conn.(*net.TCPConn)
	if e.isEnded {
		_ = tcp.CloseWrite()
	}
	time.Sleep(e.delay)
	_ = tcp.SetLinger(0)
	return true
}

// TestAnswerThatIsResetDuringUploadIsIncomplete guards against a part of an answer without a length
// that reaches its caller as the whole one: a write that fails takes the error of the connection, so
// that its reader sees an orderly end.
func TestAnswerThatIsResetDuringUploadIsIncomplete(t *testing.T) {
	c := quicktest.New(t)
	forms := earlyResets()
	var complete []earlyReset
	for _, form := range forms {
		host := startFront(c, syncedViews(), startEarlyBackend(c, nil, form.answer))
		answer, _, err := sendRequest(host, "POST", form.route, strings.Repeat("x", form.uploadBytes))
		if err == nil && answer.StatusCode < http.StatusMultipleChoices {
			complete = append(complete, form)
		}
	}
	c.Check(complete, quicktest.HasLen, 0, quicktest.Commentf("%d of %d forms are complete", len(complete), len(forms)))
}

// TestEarlyAnswerReachesItsCaller guards against a sound answer that is lost because its server
// sends it before it has read a long upload, keeps the connection and reads on later, and against
// other bytes in the place of the rest of that upload.
func TestEarlyAnswerReachesItsCaller(t *testing.T) {
	upload := strings.Repeat("0123456789abcdef", 3<<16)
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(pieces(1, 2)), pieces(1, 2))
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(pieces(1, 2)), pieces(1, 2))
	for _, test := range []struct {
		name, rest string
		endsFirst  bool
	}{
		{"length", framed, false}, {"chunks", chunked, false}, {"until end", "\r\n" + pieces(1, 2), true},
	} {
		for _, route := range []string{"/unsafe/x", "/once/x"} {
			t.Run(test.name+" "+route, func(t *testing.T) {
				c := quicktest.New(t)
				var group sync.WaitGroup
				group.Add(1)
				received := ""
				b := startEarlyBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "later") }, func(conn net.Conn, r *http.Request) bool {
					if r.Header.Get("X-Attempt-Id") != "id-1" {
						return false
					}
					defer group.Done()
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s", framedHead, test.rest)
					if test.endsFirst {
						_ = conn.(*net.TCPConn).CloseWrite()
					}
					time.Sleep(50 * time.Millisecond)
					rest, _ := io.ReadAll(r.Body)
					received = string(rest)
					return true
				})
				host := startFront(c, syncedViews(), b)
				answer, body, err := sendRequest(host, "POST", route, upload)
				c.Assert(err, quicktest.IsNil)
				c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
				c.Check(body, quicktest.Equals, pieces(1, 2))
				_, _, err = sendRequestAs("id-2", host, "POST", "/unsafe/x", "body")
				c.Check(err, quicktest.IsNil)
				group.Wait()
				c.Check(strings.HasPrefix(upload, received), quicktest.IsTrue, quicktest.Commentf("%d bytes", len(received)))
				if test.endsFirst {
					c.Check(len(received), quicktest.Equals, len(upload))
				}
			})
		}
	}
}
