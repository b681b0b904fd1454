package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// send makes one attempt and reads the whole response.
func send(c *Client, method, url, content string) (status int, wrote bool, err error) {
	endCall, err := c.BeginCall()
	if err != nil {
		return 0, false, err
	}
	defer endCall()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := NewRequest(ctx, method, url, []byte(content))
	if err != nil {
		return 0, false, err
	}
	r.Header.Set("Idempotency-Key", "key")
	r.Header.Set("X-Idempotency-Key", "key")
	response, wrote, err := c.Send(r)
	if err != nil {
		return 0, wrote, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, wrote, err
}

// TestReusedConnectionFails guards against a request that runs twice because net/http
// resends it when a reused connection closes after the server has read the request.
func TestReusedConnectionFails(t *testing.T) {
	for _, test := range []struct{ name, method, content string }{
		{"get", http.MethodGet, ""},
		{"head", http.MethodHead, ""},
		{"post", http.MethodPost, "{}"},
		{"put", http.MethodPut, "{}"},
		{"post without content", http.MethodPost, ""},
		{"get with content", http.MethodGet, "{}"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/close" && runs.Add(1) == 1 {
					raw, _, err := http.NewResponseController(w).Hijack()
					if err == nil {
						raw.Close()
					}
				}
			}))
			defer server.Close()
			pool := &Client{}
			defer pool.Close()
			status, _, err := send(pool, test.method, server.URL+"/respond", test.content)
			c.Assert(err, quicktest.IsNil)
			c.Assert(status, quicktest.Equals, http.StatusOK)
			_, wrote, err := send(pool, test.method, server.URL+"/close", test.content)
			c.Assert(runs.Load(), quicktest.Equals, int32(1))
			c.Assert(err, quicktest.IsNotNil)
			c.Assert(wrote, quicktest.IsTrue)
			status, _, err = send(pool, test.method, server.URL+"/respond", test.content)
			c.Assert(err, quicktest.IsNil)
			c.Assert(status, quicktest.Equals, http.StatusOK)
		})
	}
}

// TestRedirects guards against a second run of a request because the client follows a
// redirect and resends the body to its target.
func TestRedirects(t *testing.T) {
	for _, status := range []int{http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			c := quicktest.New(t)
			var followed atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/target" {
					followed.Add(1)
					return
				}
				http.Redirect(w, r, "/target", status)
			}))
			defer server.Close()
			pool := &Client{}
			defer pool.Close()
			got, _, err := send(pool, http.MethodPost, server.URL, "{}")
			c.Assert(err, quicktest.IsNil)
			c.Assert(got, quicktest.Equals, status)
			c.Assert(followed.Load(), quicktest.Equals, int32(0))
		})
	}
}

// TestNotWritten guards against an attempt that is reported as written although its
// connection attempt failed or the client was closed.
func TestNotWritten(t *testing.T) {
	c := quicktest.New(t)
	server := httptest.NewServer(nil)
	address := server.URL
	server.Close()
	pool := &Client{}
	_, wrote, err := send(pool, http.MethodPost, address, "{}")
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(wrote, quicktest.IsFalse)
	c.Assert(pool.Close(), quicktest.IsNil)
	_, wrote, err = send(pool, http.MethodPost, address, "{}")
	c.Assert(err, quicktest.ErrorIs, ErrClosed)
	c.Assert(wrote, quicktest.IsFalse)
}

// TestWriteRefusedByKernel guards against an attempt that is reported as possibly
// written although the kernel took no byte of it, and against a write after the end of
// the attempt.
func TestWriteRefusedByKernel(t *testing.T) {
	c := quicktest.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	raw, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	used := &countingConn{Conn: raw, onClose: func() {}}
	first := &attempt{}
	first.attach(used)
	c.Assert(raw.Close(), quicktest.IsNil)
	_, err = used.Write([]byte("x"))
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(first.finish(), quicktest.IsFalse)
	_, err = used.Write([]byte("x"))
	c.Assert(err, quicktest.ErrorIs, errWritesBlocked)
}
