package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// TestCutAnswerIsAnError guards against an answer whose server stops at any byte of its head or
// body and that counts as a whole one, on a fresh connection and on a kept one. All calls to
// services, engines and the platform use the Client.
func TestCutAnswerIsAnError(t *testing.T) {
	for _, test := range []struct{ name, answer string }{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
		{"empty with a length", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"head of one without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
	} {
		for _, kept := range []bool{false, true} {
			name := test.name + " on a fresh connection"
			if kept {
				name = test.name + " on a kept connection"
			}
			t.Run(name, func(t *testing.T) {
				c := quicktest.New(t)
				for cut := range len(test.answer) + 1 {
					client := &Client{}
					address := startCuttingServer(c, test.answer[:cut], kept)
					if kept {
						_, _, err := send(client, http.MethodPost, "http://"+address, "{}")
						c.Assert(err, quicktest.IsNil)
					}
					_, _, err := send(client, http.MethodPost, "http://"+address, "{}")
					c.Check(err == nil, quicktest.Equals, cut == len(test.answer), quicktest.Commentf("cut at byte %d: %q", cut, test.answer[:cut]))
					c.Assert(client.Close(), quicktest.IsNil)
				}
			})
		}
	}
}

// startCuttingServer starts a server that writes the cut answer to a request and closes the
// connection. With kept, it answers the first request of each connection in full.
func startCuttingServer(c *quicktest.C, answer string, kept bool) (address string) {
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
				if kept && readRequest(reader) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				if readRequest(reader) {
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads a request and reports whether there was one.
func readRequest(reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}
