package adapter

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A fakeReader reads prompts one after the other at a fixed rate.
type fakeReader struct {
	tokensPerMilli float64
	// freeAt is when it has read all prompts so far.
	freeAt time.Time
}

// read returns how long after its arrival the prompt is read.
func (f *fakeReader) read(tokens int, now time.Time) time.Duration {
	if f.freeAt.Before(now) {
		f.freeAt = now
	}
	f.freeAt = f.freeAt.Add(time.Duration(float64(tokens) / f.tokensPerMilli * float64(time.Millisecond)))
	return f.freeAt.Sub(now) + 10*time.Millisecond
}

// TestReadRateFollowsEngine guards against an engine that is given more prompts than it can
// read, so that all its streams stall, and against one that is given few because its rate
// was lowered once. More requests wait than any of the engines can read.
func TestReadRateFollowsEngine(t *testing.T) {
	for _, test := range []struct {
		name             string
		tokensPerMilli   float64
		atLeast, atMost  float64
		maxDelayAfterAll time.Duration
	}{
		{"slow engine", 8, 4, 8.5, time.Second},
		{"engine a little slower than assumed", 19, 10, 20, 700 * time.Millisecond},
		{"fast engine", 60, 30, 61, 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			const promptTokens = 1800
			e := newEngine(&site.Server{MaxConcurrency: 64}, "", 1)
			reader := &fakeReader{tokensPerMilli: test.tokensPerMilli}
			now := time.Now()
			var begun site.BegunAnswers
			var lastDelay time.Duration
			admitted := 0
			for step := range 60_000 / 5 {
				now = now.Add(5 * time.Millisecond)
				if e.admitPrompt(promptTokens, now) {
					lastDelay = reader.read(promptTokens, now)
					begun.Count++
					begun.PromptTokens += promptTokens
					begun.Delay += lastDelay
					if step >= 30_000/5 {
						admitted += promptTokens
					}
				}
				if step%120 == 0 {
					e.readRate.observe(begun, now)
					begun = site.BegunAnswers{}
				}
			}
			rate := float64(admitted) / 30_000
			c.Check(rate >= test.atLeast && rate <= test.atMost, quicktest.IsTrue, quicktest.Commentf("%.1f tokens a ms admitted", rate))
			c.Check(lastDelay < test.maxDelayAfterAll, quicktest.IsTrue, quicktest.Commentf("delay %s", lastDelay))
		})
	}
}

// TestReadingEngineIsLoaded guards against an engine that reads prompts all the time and is
// taken for free, because it runs few requests.
func TestReadingEngineIsLoaded(t *testing.T) {
	c := quicktest.New(t)
	e := newEngine(&site.Server{MaxConcurrency: 64}, "", 1)
	now := time.Now()
	c.Assert(e.equivalentRequests(now), quicktest.Equals, 0)
	for range 1000 {
		now = now.Add(time.Millisecond)
		e.admitPrompt(500, now)
	}
	c.Check(e.equivalentRequests(now) > 64/2, quicktest.IsTrue, quicktest.Commentf("%d", e.equivalentRequests(now)))
	c.Check(e.equivalentRequests(now.Add(loadWindow)), quicktest.Equals, 0)
}
