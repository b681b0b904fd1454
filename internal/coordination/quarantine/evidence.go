package quarantine

import (
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// minEnds is the number of ended engines from which requests with a set of traits
	// are blocked. With fewer, traits that happened to be on engines that ended for
	// other reasons would be blocked.
	minEnds = 3
	// minFurtherEnds is the number of engines that end in spite of a block, under requests
	// that share some of its traits, from which these traits are blocked in its place.
	minFurtherEnds = 2
	// sameMomentWindow is the time within which several ends count as one. Engines
	// that lose power together end together, with sound requests on all of them.
	sameMomentWindow = 100 * time.Millisecond
	// blockDuration is how long traits stay blocked after the last end of an engine.
	// After it, one more end blocks them again.
	blockDuration = 10 * time.Minute
	// maxEndAge is the age at which an end that a block depends on is forgotten, and
	// unusedEndAge the age for other ends.
	maxEndAge    = time.Hour
	unusedEndAge = 2 * time.Minute
	// maxTraits bounds the traits of one request. A head of 16 KiB holds 1,365 parts of
	// prompts with ids of eight characters.
	maxTraits = 2048
	// maxEnds, maxSuspectsPerEnd, maxTraitsPerEnd and maxSuspectTraits bound the memory for
	// suspects to about 8 MB with traits of 16 bytes.
	maxEnds           = 256
	maxSuspectsPerEnd = 64
	maxTraitsPerEnd   = 8 * maxTraits
	maxSuspectTraits  = 16 * maxTraitsPerEnd
)

// evidence is what is known of engines that ended and of the requests on them. The
// goroutine of Quarantine.Run owns it.
type evidence struct {
	ends map[site.Incarnation]*end
	// answers are the last answers, which clear ends that arrive later, too. Their traits are
	// sorted.
	answers answerList
	// soundAt is when an answer last began to a request with the traits, for the sets in the
	// index.
	soundAt map[traitSet]time.Time
	// index has the sets that the suspects of the ends are judged by. It is nil if it has to
	// be computed again.
	index *suspectIndex
}

// An end is the end of one engine process.
type end struct {
	service site.ServiceName
	at      time.Time
	// suspects has the sorted traits of each request whose answer had not begun.
	suspects [][]string
	// traitCount is the number of traits of all suspects.
	traitCount int
}

// newEvidence returns evidence of no ends.
func newEvidence() *evidence {
	return &evidence{ends: make(map[site.Incarnation]*end), soundAt: make(map[traitSet]time.Time)}
}

// addEnd records suspects of the end of an engine and reports whether anything is new.
// The earliest time of an end is kept, because reports of other hosts arrive late.
func (e *evidence) addEnd(engine site.Incarnation, service site.ServiceName, at time.Time, suspects [][]string) bool {
	known := e.ends[engine]
	changed := false
	if known == nil {
		known = &end{service: service, at: at}
		e.ends[engine] = known
		changed = true
	}
	if at.Before(known.at) {
		known.at = at
		e.index = nil
	}
	for _, traits := range suspects {
		traits = sortedTraits(traits)
		if known.addSuspect(traits) {
			e.indexSuspect(known, traits)
			changed = true
		}
	}
	return changed
}

// indexSuspect adds the sets that a new suspect of the end is judged by to the index.
func (e *evidence) indexSuspect(known *end, traits []string) {
	if e.index == nil {
		return
	}
	added := newSuspectIndex()
	for set := range traitSets(known.service, traits) {
		e.index.add(set, known.at)
		added.add(set, known.at)
	}
	for _, a := range e.answers.answers {
		e.clear(a, added)
	}
}

// addSuspect adds a request with the sorted traits if it is not known and there is room for it,
// and reports whether it did.
func (n *end) addSuspect(traits []string) bool {
	isKnown := slices.ContainsFunc(n.suspects, func(other []string) bool { return slices.Equal(other, traits) })
	if len(traits) == 0 || isKnown || len(n.suspects) >= maxSuspectsPerEnd || n.traitCount+len(traits) > maxTraitsPerEnd {
		return false
	}
	n.suspects = append(n.suspects, traits)
	n.traitCount += len(traits)
	return true
}

// sortedTraits returns up to maxTraits of the traits, sorted and each once.
func sortedTraits(traits []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(traits[:min(len(traits), maxTraits)])))
}

// addSound records an answer.
func (e *evidence) addSound(a answer) {
	e.answers.add(a)
	e.clear(a, e.suspectIndex())
}

// clear records that the answer clears the sets in the index whose traits its request had.
func (e *evidence) clear(a answer, index *suspectIndex) {
	for set := range index.within(a.service, a.traits) {
		if a.at.After(e.soundAt[set]) {
			e.soundAt[set] = a.at
		}
	}
}

// tellsUse reports whether the answer tells that any of its traits were in use clearly later
// than known.
func (e *evidence) tellsUse(a answer) bool {
	return slices.ContainsFunc(a.traits, func(trait string) bool {
		known := e.soundAt[traitSet{service: a.service, first: trait}]
		return a.at.Sub(known) >= recentUse/2
	})
}

// isCleared reports whether an answer clears any set of traits of an end.
func (e *evidence) isCleared(a answer) bool {
	for set, last := range e.suspectIndex().within(a.service, a.traits) {
		if a.at.After(last) && !e.soundAt[set].After(last) {
			return true
		}
	}
	return false
}

// hasSuspectsWithin reports whether a suspect is judged by any set of the sorted traits.
func (e *evidence) hasSuspectsWithin(service site.ServiceName, traits []string) bool {
	for range e.suspectIndex().within(service, traits) {
		return true
	}
	return false
}

// suspectIndex returns the index of the sets that the suspects of the ends are judged by.
func (e *evidence) suspectIndex() *suspectIndex {
	if e.index != nil {
		return e.index
	}
	e.index = newSuspectIndex()
	for _, known := range e.ends {
		for _, traits := range known.suspects {
			for set := range traitSets(known.service, traits) {
				e.index.add(set, known.at)
			}
		}
	}
	for _, a := range e.answers.answers {
		e.clear(a, e.index)
	}
	return e.index
}

// openSuspects returns an index of the sets that no answer has cleared since their newest end.
func (e *evidence) openSuspects() *suspectIndex {
	open := newSuspectIndex()
	for set, at := range e.suspectIndex().newest {
		if !e.soundAt[set].After(at) {
			open.add(set, at)
		}
	}
	return open
}

// isSuspect reports whether no answer has begun to a request with the traits since the end.
func (e *evidence) isSuspect(set traitSet, known *end) bool {
	return !e.soundAt[set].After(known.at)
}

// prune forgets old evidence: ends that no block depends on after unusedEndAge, all ends
// after maxEndAge, the oldest ends beyond maxEnds and maxSuspectTraits, and what is known of
// answers to requests with traits that are no longer among the suspects.
func (e *evidence) prune(blocks []block, now time.Time) {
	traitCount := 0
	for engine, known := range e.ends {
		age := now.Sub(known.at)
		if age >= maxEndAge || age >= unusedEndAge && !slices.ContainsFunc(blocks, func(b block) bool { return b.dependsOn(known) }) {
			e.forget(engine)
			continue
		}
		traitCount += known.traitCount
	}
	for len(e.ends) > maxEnds || traitCount > maxSuspectTraits {
		oldest := e.oldestEnd()
		traitCount -= e.ends[oldest].traitCount
		e.forget(oldest)
	}
	e.answers.prune(now.Add(-unusedEndAge))
	index := e.suspectIndex()
	for set := range e.soundAt {
		if _, ok := index.newest[set]; !ok {
			delete(e.soundAt, set)
		}
	}
}

// forget forgets the end of the engine.
func (e *evidence) forget(engine site.Incarnation) {
	delete(e.ends, engine)
	e.index = nil
}

// oldestEnd returns the engine that ended first.
func (e *evidence) oldestEnd() site.Incarnation {
	var oldest site.Incarnation
	for engine, known := range e.ends {
		if oldest == (site.Incarnation{}) || known.at.Before(e.ends[oldest].at) {
			oldest = engine
		}
	}
	return oldest
}
