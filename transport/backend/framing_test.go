package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/answer"
)

// checkRefused checks that the Client returns an error for an answer, on a fresh connection and on a
// kept one, and does not prove that the request was not written.
func checkRefused(c *quicktest.C, answer string) {
	for _, kept := range []bool{false, true} {
		client := &Client{}
		address := "http://" + startCuttingServer(c, answer, kept)
		if kept {
			_, _, err := send(client, http.MethodPost, address, "{}")
			c.Assert(err, quicktest.IsNil)
		}
		_, wrote, err := send(client, http.MethodPost, address, "{}")
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%q", answer))
		c.Check(wrote, quicktest.IsTrue)
		c.Assert(client.Close(), quicktest.IsNil)
	}
}

// TestOldAnswerInChunksIsAnError guards against a body that is returned together with its chunk
// framing: net/http ignores the Transfer-Encoding of an answer of HTTP/1.0.
func TestOldAnswerInChunksIsAnError(t *testing.T) {
	c := quicktest.New(t)
	for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
		checkRefused(c, before+"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	}
}

// TestOldAnswerIsNoError guards against a sound answer of HTTP/1.0 that is taken for a faulty one.
func TestOldAnswerIsNoError(t *testing.T) {
	c := quicktest.New(t)
	for _, answer := range []string{
		"HTTP/1.0 200 OK\r\n\r\nhello",
		"HTTP/1.0 200 OK\r\n\r\n\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	} {
		client := &Client{}
		_, _, err := send(client, http.MethodPost, "http://"+startCuttingServer(c, answer, false), "{}")
		c.Check(err, quicktest.IsNil, quicktest.Commentf("%q", answer))
		c.Assert(client.Close(), quicktest.IsNil)
	}
}

// TestSpaceInFieldNameIsAnError guards against a body that is returned together with its chunk
// framing, because net/http takes a field name that a space follows for another name.
func TestSpaceInFieldNameIsAnError(t *testing.T) {
	c := quicktest.New(t)
	checkRefused(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	checkRefused(c, "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nhello")
}

// TestOtherVersionIsAnError guards against bytes in the framing of another protocol that are taken
// for an answer of HTTP/1: net/http accepts every digit as a version.
func TestOtherVersionIsAnError(t *testing.T) {
	c := quicktest.New(t)
	checkRefused(c, "HTTP/0.9 200 OK\r\nContent-Length: 5\r\n\r\nhello")
	checkRefused(c, "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello")
}

// TestLengthAndChunksAreAnError guards against a body whose server gives two ends for it: net/http
// drops the length without an error.
func TestLengthAndChunksAreAnError(t *testing.T) {
	c := quicktest.New(t)
	checkRefused(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
}

// TestConnectionAfterAnnouncedBodyIsNotUsed guards against a request that fails because the Client
// reads a kept connection out of step: an answer with status 204, which has no body, announces one
// that comes late.
func TestConnectionAfterAnnouncedBodyIsNotUsed(t *testing.T) {
	for _, test := range []struct{ fields, late string }{
		{"Content-Length: 5\r\n", "hello"},
		{"Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"},
	} {
		c := quicktest.New(t)
		address := "http://" + startAnswering(c, "HTTP/1.1 204 No Content\r\n"+test.fields+"\r\n", test.late+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		client := &Client{}
		for range 10 {
			status, _, err := send(client, http.MethodPost, address, "{}")
			c.Check(err, quicktest.IsNil)
			c.Check(status, quicktest.Equals, http.StatusNoContent)
		}
		c.Assert(client.Close(), quicktest.IsNil)
	}
}

// startAnswering starts a server that writes the answers to the first requests of each connection.
func startAnswering(c *quicktest.C, answers ...string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, answer := range answers {
					if !readRequest(reader) {
						return
					}
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestFoldedFieldIsAnError guards against a framing field that becomes a part of the field before it,
// because its line begins with a space.
func TestFoldedFieldIsAnError(t *testing.T) {
	c := quicktest.New(t)
	checkRefused(c, "HTTP/1.1 200 OK\r\nX-Other: a\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	checkRefused(c, "HTTP/1.1 200 OK\r\nX-Other: a\r\n\tContent-Length: 3\r\n\r\nhello")
}

// TestFaultyHeadIsAnError guards against an answer whose status is none, or in whose head the name
// of a field has a byte that names cannot have.
func TestFaultyHeadIsAnError(t *testing.T) {
	c := quicktest.New(t)
	for _, fault := range answer.HeadFaults {
		for _, framing := range []answer.Framing{answer.Length, answer.Chunks, answer.UntilEnd} {
			checkRefused(c, answer.Form{Status: http.StatusOK, Head: fault, Framing: framing, Body: "hello"}.Text(answer.Request{}))
		}
	}
}

// TestFaultyTrailerIsAnError guards against a signature or an id after a body that is not seen,
// because a space follows its name.
func TestFaultyTrailerIsAnError(t *testing.T) {
	c := quicktest.New(t)
	checkRefused(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Response-Signature : s\r\n\r\n")
}
