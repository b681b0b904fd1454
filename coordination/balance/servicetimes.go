package balance

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// answerTimeDecay is the weight that earlier answers keep with each new one.
	answerTimeDecay = 0.995
	// minDeterminant is the least determinant, in relation to the product of its diagonal,
	// with which the times of an answer and of its prompt can be told apart.
	minDeterminant = 0.01
)

// serviceTimes are what this host has learned from the answers of a service whose servers state
// their slowness. The Balancer guards them by its mutex.
type serviceTimes struct {
	answers     answerTimes
	persistence persistence
	accuracy    EstimateAccuracy
}

// An EstimateAccuracy sums up the estimates of a service and what came.
type EstimateAccuracy struct {
	// Answers is the number of answers with an estimate.
	Answers int64
	// Estimated and Measured are the sums of the times until they started, and Errors that of
	// the differences without their signs.
	Estimated, Measured, Errors time.Duration
	// Persistence is the share of a newest statement's deviation from its average that holds
	// during a request.
	Persistence float64
}

// timesOf returns the times of a service.
func (b *Balancer) timesOf(service site.ServiceName) *serviceTimes {
	t := b.times[service]
	if t == nil {
		if b.times == nil {
			b.times = make(map[site.ServiceName]*serviceTimes)
		}
		t = &serviceTimes{}
		b.times[service] = t
	}
	return t
}

// EstimateAccuracies returns the accuracy of the estimates of each service whose servers state
// their slowness.
func (b *Balancer) EstimateAccuracies() map[site.ServiceName]EstimateAccuracy {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	all := make(map[site.ServiceName]EstimateAccuracy)
	for service, t := range b.times {
		if t.accuracy.Answers > 0 {
			accuracy := t.accuracy
			accuracy.Persistence = t.persistence.share()
			all[service] = accuracy
		}
	}
	return all
}

// An AnswerTime compares the start of an answer with its estimate.
type AnswerTime struct {
	// Estimate is that of the Pick, and Delay the time from the send until the answer started.
	Estimate StartEstimate
	Delay    time.Duration
}

// recordAnswer learns from the time of an answer of a server that states its slowness.
func (t *serviceTimes) recordAnswer(s *serverState, a AnswerTime, now time.Time) {
	if !a.Estimate.isStated || a.Delay <= 0 {
		return
	}
	t.compare(a)
	if usual := t.answers.usual; usual > 0 {
		measured := float64(a.Delay) / (float64(usual) * a.Estimate.effort())
		t.persistence.record(a.Estimate.deviation, min(measured, maxSlowness)-a.Estimate.mean)
		s.slowness.recordMeasured(measured, now)
	}
	t.answers.record(a.Estimate.crowding*a.Estimate.slowness, 0, a.Delay)
}

// recordBegun learns from the first event of a stream. What was expected of the server when the
// request was sent is not known any more, so that its present state stands for it.
func (t *serviceTimes) recordBegun(s *serverState, slots, promptTokens int, delay time.Duration, now time.Time) {
	if delay <= 0 {
		return
	}
	e := s.estimateStart(t, slots, promptTokens, now)
	t.compare(AnswerTime{Estimate: e, Delay: delay})
	if usual := t.answers.usual; usual > 0 {
		s.slowness.recordMeasured(float64(delay)/(float64(usual)*e.effort()), now)
	}
	t.answers.record(e.crowding*e.slowness, float64(promptTokens)*e.slowness, delay)
}

// compare counts an answer whose estimate was known.
func (t *serviceTimes) compare(a AnswerTime) {
	if a.Estimate.Delay <= 0 {
		return
	}
	t.accuracy.Answers++
	t.accuracy.Estimated += a.Estimate.Delay
	t.accuracy.Measured += a.Delay
	t.accuracy.Errors += (a.Delay - a.Estimate.Delay).Abs()
}

// answerTimes fits the times until answers start: usual for an answer on an idle server at its
// usual speed, and perToken for each token of the prompt.
type answerTimes struct {
	usual, perToken time.Duration
	// The sums of the squares and products of the measured values, of which later ones
	// count more. effort is the time of an answer without its prompt in usual answer times,
	// tokens is multiplied by the slowness.
	effortEffort, effortTokens, tokensTokens, effortDelay, tokensDelay float64
}

// record adds a measured answer.
func (t *answerTimes) record(effort, tokens float64, delay time.Duration) {
	add := func(sum *float64, product float64) { *sum = answerTimeDecay**sum + product }
	add(&t.effortEffort, effort*effort)
	add(&t.effortTokens, effort*tokens)
	add(&t.tokensTokens, tokens*tokens)
	add(&t.effortDelay, effort*float64(delay))
	add(&t.tokensDelay, tokens*float64(delay))
	t.fit()
}

// fit computes the times by least squares. Both have to be positive; otherwise the prompt is
// taken to need no time.
func (t *answerTimes) fit() {
	determinant := t.effortEffort*t.tokensTokens - t.effortTokens*t.effortTokens
	if determinant > minDeterminant*t.effortEffort*t.tokensTokens {
		usual := (t.effortDelay*t.tokensTokens - t.tokensDelay*t.effortTokens) / determinant
		perToken := (t.tokensDelay*t.effortEffort - t.effortDelay*t.effortTokens) / determinant
		if usual > 0 && perToken > 0 {
			t.usual, t.perToken = time.Duration(usual), time.Duration(perToken)
			return
		}
	}
	t.usual, t.perToken = time.Duration(t.effortDelay/t.effortEffort), 0
}

// promptShare returns the time of reading a prompt in usual answer times.
func (t *answerTimes) promptShare(tokens int) float64 {
	if t.usual <= 0 {
		return 0
	}
	return float64(tokens) * float64(t.perToken) / float64(t.usual)
}
