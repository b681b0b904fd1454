package quarantine

import (
	"cmp"
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
