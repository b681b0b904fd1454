package front

import (
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

// TestEndAfterLongPauseReachesCaller guards against an answer that is whole and that its caller
// sees broken off, because the time for the last write before a pause is up when the end comes.
func TestEndAfterLongPauseReachesCaller(t *testing.T) {
	for _, test := range []struct {
		target, contentType, body string
	}{
		{"/once/x", "text/event-stream", pieces(1, 2)},
		{"/safe/x", "text/plain", string(make([]byte, 2*maxBufferedBytes))},
	} {
		t.Run(test.target, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			b := startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool {
				fmt.Fprint(conn, typedHead(r, test.contentType)+chunkedHead)
				writeChunk(conn, test.body)
				time.Sleep(callerWriteTimeout + 300*time.Millisecond)
				_, _ = io.WriteString(conn, "0\r\n\r\n")
				return true
			})
			views := syncedViews()
			views.view = testView(b)
			for i := range views.view.Desired.Routes {
				views.view.Desired.Routes[i].Timeout = 4 * callerWriteTimeout
			}
			front := startFrontWith(c, views, &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()})
			request, err := http.NewRequest(http.MethodPost, "http://"+front+test.target, http.NoBody)
			c.Assert(err, quicktest.IsNil)
			request.Host = "h.example"
			request.Header.Set("X-Attempt-Id", "id-1")
			answer, err := http.DefaultClient.Do(request)
			c.Assert(err, quicktest.IsNil)
			defer answer.Body.Close()
			body, err := io.ReadAll(answer.Body)
			c.Check(err, quicktest.IsNil)
			c.Check(len(body), quicktest.Equals, len(test.body))
		})
	}
}
