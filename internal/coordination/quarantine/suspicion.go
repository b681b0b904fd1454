package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

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
	// Until the index is complete, soundAt lacks answers.
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

// isPartOf reports whether the suspicion is against some but not all traits of the other.
func (s *suspicion) isPartOf(other *suspicion) bool {
	return len(s.common) < len(other.common) && len(intersect(s.common, other.common)) == len(s.common)
}
