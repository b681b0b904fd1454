package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/answer"
)

// uploadBytes is the size of a request that a connection does not hold.
const uploadBytes = 3 << 20

// startEarly starts a server that answers requests with a body before it reads that.
func startEarly(c *quicktest.C, answerEarly func(conn net.Conn, r *http.Request) bool) (url string) {
	server := &answer.RawServer{
		Answer: func(conn net.Conn, _ *http.Request, _ bool) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		},
		AnswerEarly: func(conn net.Conn, r *http.Request, _ bool) bool {
			return r.ContentLength == uploadBytes && answerEarly(conn, r)
		},
	}
	c.Assert(server.Start(), quicktest.IsNil)
	c.Cleanup(func() { server.Close() })
	return "http://" + server.Address()
}

// TestAnswerThatIsResetDuringUploadIsAnError guards against a part of an answer without a length that
// counts as the whole one, because the error of its connection was returned to the writer of the
// request. All calls to services, engines and the platform use the Client.
func TestAnswerThatIsResetDuringUploadIsAnError(t *testing.T) {
	for _, upload := range []answer.Upload{answer.ResetUpload, answer.EndAndResetUpload} {
		for _, readBytes := range []int64{0, 64 << 10} {
			for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s after %d bytes, %s, kept %t", upload, readBytes, version, kept), func(t *testing.T) {
						c := quicktest.New(t)
						url := startEarly(c, func(conn net.Conn, r *http.Request) bool {
							_, _ = io.CopyN(io.Discard, r.Body, readBytes)
							form := answer.Form{Status: http.StatusOK, Version: version, Body: "part", Upload: upload}
							return !form.Write(conn, answer.NewRequest(r, false))
						})
						client := &Client{}
						defer client.Close()
						complete := 0
						for range 10 {
							if kept {
								_, _, err := send(client, http.MethodPost, url, "{}")
								c.Assert(err, quicktest.IsNil)
							}
							_, wrote, err := send(client, http.MethodPost, url, strings.Repeat("x", uploadBytes))
							c.Check(wrote, quicktest.IsTrue)
							if err == nil {
								complete++
							}
						}
						c.Check(complete, quicktest.Equals, 0)
					})
				}
			}
		}
	}
}

// TestEarlyAnswerIsReturned guards against a sound answer that is lost because its server sends it
// before it has read a long request, and reads on later, also if the connection of the answer is
// retired; and against other bytes in the place of the rest of the request.
func TestEarlyAnswerIsReturned(t *testing.T) {
	upload := strings.Repeat("0123456789abcdef", uploadBytes/16)
	for _, test := range []struct {
		name, rest string
		retire     bool
	}{
		{"with a length", "Content-Length: 4\r\n\r\n", false},
		{"with a length, retired", "Content-Length: 4\r\n\r\n", true},
		{"without a length", "\r\n", false},
		{"without a length, retired", "\r\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			received := make(chan string, 1)
			url := startEarly(c, func(conn net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+test.rest)
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(conn, "body")
				if test.rest == "\r\n" {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
				rest, _ := io.ReadAll(r.Body)
				received <- string(rest)
				return true
			})
			client := &Client{}
			defer client.Close()
			endCall, err := client.BeginCall()
			c.Assert(err, quicktest.IsNil)
			defer endCall()
			r, err := NewRequest(context.Background(), http.MethodPost, url, []byte(upload))
			c.Assert(err, quicktest.IsNil)
			response, _, err := client.Send(r)
			c.Assert(err, quicktest.IsNil)
			if test.retire {
				response.Retire()
			}
			body, err := ReadBody(response.Body, nil, 1<<10, nil)
			c.Check(err, quicktest.IsNil)
			c.Check(string(body), quicktest.Equals, "body")
			c.Check(response.Body.Close(), quicktest.IsNil)
			got := <-received
			c.Check(strings.HasPrefix(upload, got), quicktest.IsTrue, quicktest.Commentf("%d bytes", len(got)))
		})
	}
}
