package adapter

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// initialReadRate is the rate in prompt tokens per millisecond at which an engine is
	// given prompts until its answers show how fast it reads. minReadRate and maxReadRate
	// bound the rate.
	initialReadRate = 25.0
	minReadRate     = 2.0
	maxReadRate     = 200.0
	// beginOverhead is the time from the send of a request to the begin of its answer
	// without the reading of its prompt.
	beginOverhead = 50 * time.Millisecond
	// The rate is lowered by readRateDecrease when answers begin after more than
	// slowBegin times the expected time, and raised by readRateIncrease when they begin
	// within fastBegin times that time although the rate keeps requests waiting.
	slowBegin        = 3.0
	fastBegin        = 2.0
	readRateDecrease = 0.85
	readRateIncrease = 1.05
	// rateWindow is the time whose answers are judged together, and minAnswers the number
	// of answers that it takes.
	rateWindow = 500 * time.Millisecond
	minAnswers = 3
)

// A readRate is the rate at which an engine is given prompts. Engines differ in how fast they
// read prompts, and one that is given more than it can read delays all its streams. The
// goroutine of the Controller's Run owns it.
type readRate struct {
	tokensPerMilli float64
	// credit is the number of prompt tokens that may be admitted, as of creditAt. It is less
	// than 0 after a long prompt.
	credit   float64
	creditAt time.Time
	// isBinding means that the rate has kept a request waiting since the last judgment.
	isBinding bool
	// begun are the answers since judgedAt.
	begun    site.BegunAnswers
	judgedAt time.Time
}

// tokensIn returns the number of prompt tokens that the engine is given in a time.
func (r *readRate) tokensIn(d time.Duration) float64 {
	return r.tokensPerMilli * float64(d) / float64(time.Millisecond)
}

// take admits a prompt if there is enough credit for it. A prompt that is longer than the
// largest credit is admitted at that credit, and the next ones wait for it.
func (r *readRate) take(tokens int, now time.Time) bool {
	if r.wait(tokens, now) > 0 {
		r.isBinding = true
		return false
	}
	r.credit = r.creditAtTime(now) - float64(tokens)
	r.creditAt = now
	return true
}

// wait returns the time until a prompt may be admitted.
func (r *readRate) wait(tokens int, now time.Time) time.Duration {
	missing := min(float64(tokens), r.tokensIn(admissionWindow)) - r.creditAtTime(now)
	return max(time.Duration(missing/r.tokensPerMilli*float64(time.Millisecond)), 0)
}

// creditAtTime returns the credit at a time after creditAt.
func (r *readRate) creditAtTime(now time.Time) float64 {
	limit := r.tokensIn(admissionWindow)
	if r.creditAt.IsZero() {
		return limit
	}
	return min(r.credit+r.tokensIn(now.Sub(r.creditAt)), limit)
}

// observe adds answers that have begun, and reports whether the rate has changed.
func (r *readRate) observe(begun site.BegunAnswers, now time.Time) bool {
	if begun.Count <= 0 || begun.PromptTokens <= 0 || begun.Delay <= 0 {
		return false
	}
	r.begun.Count += begun.Count
	r.begun.PromptTokens += begun.PromptTokens
	r.begun.Delay += begun.Delay
	if r.begun.Count < minAnswers || now.Sub(r.judgedAt) < rateWindow {
		return false
	}
	count := float64(r.begun.Count)
	reading := time.Duration(float64(r.begun.PromptTokens) / count / r.tokensPerMilli * float64(time.Millisecond))
	ratio := float64(r.begun.Delay) / count / float64(beginOverhead+reading)
	before, wasBinding := r.tokensPerMilli, r.isBinding
	switch {
	case ratio > slowBegin:
		r.tokensPerMilli = max(r.tokensPerMilli*readRateDecrease, minReadRate)
	case ratio < fastBegin && wasBinding:
		r.tokensPerMilli = min(r.tokensPerMilli*readRateIncrease, maxReadRate)
	}
	r.begun, r.judgedAt, r.isBinding = site.BegunAnswers{}, now, false
	return r.tokensPerMilli != before
}
