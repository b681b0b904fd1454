package backend

import (
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
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
