package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// A lateCaller has a connection to a host that is stopping, on which it sends a request in two
// halves.
type lateCaller struct {
	conn net.Conn
	// secondHalf completes the request.
	secondHalf string
}

func newLateCaller(c *quicktest.C, address, method, target string) *lateCaller {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: late\r\nContent-Length: 8\r\n\r\nbody", method, target)
	return &lateCaller{conn: conn, secondHalf: "rest"}
}

// finish sends the second half and returns the answer.
func (l *lateCaller) finish() (*http.Response, error) {
	if _, err := io.WriteString(l.conn, l.secondHalf); err != nil {
		return nil, err
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	return http.ReadResponse(bufio.NewReader(l.conn), nil)
}

// TestEveryRequestOfStopIsAnswered guards against requests that come late in a planned stop, are
// passed on to a server and are cut off without an answer at the end of the stop.
func TestEveryRequestOfStopIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name, method, target string
		// after is the time from the begin of the stop to the end of the request.
		after  time.Duration
		status int
		sends  int
	}{
		{"unsafe request before the notice ends", "POST", "/unsafe/x", stopNoticeDelay - 200*time.Millisecond, http.StatusGatewayTimeout, 1},
		{"safe request before the notice ends", "GET", "/safe/x", stopNoticeDelay - 200*time.Millisecond, http.StatusGatewayTimeout, 1},
		{"unsafe request after the notice", "POST", "/unsafe/x", stopNoticeDelay + 100*time.Millisecond, http.StatusServiceUnavailable, 0},
		{"stream after the notice", "POST", "/stream/x", stopNoticeDelay + 100*time.Millisecond, http.StatusServiceUnavailable, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			// The server takes longer than the stop lasts.
			silent := startBackend(c, func(_ int, _ net.Conn, _ *http.Request) bool {
				time.Sleep(5 * time.Second)
				return false
			})
			views := syncedViews()
			views.view = testView(silent)
			s := startServer(c, views, &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()})
			_, _, err := sendRequest(s.Listener.Addr().String(), "GET", "/unknown/x", "")
			c.Assert(err, quicktest.IsNil)
			closed := make(chan error, 1)
			go func() { closed <- s.Close() }()
			// The connection is accepted before the notice ends and is not idle for long.
			begin := min(test.after, stopNoticeDelay) - 50*time.Millisecond
			time.Sleep(begin)
			caller := newLateCaller(c, s.Listener.Addr().String(), test.method, test.target)
			time.Sleep(test.after - begin)
			answer, err := caller.finish()
			c.Assert(err, quicktest.IsNil)
			c.Check(answer.StatusCode, quicktest.Equals, test.status)
			c.Check(silent.count(), quicktest.Equals, test.sends)
			c.Check(answer.Close, quicktest.IsTrue)
			if test.status == http.StatusServiceUnavailable {
				c.Check(answer.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
			}
			c.Check(<-closed, quicktest.IsNil)
		})
	}
}
