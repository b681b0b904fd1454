package front

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const (
	// faultyAnswers is how many answers of faulty servers a host gets at the same time.
	faultyAnswers = 256
	// faultyAnswersMemory is the most memory that they may take together: a third of the
	// 184 MB of the smallest hosts, so that the requests of other callers go on.
	faultyAnswersMemory = 184 << 20 / 3
)

// distinctHeaders returns header lines with different names, of at most the given number of
// bytes.
func distinctHeaders(bytes int) string {
	var text strings.Builder
	for i := 0; text.Len() < bytes-20; i++ {
		fmt.Fprintf(&text, "X%d: a\r\n", i)
	}
	return text.String()
}

// heapBytes returns the memory that is held on the heap. It is the least of several
// collections, because what is dropped during a collection counts in it.
func heapBytes() int64 {
	least := int64(math.MaxInt64)
	for range 3 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		least = min(least, int64(stats.HeapAlloc))
	}
	return least
}

// drainRequest sends a request and drops what it gets for it until the connection ends.
func drainRequest(address, target string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", target)
	_, _ = io.Copy(io.Discard, conn)
}

// TestFaultyAnswersDoNotTakeTheMemory guards against servers that send bytes which are no
// answer and do not end, to so many requests at the same time that the host runs out of
// memory and the requests of other callers end with it.
func TestFaultyAnswersDoNotTakeTheMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Signature: s\r\n"
	const streamHead = head + "Content-Type: text/event-stream\r\n\r\n"
	for _, test := range []struct{ name, target, answer string }{
		{"stream line", "/once/x", streamHead + "id: 1\ndata: " + strings.Repeat("a", 1<<20-100)},
		{"stream lines", "/once/x", streamHead + strings.Repeat("data: a\n", 1<<17-100)},
		{"comments", "/once/x", streamHead + strings.Repeat(": a\n\n", 1<<18-100)},
		{"body", "/unsafe/x", head + "\r\n" + strings.Repeat("a", 256<<10-100)},
		{"declared body", "/unsafe/x", head + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("a", 256<<10-100)},
		{"header lines within the limit", "/unsafe/x", head + distinctHeaders(16<<10-300)},
		{"header line", "/unsafe/x", head + "X-Long: " + strings.Repeat("a", 64<<10-200)},
		{"header lines", "/unsafe/x", head + distinctHeaders(64<<10-200)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			release, text := make(chan struct{}), []byte(test.answer)
			b := startBackend(c, func(_ int, conn net.Conn, _ *http.Request) bool {
				_, _ = conn.Write(text)
				<-release
				return false
			})
			front := startFront(c, syncedViews(), b)
			before := heapBytes()
			var callers sync.WaitGroup
			for range faultyAnswers {
				callers.Go(func() { drainRequest(front, test.target) })
			}
			ended := make(chan struct{})
			go func() {
				callers.Wait()
				close(ended)
			}()
			highest := int64(0)
			for open := true; open; {
				select {
				case <-ended:
					open = false
				case <-time.After(20 * time.Millisecond):
				}
				highest = max(highest, heapBytes()-before)
			}
			close(release)
			c.Check(highest <= faultyAnswersMemory, quicktest.IsTrue, quicktest.Commentf("%d requests reached the server; %d MB were held", b.count(), highest>>20))
			t.Logf("%d MB were held at most", highest>>20)
		})
	}
}
