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
	// maxEnds, maxSuspectsPerEnd and maxTraitsPerSuspect bound the memory for evidence
	// to about 4 MB with traits of 16 bytes.
	maxEnds             = 256
	maxSuspectsPerEnd   = 64
	maxTraitsPerSuspect = 16
	// maxPairedTraits bounds the traits of one request that are also judged in pairs.
	maxPairedTraits = 8
)

// evidence is what is known of engines that ended and of the requests on them. The
// goroutine of Quarantine.Run owns it.
type evidence struct {
	ends map[site.Incarnation]*end
	// soundAt is when an answer last began to a request with the traits, for those that
	// are among the suspects of an end or were so at the host that sent the answer.
	soundAt map[traitSet]time.Time
	// newest has, for each set of suspect traits, the time of the newest end with them. It
	// is nil if it has to be computed again.
	newest map[traitSet]time.Time
}

// An end is the end of one engine process.
type end struct {
	service site.ServiceName
	at      time.Time
	// suspects has the sorted traits of each request whose answer had not begun.
	suspects [][]string
}

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
		e.newest = nil
	}
	for _, traits := range suspects {
		traits = slices.Compact(slices.Sorted(slices.Values(traits[:min(len(traits), maxTraitsPerSuspect)])))
		isKnown := slices.ContainsFunc(known.suspects, func(other []string) bool { return slices.Equal(other, traits) })
		if len(traits) > 0 && !isKnown && len(known.suspects) < maxSuspectsPerEnd {
			known.suspects = append(known.suspects, traits)
			changed = true
		}
	}
	if changed {
		e.newest = nil
	}
	return changed
}

// addSound records an answer that began to a request with the sorted traits.
func (e *evidence) addSound(service site.ServiceName, traits []string, at time.Time) {
	for set := range traitSets(service, traits) {
		if at.After(e.soundAt[set]) {
			e.soundAt[set] = at
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

// isCleared reports whether an answer that begins now to a request with the sorted traits
// clears any of them of an end.
func (e *evidence) isCleared(service site.ServiceName, traits []string, now time.Time) bool {
	for set := range traitSets(service, traits) {
		if last, ok := e.newestEnds()[set]; ok && now.After(last) && !e.soundAt[set].After(last) {
			return true
		}
	}
	return false
}

// clears reports whether any of the sorted traits is among the suspects of an end.
func (e *evidence) clears(service site.ServiceName, traits []string) bool {
	for set := range traitSets(service, traits) {
		if _, ok := e.newestEnds()[set]; ok {
			return true
		}
	}
	return false
}

// newestEnds returns, for each set of suspect traits, the time of the newest end with it.
func (e *evidence) newestEnds() map[traitSet]time.Time {
	if e.newest != nil {
		return e.newest
	}
	e.newest = make(map[traitSet]time.Time)
	for _, known := range e.ends {
		for _, traits := range known.suspects {
			for set := range traitSets(known.service, traits) {
				if known.at.After(e.newest[set]) {
					e.newest[set] = known.at
				}
			}
		}
	}
	return e.newest
}

// isSuspect reports whether no answer has begun to a request with the traits since the end.
func (e *evidence) isSuspect(set traitSet, known *end) bool {
	return !e.soundAt[set].After(known.at)
}

// prune forgets old evidence: ends that no block depends on after unusedEndAge, all ends
// after maxEndAge, the oldest ends beyond maxEnds, and answers to requests with traits that
// are no longer among the suspects.
func (e *evidence) prune(blocks []block, now time.Time) {
	for engine, known := range e.ends {
		age := now.Sub(known.at)
		if age >= maxEndAge || age >= unusedEndAge && !slices.ContainsFunc(blocks, func(b block) bool { return b.dependsOn(known) }) {
			delete(e.ends, engine)
			e.newest = nil
		}
	}
	for len(e.ends) > maxEnds {
		var oldest site.Incarnation
		for engine, known := range e.ends {
			if oldest == (site.Incarnation{}) || known.at.Before(e.ends[oldest].at) {
				oldest = engine
			}
		}
		delete(e.ends, oldest)
		e.newest = nil
	}
	newest := e.newestEnds()
	for set, at := range e.soundAt {
		// The end of which an answer clears its request may arrive later than the answer.
		if _, ok := newest[set]; !ok && now.Sub(at) >= unusedEndAge {
			delete(e.soundAt, set)
		}
	}
}
