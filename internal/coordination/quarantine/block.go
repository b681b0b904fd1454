package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

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

// A suspect is a request whose answer had not begun on an engine that ended.
type suspect struct {
	end *end
	// traits are sorted. open has those that no answer has cleared since the end.
	traits, open []string
}

// A suspicion is what speaks against one set of traits.
type suspicion struct {
	set traitSet
	// ends are the ends with such a request among the suspects and no answer to one
	// since, by ascending time.
	ends []*end
	// suspects has the places of these requests in the list of all suspects.
	suspects []int
	// common has the set, and those other traits that all these suspect requests share and
	// that no answer has cleared since. It is sorted and not modified.
	common []string
}

// suspects lists the suspects of all ends. Those of one end follow each other.
func (e *evidence) suspects() []suspect {
	var list []suspect
	for _, known := range e.ends {
		for _, traits := range known.suspects {
			list = append(list, suspect{end: known, traits: traits, open: e.openTraits(traits, known)})
		}
	}
	return list
}

// suspicions returns what speaks against those sets of traits under which engines ended in at
// least minEnds moments.
func (e *evidence) suspicions() map[traitSet]*suspicion {
	e.suspectIndex()
	suspects := e.suspects()
	all := make(map[traitSet]*suspicion)
	for place, request := range suspects {
		for set := range traitSets(request.end.service, request.traits) {
			if !e.isSuspect(set, request.end) {
				continue
			}
			if all[set] == nil {
				all[set] = &suspicion{set: set}
			}
			all[set].add(place, request.end)
		}
	}
	for set, s := range all {
		slices.SortFunc(s.ends, func(a, b *end) int { return a.at.Compare(b.at) })
		if countMoments(s.ends) < minEnds {
			delete(all, set)
		}
	}
	findCommon(all, suspects)
	return all
}

// add adds the suspect at a place. Suspects are added by ascending place.
func (s *suspicion) add(place int, known *end) {
	s.suspects = append(s.suspects, place)
	if len(s.ends) == 0 || s.ends[len(s.ends)-1] != known {
		s.ends = append(s.ends, known)
	}
}

// findCommon sets the common traits of the suspicions. The parts of a long prompt mostly have
// the same suspects, whose common traits are then computed once.
func findCommon(all map[traitSet]*suspicion, suspects []suspect) {
	known := make(map[string][]string)
	for set, s := range all {
		key := fmt.Sprint(s.suspects)
		common, ok := known[key]
		if !ok {
			common = suspects[s.suspects[0]].open
			for _, place := range s.suspects[1:] {
				common = intersect(common, suspects[place].open)
			}
			known[key] = common
		}
		s.common = set.union(common)
	}
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
	for len(a) > 0 && len(b) > 0 {
		switch strings.Compare(a[0], b[0]) {
		case -1:
			a = a[1:]
		case 1:
			b = b[1:]
		default:
			both = append(both, a[0])
			a, b = a[1:], b[1:]
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
// stay in use. A set that engines go on ending under is replaced by a part of it.
func (e *evidence) blocks(now time.Time) []block {
	candidates := e.candidates()
	explained := make(map[*end]bool)
	byKey := make(map[string]block)
	for _, s := range candidates {
		open := slices.DeleteFunc(slices.Clone(s.ends), func(known *end) bool { return explained[known] })
		if countMoments(open) < minEnds {
			continue
		}
		s = e.generalize(s, candidates)
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

// generalize returns the suspicion to act on in place of the given one: one against fewer of
// its traits, if engines ended under requests with these and not the others. The others are then
// those of the callers that came first. Traits that were in use shortly before an end are not
// blocked for it: two sets that crash engines may share them.
func (e *evidence) generalize(s *suspicion, candidates []*suspicion) *suspicion {
	for {
		i := slices.IndexFunc(candidates, func(general *suspicion) bool {
			return general.isPartOf(s) && countMoments(e.furtherEnds(general, s)) >= minFurtherEnds
		})
		if i < 0 {
			return s
		}
		s = candidates[i]
	}
}

// isPartOf reports whether the suspicion is against some but not all traits of the other.
func (s *suspicion) isPartOf(other *suspicion) bool {
	return len(s.common) < len(other.common) && len(intersect(s.common, other.common)) == len(s.common)
}

// furtherEnds returns the ends that speak for the general suspicion and not for the narrow one,
// without those shortly before which the traits of the general one were in use.
func (e *evidence) furtherEnds(general, narrow *suspicion) []*end {
	var further []*end
	for _, known := range general.ends {
		if !slices.Contains(narrow.ends, known) && known.at.Sub(e.soundAt[general.set]) >= recentUse {
			further = append(further, known)
		}
	}
	return further
}

// candidates returns the suspicions with at least minEnds ends: those against one trait
// before those against pairs, then those against the most traits together, then those with
// the most ends.
func (e *evidence) candidates() []*suspicion {
	var list []*suspicion
	for _, s := range e.suspicions() {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *suspicion) int {
		return cmp.Or(a.set.size()-b.set.size(), len(b.common)-len(a.common), len(b.ends)-len(a.ends), a.set.compare(b.set))
	})
	return list
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
