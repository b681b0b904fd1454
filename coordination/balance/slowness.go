package balance

import (
	"math"
	"time"
)

const (
	// slownessMemory is the time over which the stated and measured slowness of a server is
	// averaged. A server's speed changes many times within it.
	slownessMemory = 2 * time.Second
	// maxSampleWeight bounds the weight of one value, so that the average of a server that
	// answers rarely does not follow its newest value.
	maxSampleWeight = 0.25
	// slownessExpiry is the time constant with which a server that is no longer heard of
	// returns to usual. It then gets requests again, whose answers tell its speed.
	slownessExpiry = 5 * time.Second
	// minSlowness and maxSlowness bound measured values.
	minSlowness = 0.1
	maxSlowness = 100
	// persistenceDecay is the weight that earlier answers keep with each new one.
	persistenceDecay = 0.99
	// initialPersistence is used until answers show another one; initialVariance is its
	// weight against theirs.
	initialPersistence = 0.5
	initialVariance    = 1.0
)

// A slowness is how long work takes on a server in relation to usual, which is 1. It changes
// many times a second. The Balancer guards it by its mutex.
type slowness struct {
	// newest is the last stated value and statedAt its time, which is zero if the server
	// states none.
	newest   float64
	statedAt time.Time
	// stated and measured are the averages of what the server states and of what the times
	// of its answers to this host show.
	stated, measured float64
	measuredAt       time.Time
}

// isStated reports whether the server states its slowness.
func (s *slowness) isStated() bool { return !s.statedAt.IsZero() }

// recordStated records a stated value.
func (s *slowness) recordStated(value float64, now time.Time) {
	s.stated = average(s.stated, value, s.statedAt, now)
	s.newest, s.statedAt = value, now
}

// recordMeasured records the slowness that the time of an answer shows.
func (s *slowness) recordMeasured(value float64, now time.Time) {
	s.measured = average(s.measured, min(max(value, minSlowness), maxSlowness), s.measuredAt, now)
	s.measuredAt = now
}

// average adds a value to an average whose last value is from lastAt.
func average(mean, value float64, lastAt, now time.Time) float64 {
	if lastAt.IsZero() {
		return value
	}
	weight := 1 - math.Exp(-float64(now.Sub(lastAt))/float64(slownessMemory))
	return mean + min(weight, maxSampleWeight)*(value-mean)
}

// mean returns the average slowness. Stated and measured values count alike: a statement may be
// wrong, and the time of an answer also depends on the request.
func (s *slowness) mean() float64 {
	switch {
	case !s.isStated():
		return 1
	case s.measuredAt.IsZero():
		return s.stated
	default:
		return math.Sqrt(s.stated * s.measured)
	}
}

// expected returns the slowness during the next request: the average, and that part of the
// newest value's deviation from its average which persists. deviation is the whole one.
func (s *slowness) expected(persistence float64, now time.Time) (value, deviation float64) {
	if !s.isStated() {
		return 1, 0
	}
	deviation = s.newest - s.stated
	value = s.mean() + persistence*deviation
	value = 1 + (value-1)*math.Exp(-float64(now.Sub(s.statedAt))/float64(slownessExpiry))
	return min(max(value, minSlowness), maxSlowness), deviation
}

// A persistence learns how much of the deviation of a server's newest stated slowness from its
// average holds during a request: by regression of the slowness that answers show on the
// deviation when their requests were sent. The newest value of a speed that changes several
// times within a request tells the past only.
type persistence struct {
	variance, covariance float64
}

// record records the deviation at the send of a request and that of the slowness that its
// answer showed.
func (p *persistence) record(stated, measured float64) {
	p.variance = persistenceDecay*p.variance + stated*stated
	p.covariance = persistenceDecay*p.covariance + stated*measured
}

// share returns the share of a deviation that holds, from 0 to 1.
func (p *persistence) share() float64 {
	share := (p.covariance + initialPersistence*initialVariance) / (p.variance + initialVariance)
	return min(max(share, 0), 1)
}
