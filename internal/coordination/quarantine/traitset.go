package quarantine

import (
	"iter"
	"slices"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A traitSet is one trait of the requests to a service, or a pair of them. A pair may
// crash engines although each of its traits is also in sound requests: a part of a prompt
// with one adapter, for example.
type traitSet struct {
	service site.ServiceName
	// first is less than second. second is empty for a single trait.
	first, second string
}

// size returns the number of traits in the set.
func (s traitSet) size() int {
	if s.second == "" {
		return 1
	}
	return 2
}

// traits returns the traits in the set.
func (s traitSet) traits() []string {
	return []string{s.first, s.second}[:s.size()]
}

// union returns the set and the sorted traits together, sorted.
func (s traitSet) union(traits []string) []string {
	all := append(s.traits(), traits...)
	slices.Sort(all)
	return slices.Compact(all)
}

// traitSets yields the sets that a request with the sorted traits is judged by: each
// trait, and the pairs of the first maxPairedTraits.
func traitSets(service site.ServiceName, traits []string) iter.Seq[traitSet] {
	return func(yield func(traitSet) bool) {
		for i, first := range traits {
			if !yield(traitSet{service: service, first: first}) {
				return
			}
			for j := i + 1; j < min(len(traits), maxPairedTraits); j++ {
				if !yield(traitSet{service: service, first: first, second: traits[j]}) {
					return
				}
			}
		}
	}
}
