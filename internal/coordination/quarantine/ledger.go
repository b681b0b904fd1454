package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// observationOverhead is the size of an observation without its traits, in traits.
	observationOverhead = 8
	// maxLedgerSize bounds the observations that a host keeps for others, in traits: to about
	// 2 MB with traits of 16 bytes.
	maxLedgerSize = 1 << 16
	// maxReportSize bounds the observations in one report, in traits, to about 0.3 MB. A link
	// of 10 Mbit/s has to carry a report within exchangeTimeout.
	maxReportSize = 1 << 14
)

// A ledger has the observations of all processes that this host knows, and the evidence that
// follows from them. Each observation has one process and one number for good, so that hosts
// can tell each other what they lack. The goroutine of Quarantine.Run owns it.
type ledger struct {
	self     site.Process
	evidence *evidence
	logs     map[site.Process]processLog
	// size is the size of the observations in all logs, in traits.
	size int
}

// A processLog has the observations of one process. Its entries are appended to and replaced
// but not modified, because snapshots share them.
type processLog struct {
	// completeThrough is the number up to which the observations are known, and heardAt when
	// it last grew.
	completeThrough uint64
	heardAt         time.Time
	// entries are sorted by their numbers.
	entries []entry
	// clockZero is when the clock of the process showed 0, as far as this host knows: the
	// earliest time that follows from any report, because reports arrive late. It is zero if
	// no report told the clock.
	clockZero time.Time
}

// An entry is an observation with the time at which it was made. The Age of the observation
// is not used.
type entry struct {
	observation site.Observation
	at          time.Time
}

func newLedger(self site.Process) *ledger {
	own := processLog{clockZero: time.Now().Add(-firstClock)}
	return &ledger{self: self, evidence: newEvidence(), logs: map[site.Process]processLog{self: own}}
}

// recordEnd records an observation of this process, that an engine ended under a request with
// the traits, and reports whether it is new.
func (l *ledger) recordEnd(engine site.Incarnation, service site.ServiceName, traits []string, now time.Time) bool {
	traits = sortedTraits(traits)
	if !l.evidence.addEnd(engine, service, now, [][]string{traits}) {
		return false
	}
	l.append(site.Observation{Service: service, Engine: engine, Traits: traits}, now)
	return true
}

// recordSound records an observation of this process, that an answer has begun to a request
// with the sorted traits, and reports whether it clears any of them of an end. Other answers
// are not kept.
func (l *ledger) recordSound(service site.ServiceName, traits []string, now time.Time) bool {
	a := answer{service: service, traits: traits, at: now}
	if !l.evidence.isCleared(a) {
		return false
	}
	l.evidence.addSound(a)
	l.append(site.Observation{Service: service, Traits: traits}, now)
	return true
}

// recordEarlier records an answer of this process that began before an engine ended under a
// request with the same sorted traits, and reports whether it tells that any of them were in use
// later than known. It makes a difference to which traits are blocked.
func (l *ledger) recordEarlier(a answer) bool {
	if !l.evidence.tellsUse(a) {
		return false
	}
	l.evidence.addSound(a)
	l.append(site.Observation{Service: a.service, Traits: a.traits}, a.at)
	return true
}

// append adds an observation of this process.
func (l *ledger) append(o site.Observation, at time.Time) {
	own := l.logs[l.self]
	own.completeThrough++
	o.Number, o.Clock = own.completeThrough, at.Sub(own.clockZero)
	own.entries = append(own.entries, entry{observation: o, at: at})
	l.logs[l.self] = own
	l.size += sizeOf(o)
	l.bound()
}

// merge adds the observations of other processes that are not known yet, and reports whether
// there were any.
func (l *ledger) merge(lists []site.ProcessObservations, now time.Time) bool {
	changed := false
	for _, list := range lists {
		log := l.logs[list.Process]
		if list.Process == l.self || list.CompleteThrough <= log.completeThrough {
			continue
		}
		changed = l.adjustClock(&log, clockZeroOf(list.Observations, now)) || changed
		for _, o := range list.Observations {
			if o.Number <= log.completeThrough || o.Number > list.CompleteThrough || o.Age < 0 || o.Age >= maxEndAge {
				continue
			}
			e := entry{observation: o, at: log.timeOf(o, now)}
			l.apply(e)
			log.entries = append(log.entries, e)
			l.size += sizeOf(o)
			changed = true
		}
		log.completeThrough, log.heardAt = list.CompleteThrough, now
		l.logs[list.Process] = log
	}
	l.bound()
	return changed
}

// apply adds an observation of another process to the evidence. An answer is kept although
// the end of which it clears a request may not have arrived yet.
func (l *ledger) apply(e entry) {
	o := e.observation
	if o.Engine != (site.Incarnation{}) {
		l.evidence.addEnd(o.Engine, o.Service, e.at, [][]string{o.Traits})
		return
	}
	l.evidence.addSound(answer{service: o.Service, traits: sortedTraits(o.Traits), at: e.at})
}

// bound drops the oldest observations of the longest logs beyond maxLedgerSize. The evidence
// keeps what they say.
func (l *ledger) bound() {
	for l.size > maxLedgerSize {
		var longest site.Process
		for process, log := range l.logs {
			if len(log.entries) > len(l.logs[longest].entries) {
				longest = process
			}
		}
		log := l.logs[longest]
		dropped := (len(log.entries) + 1) / 2
		l.size -= sizeOfAll(log.entries[:dropped])
		log.entries = log.entries[dropped:]
		l.logs[longest] = log
	}
}

// sizeOf returns the size of the observation, in traits.
func sizeOf(o site.Observation) int {
	return observationOverhead + len(o.Traits)
}

// sizeOfAll returns the size of the observations, in traits.
func sizeOfAll(entries []entry) int {
	size := 0
	for _, e := range entries {
		size += sizeOf(e.observation)
	}
	return size
}

// prune forgets what the evidence no longer needs. It keeps how far the observations of each
// process are known until no host has them any more, so that they are not sent again.
func (l *ledger) prune(blocks []block, now time.Time) {
	l.evidence.prune(blocks, now)
	for process, log := range l.logs {
		if len(log.entries) == 0 && process != l.self && now.Sub(log.heardAt) >= maxEndAge {
			delete(l.logs, process)
			continue
		}
		if !slices.ContainsFunc(log.entries, func(e entry) bool { return !l.isNeeded(e, now) }) {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(log.entries), func(e entry) bool { return !l.isNeeded(e, now) })
		l.size -= sizeOfAll(log.entries) - sizeOfAll(kept)
		log.entries = kept
		l.logs[process] = log
	}
}

// isNeeded reports whether the evidence still holds what the observation says.
func (l *ledger) isNeeded(e entry, now time.Time) bool {
	if e.observation.Engine != (site.Incarnation{}) {
		return l.evidence.ends[e.observation.Engine] != nil
	}
	return now.Sub(e.at) < unusedEndAge || l.evidence.hasSuspectsWithin(e.observation.Service, slices.Sorted(slices.Values(e.observation.Traits)))
}

// A published ledger is what other goroutines read of a ledger. It is not modified.
type publishedLedger struct {
	self site.Process
	logs map[site.Process]processLog
}

func (l *ledger) published() publishedLedger {
	return publishedLedger{self: l.self, logs: maps.Clone(l.logs)}
}

// known returns the number up to which the observations of each process are known.
func (p publishedLedger) known() map[site.Process]uint64 {
	known := make(map[site.Process]uint64, len(p.logs))
	for process, log := range p.logs {
		known[process] = log.completeThrough
	}
	return known
}

// missing returns the observations that a host lacks which knows those of each process up to
// the given number. What exceeds maxReportSize is left to the next report.
func (p publishedLedger) missing(known map[site.Process]uint64, now time.Time) []site.ProcessObservations {
	var lists []site.ProcessObservations
	room := maxReportSize
	for process, log := range p.logs {
		after := known[process]
		first, _ := slices.BinarySearchFunc(log.entries, after+1, func(e entry, number uint64) int {
			return cmp.Compare(e.observation.Number, number)
		})
		list := site.ProcessObservations{Process: process, CompleteThrough: log.completeThrough}
		for _, e := range log.entries[first:] {
			o := e.observation
			if room < sizeOf(o) {
				list.CompleteThrough = o.Number - 1
				break
			}
			room -= sizeOf(o)
			o.Age = now.Sub(e.at)
			list.Observations = append(list.Observations, o)
		}
		if len(list.Observations) > 0 {
			lists = append(lists, list)
		}
	}
	return lists
}
