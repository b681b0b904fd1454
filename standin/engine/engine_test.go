package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// countingWeights counts loads and holds each until released.
type countingWeights struct {
	mutex   sync.Mutex
	loads   int
	release chan struct{}
}

func (s *countingWeights) Fetch(ctx context.Context, _ string) error {
	s.mutex.Lock()
	s.loads++
	s.mutex.Unlock()
	select {
	case <-s.release:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newEngine(t *testing.T, settings Settings) *Engine {
	settings.Slots, settings.BatchSize = 2, 2
	settings.TokenInterval, settings.Tokens = time.Millisecond, 3
	e := New(settings)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// order sends an order and returns its status and error code.
func order(e *Engine, path string, epoch int, body any) (int, string) {
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(content)))
	r.Header.Set(engineapi.HeaderFencingNumber, fmt.Sprint(epoch))
	r.Header.Set(engineapi.HeaderRequestID, "a")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	var failure engineapi.ErrorBody
	_ = json.Unmarshal(w.Body.Bytes(), &failure)
	return w.Code, failure.Error.Code
}

func load(e *Engine, instance string, epoch int) (int, string) {
	return order(e, engineapi.PathLoad, epoch, engineapi.LoadRequest{LoraName: instance})
}

func unload(e *Engine, instance string, epoch int) (int, string) {
	return order(e, engineapi.PathUnload, epoch, engineapi.UnloadRequest{LoraName: instance})
}

// TestFencing guards the difference between the two kinds of engines, on which
// the tests of take-over rest.
func TestFencing(t *testing.T) {
	for _, test := range []struct {
		mode   fleet.FencingMode
		status int
		code   string
	}{
		{fleet.FencingEnforced, http.StatusConflict, engineapi.CodeStaleFencingNumber},
		{fleet.FencingIgnored, http.StatusOK, ""},
	} {
		t.Run(string(test.mode), func(t *testing.T) {
			c := quicktest.New(t)
			e := newEngine(t, Settings{Fencing: test.mode})
			status, _ := load(e, "a@1#8", 8)
			c.Assert(status, quicktest.Equals, http.StatusOK)
			status, code := unload(e, "a@1#8", 7)
			c.Assert(status, quicktest.Equals, test.status)
			c.Assert(code, quicktest.Equals, test.code)
		})
	}
}

// TestViolations guards against a stand-in that hides an eviction under a running
// request.
func TestViolations(t *testing.T) {
	c := quicktest.New(t)
	e := newEngine(t, Settings{})
	load(e, "a@1#7", 7)
	ended := make(chan int, 1)
	go func() {
		status, _ := order(e, engineapi.PathCompletions, 0, engineapi.CompletionRequest{Model: "a@1#7", MaxTokens: 50})
		ended <- status
	}()
	for running, _ := e.Load(); running == 0; running, _ = e.Load() {
		time.Sleep(time.Millisecond)
	}
	unload(e, "a@1#7", 7)
	c.Assert(<-ended, quicktest.Equals, http.StatusOK)
	c.Assert(e.Violations(), quicktest.DeepEquals, []string{"request a ran on a@1#7, which was unloaded"})
	status, code := order(e, engineapi.PathCompletions, 0, engineapi.CompletionRequest{Model: "a@1#7"})
	c.Assert(status, quicktest.Equals, http.StatusNotFound)
	c.Assert(code, quicktest.Equals, engineapi.CodeUnknownInstance)
	c.Assert(e.Runs("a"), quicktest.Equals, 1)
}

// TestSlots guards against a stand-in that holds more adapters than slots, loads
// one instance twice, or keeps adapters over a restart.
func TestSlots(t *testing.T) {
	c := quicktest.New(t)
	weights := &countingWeights{release: make(chan struct{})}
	e := newEngine(t, Settings{Weights: weights})
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() {
			status, _ := load(e, "a@1#7", 7)
			c.Check(status, quicktest.Equals, http.StatusOK)
		})
	}
	time.Sleep(10 * time.Millisecond)
	close(weights.release)
	group.Wait()
	c.Assert(weights.loads, quicktest.Equals, 1)
	load(e, "b@1#7", 7)
	status, code := load(e, "c@1#7", 7)
	c.Assert(status, quicktest.Equals, http.StatusConflict)
	c.Assert(code, quicktest.Equals, engineapi.CodeNoFreeSlot)
	start := e.Start()
	e.Restart()
	c.Assert(e.Start() > start, quicktest.IsTrue)
	c.Assert(e.Instances(), quicktest.HasLen, 0)
}

// TestBatchAndLag guards the size of the batch and the age of reports.
func TestBatchAndLag(t *testing.T) {
	c := quicktest.New(t)
	e := newEngine(t, Settings{ReportLag: time.Hour})
	load(e, "a@1#7", 7)
	var group sync.WaitGroup
	for range 5 {
		group.Go(func() {
			order(e, engineapi.PathCompletions, 0, engineapi.CompletionRequest{Model: "a@1#7", MaxTokens: 50})
		})
	}
	for running, waiting := e.Load(); running != 2 || waiting != 3; running, waiting = e.Load() {
		time.Sleep(time.Millisecond)
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, engineapi.PathReport, nil))
	var report engineapi.EngineReport
	c.Assert(json.Unmarshal(w.Body.Bytes(), &report), quicktest.IsNil)
	c.Assert(report.Running+report.Waiting, quicktest.Equals, 0)
	group.Wait()
	running, waiting := e.Load()
	c.Assert(running+waiting, quicktest.Equals, 0)
}
