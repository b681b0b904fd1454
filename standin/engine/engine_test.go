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

// countingWeights is a weight store that counts loads and blocks each until release is
// closed.
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

// newEngine returns an engine with two slots, a batch of two, and answers of three tokens.
func newEngine(t *testing.T, settings Settings) *Engine {
	settings.Slots, settings.BatchSize = 2, 2
	settings.TokenInterval, settings.Tokens = time.Millisecond, 3
	e := New(settings)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// post sends a request with a fencing number and the request id "a", and returns the status
// and the error code of the answer.
func post(e *Engine, path string, epoch int, body any) (int, string) {
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
	return post(e, engineapi.PathLoad, epoch, engineapi.LoadRequest{LoraName: instance})
}

func unload(e *Engine, instance string, epoch int) (int, string) {
	return post(e, engineapi.PathUnload, epoch, engineapi.UnloadRequest{LoraName: instance})
}

// TestFencing guards against a stand-in that ignores old fencing numbers although it
// should enforce them, or the reverse. The tests of zone takeover run against both kinds of
// engines and would then not cover one of them.
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

// TestViolations guards against a stand-in that does not record the unload of an instance
// while a request runs on it, or that runs a request on an instance that is not loaded.
func TestViolations(t *testing.T) {
	c := quicktest.New(t)
	e := newEngine(t, Settings{})
	load(e, "a@1#7", 7)
	ended := make(chan int, 1)
	go func() {
		status, _ := post(e, engineapi.PathCompletions, 0, engineapi.CompletionRequest{Model: "a@1#7", MaxTokens: 50})
		ended <- status
	}()
	for running, _ := e.Load(); running == 0; running, _ = e.Load() {
		time.Sleep(time.Millisecond)
	}
	unload(e, "a@1#7", 7)
	c.Assert(<-ended, quicktest.Equals, http.StatusOK)
	c.Assert(e.Violations(), quicktest.DeepEquals, []string{"request a ran on a@1#7, which was unloaded"})
	status, code := post(e, engineapi.PathCompletions, 0, engineapi.CompletionRequest{Model: "a@1#7"})
	c.Assert(status, quicktest.Equals, http.StatusNotFound)
	c.Assert(code, quicktest.Equals, engineapi.CodeUnknownInstance)
	c.Assert(e.Runs("a"), quicktest.Equals, 1)
}

// TestSlots guards against a stand-in that holds more adapters than it has slots, loads an
// instance once for each of several concurrent orders, or keeps adapters over a restart.
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

// TestBatchAndLag guards against a stand-in that runs more requests at once than its batch
// holds, or whose reports show the load before ReportLag has passed.
func TestBatchAndLag(t *testing.T) {
	c := quicktest.New(t)
	e := newEngine(t, Settings{ReportLag: time.Hour})
	load(e, "a@1#7", 7)
	var group sync.WaitGroup
	for range 5 {
		group.Go(func() {
			post(e, engineapi.PathCompletions, 0, engineapi.CompletionRequest{Model: "a@1#7", MaxTokens: 50})
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
