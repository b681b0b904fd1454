package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// minEnds is the number of ended engines from which requests with a set of traits
	// are blocked. With fewer, traits that happened to be on engines that ended for
	// other reasons would be blocked.
	minEnds = 3
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
	// are among the suspects of an end.
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

// A block is a set of traits. Requests that have all of them are refused.
type block struct {
	service site.ServiceName
	// traits is sorted and not empty.
	traits []string
	// ends is the number of engines that ended under such requests.
	ends int
	// until is when the block ends unless another engine ends.
	until time.Time
}

// key identifies the traits of the block.
func (b *block) key() string {
	return string(b.service) + "\x00" + strings.Join(b.traits, "\x00")
}

// A suspicion is what speaks against one set of traits.
type suspicion struct {
	set traitSet
	// ends are the ends with such a request among the suspects and no answer to one
	// since, by ascending time.
	ends []*end
	// common has the set, and those other traits that all these suspect requests share and
	// that no answer has cleared since.
	common []string
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

// suspicions collects what speaks against each set of traits.
func (e *evidence) suspicions() map[traitSet]*suspicion {
	all := make(map[traitSet]*suspicion)
	for _, known := range e.ends {
		for _, traits := range known.suspects {
			open := e.openTraits(traits, known)
			for set := range traitSets(known.service, traits) {
				if !e.isSuspect(set, known) {
					continue
				}
				blamed := set.union(open)
				s := all[set]
				if s == nil {
					s = &suspicion{set: set, common: blamed}
					all[set] = s
				}
				s.common = intersect(s.common, blamed)
				if !slices.Contains(s.ends, known) {
					s.ends = append(s.ends, known)
				}
			}
		}
	}
	for _, s := range all {
		slices.SortFunc(s.ends, func(a, b *end) int { return a.at.Compare(b.at) })
	}
	return all
}

// openTraits returns those traits of a suspect request that no answer has cleared since the
// end.
func (e *evidence) openTraits(traits []string, known *end) []string {
	var open []string
	for _, trait := range traits {
		if e.isSuspect(traitSet{service: known.service, first: trait}, known) {
			open = append(open, trait)
		}
	}
	return open
}

// intersect returns the strings that are in both sorted lists.
func intersect(a, b []string) []string {
	var both []string
	for _, text := range a {
		if _, found := slices.BinarySearch(b, text); found {
			both = append(both, text)
		}
	}
	return both
}

// countMoments returns the number of ends, where ends within sameMomentWindow count
// once. The ends are sorted by time.
func countMoments(ends []*end) int {
	count := 0
	var last time.Time
	for _, known := range ends {
		if count == 0 || known.at.Sub(last) >= sameMomentWindow {
			count++
			last = known.at
		}
	}
	return count
}

// blocks returns the blocks that follow from the evidence, sorted by their keys. A pair of
// traits is blocked only for ends that no single trait explains, and a wider set only for
// ends that narrower ones do not explain: traits that the requests share with sound ones
// stay in use.
func (e *evidence) blocks(now time.Time) []block {
	candidates := e.candidates()
	explained := make(map[*end]bool)
	byKey := make(map[string]block)
	for _, s := range candidates {
		open := slices.DeleteFunc(slices.Clone(s.ends), func(known *end) bool { return explained[known] })
		if countMoments(open) < minEnds {
			continue
		}
		for _, known := range s.ends {
			explained[known] = true
		}
		newest := s.ends[len(s.ends)-1]
		b := block{service: newest.service, traits: s.common, ends: len(s.ends), until: newest.at.Add(blockDuration)}
		if now.Before(b.until) {
			byKey[b.key()] = b
		}
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b block) int { return strings.Compare(a.key(), b.key()) })
}

// candidates returns the suspicions with at least minEnds ends: those against one trait
// before those against pairs, then those against the most traits together, then those with
// the most ends.
func (e *evidence) candidates() []*suspicion {
	var list []*suspicion
	for _, s := range e.suspicions() {
		if countMoments(s.ends) >= minEnds {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspicion) int {
		return cmp.Or(a.set.size()-b.set.size(), len(b.common)-len(a.common), len(b.ends)-len(a.ends), slices.Compare(a.common, b.common))
	})
	return list
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

// dependsOn reports whether a request that the block refuses is among the suspects of
// the end.
func (b *block) dependsOn(known *end) bool {
	return known.service == b.service && slices.ContainsFunc(known.suspects, b.matches)
}

// matches reports whether a request with the traits is refused.
func (b *block) matches(traits []string) bool {
	for _, trait := range b.traits {
		if !slices.Contains(traits, trait) {
			return false
		}
	}
	return true
}
