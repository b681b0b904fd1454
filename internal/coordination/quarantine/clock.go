package quarantine

import (
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// firstClock is what the clock of a process shows at its start. It makes all readings
	// positive.
	firstClock = time.Second
	// minClockGain is by how much a told zero of a clock has to be earlier than the known one
	// to be taken over. It bounds how often a clock is adjusted.
	minClockGain = 5 * time.Millisecond
)

// clockZeroOf returns when the clock of a process showed 0 by what its reported observations
// tell. It is the zero time if they do not tell its clock.
func clockZeroOf(reported []site.Observation, now time.Time) time.Time {
	var zero time.Time
	for _, o := range reported {
		if told := now.Add(-o.Age - o.Clock); o.Clock > 0 && (zero.IsZero() || told.Before(zero)) {
			zero = told
		}
	}
	return zero
}

// adjustClock takes over the zero of the clock of a process if it is earlier than the known
// one, and reports whether this moves known observations.
func (l *ledger) adjustClock(log *processLog, zero time.Time) bool {
	if zero.IsZero() || !log.clockZero.IsZero() && !zero.Before(log.clockZero) {
		return false
	}
	log.clockZero = zero
	log.entries = slices.Clone(log.entries)
	for n, known := range log.entries {
		if known.observation.Clock > 0 {
			log.entries[n].at = zero.Add(known.observation.Clock)
			l.apply(log.entries[n])
		}
	}
	return len(log.entries) > 0
}

// mergeClocks takes over the zeros of the clocks of other processes that are earlier than the
// known ones, and reports whether this moves known observations.
func (l *ledger) mergeClocks(zeros map[site.Process]time.Time) bool {
	changed := false
	for process, zero := range zeros {
		if log, ok := l.logs[process]; ok && process != l.self {
			changed = l.adjustClock(&log, zero) || changed
			l.logs[process] = log
		}
	}
	return changed
}

// timeOf returns when an observation was made whose report arrived at the given time.
func (l *processLog) timeOf(o site.Observation, arrived time.Time) time.Time {
	if o.Clock <= 0 {
		return arrived.Add(-o.Age)
	}
	return l.clockZero.Add(o.Clock)
}

// clocks returns what the clocks of the processes show, without those that have no observations
// and those that are not known.
func (p publishedLedger) clocks(now time.Time) map[site.Process]time.Duration {
	clocks := make(map[site.Process]time.Duration)
	for process, log := range p.logs {
		if len(log.entries) > 0 && !log.clockZero.IsZero() {
			clocks[process] = now.Sub(log.clockZero)
		}
	}
	return clocks
}

// earlierClockZeros returns when the told clocks showed 0, of those processes for which this is
// earlier than known.
func (p publishedLedger) earlierClockZeros(clocks map[site.Process]time.Duration, now time.Time) map[site.Process]time.Time {
	zeros := make(map[site.Process]time.Time)
	for process, clock := range clocks {
		log, ok := p.logs[process]
		if zero := now.Add(-clock); ok && process != p.self && zero.Add(minClockGain).Before(log.clockZero) {
			zeros[process] = zero
		}
	}
	return zeros
}
