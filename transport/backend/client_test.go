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

// send makes one try and reads the whole answer.
func send(c *Client, method, url, content string) (status int, wrote bool, err error) {
	leave, err := c.BeginCall()
	if err != nil {
		return 0, false, err
	}
	defer leave()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := NewRequest(ctx, method, url, []byte(content))
	if err != nil {
		return 0, false, err
	}
	r.Header.Set("Idempotency-Key", "key")
	r.Header.Set("X-Idempotency-Key", "key")
	answer, wrote, err := c.Send(r)
	if err != nil {
		return 0, wrote, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, wrote, err
}

// TestReusedConnectionDies guards against a request that runs twice because
// net/http resends it when a reused connection dies after the server read it.
func TestReusedConnectionDies(t *testing.T) {
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
				if r.URL.Path == "/dies" && runs.Add(1) == 1 {
					raw, _, err := http.NewResponseController(w).Hijack()
					if err == nil {
						raw.Close()
					}
				}
			}))
			defer server.Close()
			pool := &Client{}
			defer pool.Close()
			status, _, err := send(pool, test.method, server.URL+"/lives", test.content)
			c.Assert(err, quicktest.IsNil)
			c.Assert(status, quicktest.Equals, http.StatusOK)
			_, wrote, err := send(pool, test.method, server.URL+"/dies", test.content)
			c.Assert(runs.Load(), quicktest.Equals, int32(1))
			c.Assert(err, quicktest.IsNotNil)
			c.Assert(wrote, quicktest.IsTrue)
			status, _, err = send(pool, test.method, server.URL+"/lives", test.content)
			c.Assert(err, quicktest.IsNil)
			c.Assert(status, quicktest.Equals, http.StatusOK)
		})
	}
}

// TestRedirects guards against a second run at the target of a redirect that
// resends the body.
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

// TestNotWritten guards the proof of not-run: a failed dial and a try that ended
// before its first byte.
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

// TestWriteRefusedByKernel guards against doubt about a request of which the
// kernel took no byte.
func TestWriteRefusedByKernel(t *testing.T) {
	c := quicktest.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	raw, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	used := &countingConn{Conn: raw, release: func() {}}
	first := &attempt{}
	first.use(used)
	c.Assert(raw.Close(), quicktest.IsNil)
	_, err = used.Write([]byte("x"))
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(first.end(), quicktest.IsFalse)
	_, err = used.Write([]byte("x"))
	c.Assert(err, quicktest.ErrorIs, errSealed)
}
