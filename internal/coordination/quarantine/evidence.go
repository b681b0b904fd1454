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
	// minEnds is the number of ended engines from which a prompt part is blocked. With
	// fewer, a part that happened to be on engines that ended for other reasons would
	// be blocked.
	minEnds = 3
	// sameMomentWindow is the time within which several ends count as one. Engines
	// that lose power together end together, with sound requests on all of them.
	sameMomentWindow = 100 * time.Millisecond
	// blockDuration is how long a part stays blocked after the last end of an engine.
	// After it, one more end blocks the part again.
	blockDuration = 10 * time.Minute
	// maxEndAge is the age at which an end that a block depends on is forgotten, and
	// unusedEndAge the age for other ends.
	maxEndAge    = time.Hour
	unusedEndAge = 2 * time.Minute
	// maxEnds, maxSuspectsPerEnd and maxPartsPerSuspect bound the memory for evidence
	// to about 4 MB with ids of 16 bytes.
	maxEnds            = 256
	maxSuspectsPerEnd  = 64
	maxPartsPerSuspect = 16
)

// A promptPart identifies a part of the prompts of one service.
type promptPart struct {
	service site.ServiceName
	id      string
}

// evidence is what is known of engines that ended and of the requests on them. The
// goroutine of Quarantine.Run owns it.
type evidence struct {
	ends map[site.Incarnation]*end
	// soundAt is when an answer last began on a part that is among the suspects of an
	// end.
	soundAt map[promptPart]time.Time
}

// An end is the end of one engine process.
type end struct {
	service site.ServiceName
	at      time.Time
	// suspects has the sorted prompt parts of each request whose answer had not begun.
	suspects [][]string
}

// A block is a set of prompt parts. Requests that have all of them are refused.
type block struct {
	service site.ServiceName
	// parts is sorted and not empty.
	parts []string
	// ends is the number of engines that ended under such requests.
	ends int
	// until is when the block ends unless another engine ends.
	until time.Time
}

// key identifies the parts of the block.
func (b *block) key() string {
	return string(b.service) + "\x00" + strings.Join(b.parts, "\x00")
}

// A suspicion is what speaks against one prompt part.
type suspicion struct {
	// ends are the ends with the part among the suspects and no answer on the part
	// since, by ascending time.
	ends []*end
	// common has those parts that are in each suspect request with this part and on
	// which no answer has begun since. It includes the part itself.
	common []string
}

func newEvidence() *evidence {
	return &evidence{ends: make(map[site.Incarnation]*end), soundAt: make(map[promptPart]time.Time)}
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
	}
	for _, parts := range suspects {
		parts = slices.Compact(slices.Sorted(slices.Values(parts[:min(len(parts), maxPartsPerSuspect)])))
		isKnown := slices.ContainsFunc(known.suspects, func(other []string) bool { return slices.Equal(other, parts) })
		if len(parts) > 0 && !isKnown && len(known.suspects) < maxSuspectsPerEnd {
			known.suspects = append(known.suspects, parts)
			changed = true
		}
	}
	return changed
}

// addSound records an answer that began on a part and reports whether it clears the
// part of an end. Other answers are not kept, so that their times do not grow while
// hosts exchange them.
func (e *evidence) addSound(part promptPart, at time.Time) bool {
	last, ok := e.newestEnds()[part]
	if !ok || !at.After(last) || e.soundAt[part].After(last) {
		return false
	}
	e.soundAt[part] = at
	return true
}

// newestEnds returns, for each suspect part, the time of the newest end with it.
func (e *evidence) newestEnds() map[promptPart]time.Time {
	newest := make(map[promptPart]time.Time)
	for _, known := range e.ends {
		for _, parts := range known.suspects {
			for _, id := range parts {
				part := promptPart{known.service, id}
				if known.at.After(newest[part]) {
					newest[part] = known.at
				}
			}
		}
	}
	return newest
}

// isSuspect reports whether no answer has begun on the part since the end.
func (e *evidence) isSuspect(part promptPart, known *end) bool {
	return !e.soundAt[part].After(known.at)
}

// suspicions collects what speaks against each part.
func (e *evidence) suspicions() map[promptPart]*suspicion {
	all := make(map[promptPart]*suspicion)
	for _, known := range e.ends {
		for _, parts := range known.suspects {
			var open []string
			for _, id := range parts {
				if e.isSuspect(promptPart{known.service, id}, known) {
					open = append(open, id)
				}
			}
			for _, id := range open {
				part := promptPart{known.service, id}
				s := all[part]
				if s == nil {
					s = &suspicion{common: open}
					all[part] = s
				}
				s.common = intersect(s.common, open)
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

// blocks returns the blocks that follow from the evidence, sorted by their keys. Narrow
// sets of parts come first, and a wider one is blocked only for ends that they do not
// explain: parts that the requests share with sound ones stay in use.
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
		b := block{service: newest.service, parts: s.common, ends: len(s.ends), until: newest.at.Add(blockDuration)}
		if now.Before(b.until) {
			byKey[b.key()] = b
		}
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b block) int { return strings.Compare(a.key(), b.key()) })
}

// candidates returns the suspicions with at least minEnds ends: those against the most
// parts together first, then those with the most ends.
func (e *evidence) candidates() []*suspicion {
	var list []*suspicion
	for _, s := range e.suspicions() {
		if countMoments(s.ends) >= minEnds {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspicion) int {
		return cmp.Or(len(b.common)-len(a.common), len(b.ends)-len(a.ends), slices.Compare(a.common, b.common))
	})
	return list
}

// prune forgets old evidence: ends that no block depends on after unusedEndAge, all ends
// after maxEndAge, the oldest ends beyond maxEnds, and answers on parts that are no
// longer among the suspects.
func (e *evidence) prune(blocks []block, now time.Time) {
	for engine, known := range e.ends {
		age := now.Sub(known.at)
		if age >= maxEndAge || age >= unusedEndAge && !slices.ContainsFunc(blocks, func(b block) bool { return b.dependsOn(known) }) {
			delete(e.ends, engine)
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
	}
	newest := e.newestEnds()
	for part := range e.soundAt {
		if _, ok := newest[part]; !ok {
			delete(e.soundAt, part)
		}
	}
}

// dependsOn reports whether a request that the block refuses is among the suspects of
// the end.
func (b *block) dependsOn(known *end) bool {
	return known.service == b.service && slices.ContainsFunc(known.suspects, b.matches)
}

// matches reports whether a request with the parts is refused.
func (b *block) matches(parts []string) bool {
	for _, id := range b.parts {
		if !slices.Contains(parts, id) {
			return false
		}
	}
	return true
}

// report returns the evidence in the form in which hosts exchange it.
func (e *evidence) report(now time.Time) site.QuarantineReport {
	var r site.QuarantineReport
	for engine, known := range e.ends {
		r.Ends = append(r.Ends, site.EngineEnd{Engine: engine, Service: known.service, Age: now.Sub(known.at), Suspects: slices.Clone(known.suspects)})
	}
	for part, at := range e.soundAt {
		r.SoundParts = append(r.SoundParts, site.SoundPart{Service: part.service, Part: part.id, Age: now.Sub(at)})
	}
	return r
}

// merge adds a report of another host and reports whether it says anything new.
func (e *evidence) merge(r site.QuarantineReport, now time.Time) bool {
	changed := false
	for _, reported := range r.Ends {
		if reported.Age < 0 || reported.Age >= maxEndAge {
			continue
		}
		if e.addEnd(reported.Engine, reported.Service, now.Add(-reported.Age), reported.Suspects) {
			changed = true
		}
	}
	for _, sound := range r.SoundParts {
		if sound.Age >= 0 && e.addSound(promptPart{sound.Service, sound.Part}, now.Add(-sound.Age)) {
			changed = true
		}
	}
	return changed
}
