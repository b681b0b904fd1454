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
	b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
		fmt.Fprint(conn, framedStreamHead(r)+chunkedHead)
		writeChunk(conn, pieces(1, 2))
		return false
	})
	lines := make(lineWriter, 16)
	views := syncedViews()
	views.view = testView(b)
	s := newServer(c, views, &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()})
	s.Forwarder.(*forward.Forwarder).Log = zerolog.New(lines)
	go s.Run(t.Context())
	_, body, _ := sendRequest(s.Listener.Addr().String(), "POST", "/once/x", "")
	c.Assert(body, quicktest.Equals, pieces(1, 2))
	expected := fmt.Sprintf(`"events":2,"content-type":"text/event-stream","delivered-bytes":%d`, len(body))
	select {
	case line := <-lines:
		c.Check(strings.Contains(line, expected), quicktest.IsTrue, quicktest.Commentf("%s", line))
	case <-time.After(5 * time.Second):
		c.Fatal("no line")
	}
}
