package engine

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/internal/coordination/buffering"
	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

const (
	// faultyResponses is how many responses of a faulty engine a host reads at the same time.
	faultyResponses = 32
	// testBufferQuota is what they may take from the quota, and heldBytesLimit what they may
	// hold: twice that, because a buffer is copied when it grows, and what each may hold
	// without the quota.
	testBufferQuota = 8 << 20
	heldBytesLimit  = 2*testBufferQuota + faultyResponses*256<<10
)

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

// TestFaultyResponsesDoNotTakeTheMemory guards against an engine that sends bytes without end to
// many requests at the same time, which together take the memory of the host.
func TestFaultyResponsesDoNotTakeTheMemory(t *testing.T) {
	for _, test := range []struct {
		name     string
		isStream bool
		body     string
	}{
		{"stream line", true, "id: 0\ndata: " + strings.Repeat("a", maxEventTestBytes)},
		{"stream lines", true, strings.Repeat("data: a\n", maxEventTestBytes/2)},
		{"body", false, strings.Repeat("a", 8<<20)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			body := []byte(test.body)
			release := make(chan struct{})
			var group, started sync.WaitGroup
			started.Add(faultyResponses)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
				_, _ = w.Write(body)
				_ = http.NewResponseController(w).Flush()
				if r.URL.Path == engineapi.PathCompletions {
					started.Done()
				}
				<-release
			}))
			client := &Client{BufferQuota: &buffering.Quota{MaxBytes: testBufferQuota}, CancelTimeout: 10 * time.Millisecond}
			f := &fixture{C: c, client: client, instance: fleet.Instance{Adapter: adapter, Epoch: 7}}
			grant := fleet.Grant{Engine: "e", Address: server.Listener.Addr().String(), Instance: f.instance, Epoch: 7}
			ctx, cancel := context.WithCancel(context.Background())
			before := heapBytes()
			for n := range faultyResponses {
				group.Go(func() {
					_, err := client.Complete(ctx, grant, f.request(fmt.Sprint(n), test.isStream), 0, &chunkRecorder{})
					c.Check(err, quicktest.IsNotNil)
				})
			}
			started.Wait()
			time.Sleep(100 * time.Millisecond)
			held := heapBytes() - before
			t.Logf("%d MB were held", held>>20)
			c.Check(held <= heldBytesLimit, quicktest.IsTrue, quicktest.Commentf("%d MB were held", held>>20))
			cancel()
			close(release)
			group.Wait()
			c.Check(client.BufferQuota.Taken(), quicktest.Equals, int64(0))
			server.CloseClientConnections()
			server.Close()
			_ = client.Close()
		})
	}
}

// maxEventTestBytes is just below the limit of one event.
const maxEventTestBytes = 1<<20 - 100
