package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// A lineWriter is the output of a log.
type lineWriter chan string

// Write sends one line.
func (l lineWriter) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// TestBrokenAnswerLineNamesWhatItsCallerGot guards against a log from which nobody can tell
// whether the host took an answer for a stream, and how much of it the caller has.
func TestBrokenAnswerLineNamesWhatItsCallerGot(t *testing.T) {
	c := quicktest.New(t)
	line, body := brokenLine(c, "/once/x", func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprint(conn, framedStreamHead(r)+chunkedHead)
		writeChunk(conn, pieces(1, 2))
		return false
	})
	c.Assert(body, quicktest.Equals, pieces(1, 2))
	for _, field := range []string{`"route":"o"`, `"events":2`, `"content-type":"text/event-stream"`, fmt.Sprintf(`"delivered-bytes":%d`, len(body))} {
		c.Check(strings.Contains(line, field), quicktest.IsTrue, quicktest.Commentf("%s: %s", field, line))
	}
}

// TestGarbageDoesNotFillLog guards against a log line as long as what a faulty server sends.
func TestGarbageDoesNotFillLog(t *testing.T) {
	c := quicktest.New(t)
	const most = 1000
	line, _ := brokenLine(c, "/once/x", func(_ int, conn net.Conn, r *http.Request) bool {
		writeChunkedStream(conn, r, "id: "+strings.Repeat("\x01", 1_000_000)+"\ndata: garbage\n\n")
		return false
	})
	c.Check(len(line) < most, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(line)))
	line, _ = brokenLine(c, "/once/x", func(_ int, conn net.Conn, r *http.Request) bool {
		writeTyped(conn, r, strings.Repeat("a", 15_000), "garbage")
		return false
	})
	c.Check(len(line) < most, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(line)))
}

// brokenLine sends a request to a server whose answer breaks off. It returns the first line that
// the host logs, and the body that the caller gets.
func brokenLine(c *quicktest.C, target string, serve func(n int, conn net.Conn, r *http.Request) bool) (line, body string) {
	lines := make(lineWriter, 16)
	views := syncedViews()
	views.view = testView(startBackend(c, serve))
	s := newServer(c, views, &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()})
	s.Forwarder.(*forward.Forwarder).Log = zerolog.New(lines)
	go s.Run(c.Context())
	_, body, _ = sendRequest(s.Listener.Addr().String(), "POST", target, "")
	select {
	case line = <-lines:
	case <-time.After(5 * time.Second):
		c.Fatal("no line")
	}
	return line, body
}
