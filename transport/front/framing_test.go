package front

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
)

// framedHead has the fields of a sound success, with no length.
const framedHead = "X-Attempt-Id: id-1\r\nX-Response-Signature: s\r\n"

// startWriting starts a server that writes the answer to each request and closes the connection.
func startWriting(c *quicktest.C, answer string) *backendServer {
	return startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, answer)
		return false
	})
}

// checkNotPassedOn checks that the answer of a plain route is a failure without a body.
func checkNotPassedOn(c *quicktest.C, method, answer string) {
	got, body, err := sendRequest(startFront(c, syncedViews(), startWriting(c, answer)), method, "/unsafe/x", "")
	c.Assert(err, quicktest.IsNil)
	c.Check(got.StatusCode, quicktest.Equals, http.StatusBadGateway, quicktest.Commentf("%q", answer))
	c.Check(body, quicktest.Equals, "")
}

// TestOldAnswerInChunksIsNotPassedOn guards against a body that reaches its caller together with
// its chunk framing: net/http ignores the Transfer-Encoding of an answer of HTTP/1.0.
func TestOldAnswerInChunksIsNotPassedOn(t *testing.T) {
	for _, fields := range []string{
		"Transfer-Encoding: chunked\r\n",
		"transfer-encoding:chunked\r\n",
		"X-Long: " + strings.Repeat("x", 9<<10) + "\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\nConnection: keep-alive\r\n",
	} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1               100 Continue\r\n\r\n", "HTTP/1.0 103 Early Hints\r\nLink: x\r\n\r\n"} {
			c := quicktest.New(t)
			checkNotPassedOn(c, http.MethodPost, before+"HTTP/1.0 200 OK\r\n"+framedHead+fields+"\r\n5\r\nhello\r\n0\r\n\r\n")
		}
	}
}

// TestOldAnswerIsPassedOn guards against a sound answer of HTTP/1.0 that is taken for a faulty one:
// one with a length, or one that ends with its connection, also if its body looks like a header.
func TestOldAnswerIsPassedOn(t *testing.T) {
	for _, test := range []struct{ fields, body string }{
		{"", "hello"},
		{"", "\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"Content-Length: 5\r\n", "hello"},
		{"Content-Length: 5\r\nConnection: keep-alive\r\n", "hello"},
		{"X-Note: Transfer-Encoding: chunked\r\n", "hello"},
	} {
		c := quicktest.New(t)
		host := startFront(c, syncedViews(), startWriting(c, "HTTP/1.0 200 OK\r\n"+framedHead+test.fields+"\r\n"+test.body))
		got, body, err := sendRequest(host, "POST", "/unsafe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(got.StatusCode, quicktest.Equals, http.StatusOK)
		c.Check(body, quicktest.Equals, test.body)
	}
}

// TestAnswerWithSpaceInFieldNameIsNotPassedOn guards against a body that reaches its caller together
// with its chunk framing, a length that is not kept and a second attempt id that is not seen, because
// net/http takes a field name that a space follows for another name.
func TestAnswerWithSpaceInFieldNameIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	for _, rest := range []string{
		"Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"Content-Length : 3\r\n\r\nhello",
		"X-Attempt-Id : other\r\nContent-Length: 5\r\n\r\nhello",
		"some garbage: x\r\nContent-Length: 5\r\n\r\nhello",
	} {
		checkNotPassedOn(c, http.MethodPost, "HTTP/1.1 200 OK\r\n"+framedHead+rest)
	}
}

// TestAnswerOfOtherVersionIsNotPassedOn guards against bytes in the framing of another protocol that
// are taken for an answer of HTTP/1: net/http accepts every digit as a version.
func TestAnswerOfOtherVersionIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	for _, version := range []string{"HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/9.9"} {
		checkNotPassedOn(c, http.MethodPost, version+" 200 OK\r\n"+framedHead+"Content-Length: 5\r\n\r\nhello")
	}
}

// TestAnswerAfterNoInformationalStatusIsNotPassedOn guards against bytes of another protocol, or of
// a body, that are taken for the final answer: only statuses from 100 to 199 without 101 announce
// one.
func TestAnswerAfterNoInformationalStatusIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	final := "HTTP/1.1 200 OK\r\n" + framedHead + "Content-Length: 5\r\n\r\nhello"
	for _, first := range []string{
		"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n",
		"HTTP/1.1 000 Zero\r\n\r\n",
		"HTTP/1.1 042 Low\r\nContent-Length: " + strconv.Itoa(len(final)) + "\r\n\r\n",
		"HTTP/1.1 +20 Sign\r\n\r\n",
		"HTTP/1.1 -00 Sign\r\n\r\n",
	} {
		checkNotPassedOn(c, http.MethodPost, first+final)
	}
}

// TestInformationalAnswerIsSkipped guards against a sound answer that is lost because others with
// status 1xx come before it.
func TestInformationalAnswerIsSkipped(t *testing.T) {
	c := quicktest.New(t)
	host := startFront(c, syncedViews(), startWriting(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+
		"HTTP/1.1 200 OK\r\n"+framedHead+"Content-Length: 5\r\n\r\nhello"))
	got, body, err := sendRequest(host, "POST", "/unsafe/x", "")
	c.Assert(err, quicktest.IsNil)
	c.Check(got.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(body, quicktest.Equals, "hello")
}

// TestConnectionAfterAnnouncedBodyIsClosed guards against a request that fails because the host
// reads a kept connection out of step: an answer with status 204, which has no body, announces one
// that comes late.
func TestConnectionAfterAnnouncedBodyIsClosed(t *testing.T) {
	for _, test := range []struct {
		fields, late string
		conns        int
	}{
		{"Content-Length: 5\r\n", "hello", 2},
		{"Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", 2},
		{"Content-Length: 0\r\n", "", 1},
		{"", "", 1},
	} {
		c := quicktest.New(t)
		var mutex sync.Mutex
		late := make(map[net.Conn]string)
		b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
			mutex.Lock()
			defer mutex.Unlock()
			_, _ = io.WriteString(conn, late[conn])
			late[conn] = ""
			if r.Header.Get("X-Attempt-Id") == "next" {
				return success(conn, r, "next")
			}
			late[conn] = test.late
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n"+framedHead+test.fields+"\r\n")
			return true
		})
		host := startFront(c, syncedViews(), b)
		got, _, err := sendRequest(host, "POST", "/unsafe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(got.StatusCode, quicktest.Equals, http.StatusNoContent)
		got, body, err := sendRequestAs("next", host, "POST", "/unsafe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(got.StatusCode, quicktest.Equals, http.StatusOK)
		c.Check(body, quicktest.Equals, "next")
		mutex.Lock()
		c.Check(late, quicktest.HasLen, test.conns)
		mutex.Unlock()
	}
}

// TestPartOfBodyIsNotPassedOn guards against a part of a body that counts as the whole one: status
// 206 answers only a request for a range.
func TestPartOfBodyIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	answer := "HTTP/1.1 206 Partial Content\r\n" + framedHead + "Content-Range: bytes 0-4/10\r\nContent-Length: 5\r\n\r\nhello"
	checkNotPassedOn(c, http.MethodPost, answer)
	got, body, err := sendRequest(startFront(c, syncedViews(), startWriting(c, answer)), "POST", "/unsafe/x", "", "Range: bytes=0-4")
	c.Assert(err, quicktest.IsNil)
	c.Check(got.StatusCode, quicktest.Equals, http.StatusPartialContent)
	c.Check(body, quicktest.Equals, "hello")
}

// TestAnswerWithLengthAndChunksIsNotPassedOn guards against a body whose server gives two ends for
// it: net/http drops the length without an error.
func TestAnswerWithLengthAndChunksIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	for _, fields := range []string{
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\ncontent-length:900\r\n",
	} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			checkNotPassedOn(c, http.MethodPost, before+"HTTP/1.1 200 OK\r\n"+framedHead+fields+"\r\n5\r\nhello\r\n0\r\n\r\n")
		}
	}
}

// TestLengthOfHeadAnswerIsKept guards against an answer to HEAD that states another length than its
// server does: it has no body, but states the length that one would have.
func TestLengthOfHeadAnswerIsKept(t *testing.T) {
	for _, test := range []struct {
		fields string
		length int64
	}{{"Content-Length: 5\r\n", 5}, {"Content-Length: 0\r\n", 0}, {"Transfer-Encoding: chunked\r\n", -1}, {"", -1}} {
		c := quicktest.New(t)
		host := startFront(c, syncedViews(), startWriting(c, "HTTP/1.1 200 OK\r\n"+framedHead+test.fields+"\r\n"))
		got, body, err := sendRequest(host, http.MethodHead, "/unsafe/x", "")
		c.Assert(err, quicktest.IsNil)
		c.Check(got.StatusCode, quicktest.Equals, http.StatusOK)
		c.Check(got.ContentLength, quicktest.Equals, test.length, quicktest.Commentf("%q", test.fields))
		c.Check(body, quicktest.Equals, "")
	}
}

// TestAnswerWithFoldedFieldIsNotPassedOn guards against a framing field, an id or a signature that
// becomes a part of the field before it, because its line begins with a space.
func TestAnswerWithFoldedFieldIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	for _, rest := range []string{
		" Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"\tContent-Length: 3\r\n\r\nhello",
		"X-Other: a\r\n X-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nhello",
	} {
		checkNotPassedOn(c, http.MethodPost, "HTTP/1.1 200 OK\r\n"+framedHead+rest)
	}
}
